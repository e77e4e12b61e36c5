import { sleep } from "../interface/index.ts";
import type { Clock, GetOutcome, Member, ObjectStore, Peers, Random } from "../interface/index.ts";
import type { StorePace } from "./store_pace.ts";
import { withinTime } from "./time_limit.ts";

/**
 * How long one watch is kept. An open connection can go silent for good; a new watch takes a new one, so
 * a change that a silent watch has missed is seen after at most this long.
 */
const WATCH_TIME = 3_000;
/** How often an instance without a watch looks whether it is to hold one. */
const STANDBY = 1_000;

/** How long a peer may take to send an object. */
const PULL_TIMEOUT = 2_000;

/** A version of an object with its value. */
export interface Version {
  readonly version: number;
  readonly value: string;
}

/** What follows one object of the store: by a watch, by a slow reread, or from peers. */
export interface ObjectFollower {
  readonly key: string;
  latest(): Version | undefined;
  /** Takes in a version, from wherever it comes; a lower one changes nothing. */
  hear(object: Version): void;
  /** A peer says that it has applied this version: a higher one is fetched from it. */
  hearMark(from: Member, version: number): Promise<void>;
  /** Reads the store once. */
  reread(): Promise<GetOutcome>;
  start(): void;
  close(): void;
}

/** What a follower is made with. */
export interface FollowerParts {
  readonly key: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly pace: StorePace;
  readonly peers: Peers;
  /** Milliseconds between slow rereads. */
  readonly rereadPeriod: number;
  /** Whether this instance is one of those that hold the watch. */
  readonly isWatcher: () => boolean;
  /** Takes the object in; throws where it is not what it should be. */
  readonly apply: (object: Version) => void;
  /** Called whenever the store has answered. */
  readonly storeAnswered: () => void;
  readonly count: (name: string) => void;
}

/** Makes a follower; it does nothing before it is started or told something. */
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
    // A watch that has said nothing of this version may be silent: it is begun again on it.
    watching?.abort(new Error("A later version was heard of elsewhere."));
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
    const timer = clock.after(WATCH_TIME, () => timeout.abort(new Error("The watch is renewed.")));
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
