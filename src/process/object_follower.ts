import { sleep } from "../interface/index.ts";
import type { Clock, GetOutcome, Member, ObjectStore, Peers, Random } from "../interface/index.ts";
import type { StorePace } from "./store_pace.ts";
import { withinTime } from "./time_limit.ts";

/**
 * Milliseconds after which a watch is renewed. An open connection can go silent permanently; a new
 * watch uses a new one, so a change missed by a silent watch is seen after at most this time.
 */
const WATCH_TIME = 3_000;
/** Milliseconds between checks whether an instance without a watch has become a watcher. */
const STANDBY = 1_000;

/** Timeout in milliseconds for pulling an object from a peer. */
const PULL_TIMEOUT = 2_000;

/** Value of an object and the store version of its last write. */
export interface Version {
  readonly version: number;
  readonly value: string;
}

/** Follows one object of the store: by a watch, by periodic reads, and through peers. */
export interface ObjectFollower {
  readonly key: string;
  latest(): Version | undefined;
  /** Applies a version from any source. A version that is not newer is ignored. */
  hear(object: Version): void;
  /** Pulls the object from a peer that reports a newer version. */
  hearMark(from: Member, version: number): Promise<void>;
  /** Reads the object from the store. */
  reread(): Promise<GetOutcome>;
  start(): void;
  close(): void;
}

/** Dependencies and settings of {@linkcode createObjectFollower}. */
export interface FollowerParts {
  readonly key: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly pace: StorePace;
  readonly peers: Peers;
  /** Average interval between periodic reads in milliseconds. */
  readonly rereadPeriod: number;
  /** Whether this instance is one of those that watch the object. */
  readonly isWatcher: () => boolean;
  /** Applies the object's value. Throws if the value is invalid. */
  readonly apply: (object: Version) => void;
  /** Called whenever the store has answered. */
  readonly storeAnswered: () => void;
  readonly count: (name: string) => void;
}

/** Creates a follower. It does nothing until it is started or receives a version. */
export function createObjectFollower(parts: FollowerParts): ObjectFollower {
  const { key, clock, random, store, pace, peers } = parts;
  const ending = new AbortController();
  let latest: Version | undefined;
  let pulling = 0;
  let watching: AbortController | undefined;

  const hear = (object: Version): void => {
    if (object.version <= (latest?.version ?? 0)) return;
    try {
      parts.apply(object);
    } catch {
      parts.count("configuration.unreadable");
      return;
    }
    latest = object;
    // A watch that has not returned this version may be silent, so it is restarted.
    watching?.abort(new Error("A later version was received from another source."));
  };
  const reread = async (): Promise<GetOutcome> => {
    const outcome = await pace.run(() => store.get(key));
    if (outcome.kind !== "unavailable") parts.storeAnswered();
    if (outcome.kind === "found") hear(outcome.object);
    return outcome;
  };
  const hearMark = async (from: Member, version: number): Promise<void> => {
    if (version <= Math.max(latest?.version ?? 0, pulling)) return;
    pulling = version;
    try {
      const answer = peers.pull(from, key);
      const object = await withinTime(clock, answer, { limit: PULL_TIMEOUT, step: `pull ${key}` });
      if (object !== undefined) hear(object);
    } catch {
      parts.count("configuration.pull-failed");
    } finally {
      pulling = 0;
    }
  };
  const watch = async (): Promise<void> => {
    const timeout = new AbortController();
    watching = timeout;
    const timer = clock.after(WATCH_TIME, () =>
      timeout.abort(new Error("The watch timed out and is renewed.")),
    );
    const signal = AbortSignal.any([timeout.signal, ending.signal]);
    try {
      const changed = await store.watch(key, latest?.version ?? 0, signal);
      parts.storeAnswered();
      watching = undefined;
      if (changed !== undefined) hear(changed);
    } catch {
      if (!timeout.signal.aborted) await pace.backOff();
    } finally {
      watching = undefined;
      timer.close();
    }
  };
  const follow = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.isWatcher()) await watch();
      else await sleep(clock, STANDBY);
    }
  };
  const rereadSlowly = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, parts.rereadPeriod * (0.5 + random.next()));
      if (!isClosed()) await reread();
    }
  };
  const isClosed = (): boolean => ending.signal.aborted;
  return {
    key,
    latest: () => latest,
    hear,
    hearMark,
    reread,
    start: () => {
      void follow();
      void rereadSlowly();
    },
    close: () => ending.abort(new Error("The instance is closing.")),
  };
}
