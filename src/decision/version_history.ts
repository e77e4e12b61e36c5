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
  /** Returns the versions of a service that were present within the period. */
  recent(service: string, at: HistoryTime): string[];
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
  return {
    record: (present, at) => {
      startedAt = Math.min(startedAt, at.now);
      removeExpired(at);
      const single = new Set([...present.keys()].filter((name) => recent(name, at).length < 2));
      markAbsent(at.now);
      for (const [service, versions] of present) {
        const seen = lastSeen.get(service) ?? new Map<string, number>();
        lastSeen.set(service, seen);
        for (const version of versions) seen.set(version, Infinity);
      }
      return [...single].filter((service) => recent(service, at).length > 1);
    },
    recent,
    mixed: (at) =>
      new Map(
        [...lastSeen.keys()]
          .map((service): [string, Set<string>] => [service, new Set(recent(service, at))])
          .filter(([, versions]) => versions.size > 1),
      ),
    coversPeriod: ({ now, period }) => startedAt <= now - period,
  };
}
