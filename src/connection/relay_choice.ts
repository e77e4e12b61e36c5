import type { Clock, Random } from "../interface/index.ts";

/** Chooses the instances that are asked to relay a connection. */
export interface RelayChoice {
  /** Whether there is any other instance. */
  readonly hasAny: () => boolean;
  /**
   * Returns the addresses of the instances to ask, in random order. Those that failed recently come last, and those that
   * were silent recently are left out. If one of them has reached the target before, it is the second.
   */
  readonly choose: (target: string) => string[];
  /** Records that an instance has opened a connection to the target. */
  readonly recordOpened: (relay: string, target: string) => void;
  /** Records that an instance couldn't relay a connection. */
  readonly recordFailed: (relay: string) => void;
  /** Records that an instance did not answer in time. */
  readonly recordSilent: (relay: string) => void;
}

/** Dependencies of {@linkcode createRelayChoice}. */
export interface RelayChoiceParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the addresses of the other instances that accept requests. */
  readonly relays: () => readonly string[];
}

/** Maximum number of instances that are asked for one connection. */
const MAX_RELAYS = 3;
/** Milliseconds for which an instance that couldn't relay a connection is asked last. */
const FAILURE_TTL = 1_000;
/** Milliseconds for which an instance that was silent isn't asked: it may be paused, and each request would wait for it. */
const SILENCE_TTL = 1_000;
/** Maximum number of targets for which the instance is remembered that reached them. */
const MAX_REMEMBERED = 1_024;

/** Creates the choice. */
export function createRelayChoice({ clock, random, relays }: RelayChoiceParts): RelayChoice {
  /** Clock time at which each instance last failed. */
  const failedAt = new Map<string, number>();
  /** Clock time at which each instance was last silent. */
  const silentAt = new Map<string, number>();
  /** By target, the instance that last opened a connection to it. */
  const reachedBy = new Map<string, string>();

  const dropExpired = (): void => {
    const now = clock.now();
    for (const [relay, at] of failedAt) if (at <= now - FAILURE_TTL) failedAt.delete(relay);
    for (const [relay, at] of silentAt) if (at <= now - SILENCE_TTL) silentAt.delete(relay);
  };
  /** In a large fleet in which few instances reach the target, three at random would rarely be among them. */
  const withKnown = (ranked: readonly string[], known: string | undefined): readonly string[] => {
    if (known === undefined || !ranked.includes(known)) return ranked;
    const others = ranked.filter((relay) => relay !== known);
    return [...others.slice(0, 1), known, ...others.slice(1)];
  };
  return {
    hasAny: () => relays().length > 0,
    choose: (target) => {
      dropExpired();
      const ranked = relays()
        .filter((relay) => !silentAt.has(relay))
        .map((relay) => ({ relay, rank: (failedAt.has(relay) ? 1 : 0) + random.next() }))
        .sort((one, other) => one.rank - other.rank)
        .map(({ relay }) => relay);
      return withKnown(ranked, reachedBy.get(target)).slice(0, MAX_RELAYS);
    },
    recordOpened: (relay, target) => {
      reachedBy.delete(target);
      reachedBy.set(target, relay);
      const [oldest] = reachedBy.keys();
      if (reachedBy.size > MAX_REMEMBERED && oldest !== undefined) reachedBy.delete(oldest);
    },
    recordFailed: (relay) => void failedAt.set(relay, clock.now()),
    recordSilent: (relay) => void silentAt.set(relay, clock.now()),
  };
}
