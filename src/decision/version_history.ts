/**
 * Which versions of its workers each service has had recently.
 *
 * Load: after an instance or a worker has ended, all its streams are taken up elsewhere within a
 * second. As long as a service has had only one version for longer than any stream lasts, each of
 * them began at it, and nothing has to be recorded or asked.
 *
 * @module
 */

/** The versions of each service's workers within a period before now. */
export interface VersionHistory {
  /**
   * Records the versions that are present from now on, by service.
   *
   * @returns The services that have more than one recent version now and had fewer before.
   */
  record(present: ReadonlyMap<string, ReadonlySet<string>>, at: HistoryTime): string[];
  /**
   * Adds versions that were present before the history began, by service. They count as absent from now on unless they
   * are present.
   *
   * @returns The services that have more than one recent version now and had fewer before.
   */
  inherit(earlier: ReadonlyMap<string, ReadonlySet<string>>, at: HistoryTime): string[];
  /** Returns the versions of a service that were present within the period. */
  recent(service: string, at: HistoryTime): string[];
  /** Returns the recent versions of all services that had any. */
  all(at: HistoryTime): ReadonlyMap<string, ReadonlySet<string>>;
  /** Returns the recent versions of all services that had several of them. */
  mixed(at: HistoryTime): ReadonlyMap<string, ReadonlySet<string>>;
  /** Whether the history reaches back to the beginning of the period. */
  coversPeriod(at: HistoryTime): boolean;
}

/** A moment and the length of the period before it, in milliseconds of the clock. */
export interface HistoryTime {
  readonly now: number;
  readonly period: number;
}

/** Creates an empty history, which begins with the first call of `record`. */
export function createVersionHistory(): VersionHistory {
  let startedAt = Infinity;
  /** When each version was last present, by service; infinity while it is. */
  const lastSeen = new Map<string, Map<string, number>>();
  const recent: VersionHistory["recent"] = (service, { now, period }) =>
    [...(lastSeen.get(service) ?? [])]
      .filter(([, at]) => at >= now - period)
      .map(([version]) => version);
  const markAbsent = (now: number): void => {
    for (const versions of lastSeen.values()) {
      for (const [version, at] of versions) if (at === Infinity) versions.set(version, now);
    }
  };
  const removeExpired = ({ now, period }: HistoryTime): void => {
    for (const [service, versions] of lastSeen) {
      for (const [version, at] of versions) if (at < now - period) versions.delete(version);
      if (versions.size === 0) lastSeen.delete(service);
    }
  };
  /** Adds versions and returns the services that have become mixed by them. */
  const add = (
    added: ReadonlyMap<string, ReadonlySet<string>>,
    at: HistoryTime,
    mark: (seen: Map<string, number>, version: string) => void,
  ): string[] => {
    const single = [...added.keys()].filter((name) => recent(name, at).length < 2);
    for (const [service, versions] of added) {
      const seen = lastSeen.get(service) ?? new Map<string, number>();
      lastSeen.set(service, seen);
      for (const version of versions) mark(seen, version);
    }
    return single.filter((service) => recent(service, at).length > 1);
  };
  const all: VersionHistory["all"] = (at) =>
    new Map(
      [...lastSeen.keys()]
        .map((service): [string, Set<string>] => [service, new Set(recent(service, at))])
        .filter(([, versions]) => versions.size > 0),
    );
  return {
    record: (present, at) => {
      startedAt = Math.min(startedAt, at.now);
      removeExpired(at);
      markAbsent(at.now);
      return add(present, at, (seen, version) => seen.set(version, Infinity));
    },
    inherit: (earlier, at) =>
      add(earlier, at, (seen, version) => {
        if (!seen.has(version)) seen.set(version, at.now);
      }),
    recent,
    all,
    mixed: (at) => new Map([...all(at)].filter(([, versions]) => versions.size > 1)),
    coversPeriod: ({ now, period }) => startedAt <= now - period,
  };
}
