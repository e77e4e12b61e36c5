import { sleep, withTimeout } from "../interface/index.ts";
import type { Clock, GetOutcome, Member, ObjectStore, Peers, Random } from "../interface/index.ts";
import type { StoreThrottle } from "./store_throttle.ts";

/**
 * Milliseconds after which a watch is renewed. An open connection can go silent permanently. A new
 * watch uses a new connection, so a change missed by a silent watch is received after at most this
 * time.
 */
const WATCH_TIMEOUT = 3_000;
/** Milliseconds between checks whether an instance without a watch has become a watcher. */
const WATCHER_CHECK_INTERVAL = 1_000;

/** Timeout in milliseconds for pulling an object from a peer. */
const PULL_TIMEOUT = 2_000;

/** Value of an object and the store version of its last write. */
export interface VersionedValue {
  readonly version: number;
  readonly value: string;
}

/** Follows one object of the store: by a watch, by periodic reads, and through peers. */
export interface ObjectFollower {
  readonly key: string;
  latest(): VersionedValue | undefined;
  /** Applies a version from any source. A version that is not newer is ignored. */
  receive(object: VersionedValue): void;
  /** Pulls the object from a peer that reports a newer version. */
  receivePeerVersion(from: Member, version: number): Promise<void>;
  /** Reads the object from the store. */
  reread(): Promise<GetOutcome>;
  start(): void;
  close(): void;
}

/** Dependencies and settings of {@linkcode createObjectFollower}. */
export interface ObjectFollowerParts {
  readonly key: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly throttle: StoreThrottle;
  readonly peers: Peers;
  /** Average interval between periodic reads in milliseconds. */
  readonly rereadInterval: number;
  /** Whether this instance is one of those that watch the object. */
  readonly isWatcher: () => boolean;
  /** Applies the object's value. Throws if the value is invalid. */
  readonly apply: (object: VersionedValue) => void;
  /** Called whenever the store has answered. */
  readonly onStoreAnswer: () => void;
  readonly count: (name: string) => void;
}

/** Creates a follower. It does nothing until it is started or receives a version. */
export function createObjectFollower(parts: ObjectFollowerParts): ObjectFollower {
  const { key, clock, random, store, throttle, peers } = parts;
  const closing = new AbortController();
  let latest: VersionedValue | undefined;
  let pulledVersion = 0;
  let watching: AbortController | undefined;

  const receive = (object: VersionedValue): void => {
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
    const outcome = await throttle.run(() => store.get(key));
    if (outcome.kind !== "unavailable") parts.onStoreAnswer();
    if (outcome.kind === "found") receive(outcome.object);
    return outcome;
  };
  const receivePeerVersion = async (from: Member, version: number): Promise<void> => {
    if (version <= Math.max(latest?.version ?? 0, pulledVersion)) return;
    pulledVersion = version;
    try {
      const answer = peers.pull(from, key);
      const object = await withTimeout(clock, answer, { limit: PULL_TIMEOUT, step: `pull ${key}` });
      if (object !== undefined) receive(object);
    } catch {
      parts.count("configuration.pull-failed");
    } finally {
      pulledVersion = 0;
    }
  };
  const watch = async (): Promise<void> => {
    const timeout = new AbortController();
    watching = timeout;
    const timer = clock.after(WATCH_TIMEOUT, () =>
      timeout.abort(new Error("The watch timed out and is renewed.")),
    );
    const signal = AbortSignal.any([timeout.signal, closing.signal]);
    try {
      const changed = await store.watch(key, latest?.version ?? 0, signal);
      parts.onStoreAnswer();
      watching = undefined;
      if (changed !== undefined) receive(changed);
    } catch {
      if (!timeout.signal.aborted) await throttle.backOff();
    } finally {
      watching = undefined;
      timer.close();
    }
  };
  const watchWhileWatcher = async (): Promise<void> => {
    while (!isClosed()) {
      if (parts.isWatcher()) await watch();
      else await sleep(clock, WATCHER_CHECK_INTERVAL);
    }
  };
  const rereadPeriodically = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, parts.rereadInterval * (0.5 + random.next()));
      if (!isClosed()) await reread();
    }
  };
  const isClosed = (): boolean => closing.signal.aborted;
  return {
    key,
    latest: () => latest,
    receive,
    receivePeerVersion,
    reread,
    start: () => {
      void watchWhileWatcher();
      void rereadPeriodically();
    },
    close: () => closing.abort(new Error("The instance is closing.")),
  };
}
