import { sleep } from "../interface/index.ts";
import type {
  Clock,
  Member,
  ObjectStore,
  Peers,
  Random,
  ObjectVersion,
} from "../interface/index.ts";
import type { ConfigurationView } from "../request/index.ts";
import {
  EMPTY_SLOT_MAP,
  parseRevision,
  parseSlotMap,
  rendezvousOrder,
  REVISION_KEY,
  SLOT_MAP_KEY,
} from "../version/index.ts";
import type { Revision, SlotMap } from "../version/index.ts";
import { createObjectFollower } from "./object_follower.ts";
import type { ObjectFollower, VersionedValue } from "./object_follower.ts";
import { createStoreThrottle } from "./store_throttle.ts";
import type { StoreThrottle } from "./store_throttle.ts";
import { subscribe } from "./subscription.ts";

/**
 * Number of instances per availability zone that watch an object in the store. The others receive
 * changes from peers.
 */
const WATCHERS_PER_ZONE = 2;
/**
 * Milliseconds without an answer from the store or any peer after which this instance considers
 * itself cut off: its configuration may no longer be the one in force.
 */
const CUT_OFF_TIMEOUT = 3_000;
/**
 * Milliseconds without contact to any peer after which an instance reads the store directly, and
 * the interval between these reads.
 */
const ISOLATION_TIMEOUT = 2_000;
const ISOLATED_READ_INTERVAL = 1_000;
/**
 * Milliseconds between read attempts during startup, and how long a starting instance collects
 * versions from peers when the store is down.
 */
const START_RETRY_DELAY = 200;
const START_COLLECTION_TIME = 1_500;

/** Follows the configuration that is in force: the revision and the slot map. */
export interface Configuration extends ConfigurationView {
  /** Resolves once a revision is known and starts following the configuration. */
  start(): Promise<void>;
  /** Applies an object that this instance has read or written itself. */
  receive(key: string, object: VersionedValue): void;
  /**
   * Compares the versions that a peer has applied with the local ones and pulls newer objects from
   * it.
   */
  receiveVersions(from: Member, versions: readonly ObjectVersion[]): void;
  /** Returns the versions that this instance has applied. */
  versions(): readonly ObjectVersion[];
  /** Returns the local version of an object for a peer that pulls it. */
  pull(key: string): VersionedValue | undefined;
  /** Limits the rate of this instance's control calls to the store. */
  readonly throttle: StoreThrottle;
  close(): void;
}

/** Dependencies and settings of {@linkcode createConfiguration}. */
export interface ConfigurationParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly peers: Peers;
  /** Returns the live members, including this instance. */
  readonly alive: () => readonly Member[];
  readonly self: Member;
  /**
   * Returns when a message last arrived from a peer, in milliseconds of `clock`; undefined if none
   * has arrived.
   */
  readonly lastPeerMessageAt: () => number | undefined;
  readonly count: (name: string) => void;
  /** Average interval between periodic rereads of each object, in milliseconds. */
  readonly reread?: number;
}

const DEFAULT_REREAD_INTERVAL = 30_000;

/** Creates a configuration without any objects. It reads nothing until it is started. */
export function createConfiguration(parts: ConfigurationParts): Configuration {
  const { clock, random, store, self } = parts;
  const listeners = new Set<() => void>();
  const throttle = createStoreThrottle({ clock, random, members: () => parts.alive().length });
  let revision: Revision | undefined;
  let slotMap: SlotMap = EMPTY_SLOT_MAP;
  let storeAnsweredAt: number | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const changed = (): void => {
    for (const listener of listeners) listener();
  };
  const addFollower = (key: string, apply: (object: VersionedValue) => void): ObjectFollower =>
    createObjectFollower({
      ...parts,
      key,
      throttle,
      store,
      rereadInterval: parts.reread ?? DEFAULT_REREAD_INTERVAL,
      isWatcher: () => isWatcher(key, { self, alive: parts.alive() }),
      apply: (object) => {
        apply(object);
        changed();
      },
      onStoreAnswer: () => {
        storeAnsweredAt = clock.now();
      },
    });
  const followers = [
    addFollower(REVISION_KEY, ({ version, value }) => {
      revision = parseRevision(version, value);
    }),
    addFollower(SLOT_MAP_KEY, ({ version, value }) => {
      slotMap = parseSlotMap(version, value);
    }),
  ];
  const find = (key: string): ObjectFollower | undefined =>
    followers.find((follower) => follower.key === key);
  const timeSince = (time: number | undefined): number =>
    time === undefined ? Number.POSITIVE_INFINITY : clock.now() - time;
  /**
   * Reads the store while no peer is in contact. An isolated instance has no other evidence that it
   * is not cut off.
   */
  const readWhileIsolated = async (): Promise<void> => {
    while (!isClosed()) {
      const isIsolated = timeSince(parts.lastPeerMessageAt()) > ISOLATION_TIMEOUT;
      if (isIsolated && timeSince(storeAnsweredAt) > ISOLATED_READ_INTERVAL)
        await find(REVISION_KEY)?.reread();
      await sleep(clock, ISOLATED_READ_INTERVAL);
    }
  };
  const readAll = async (): Promise<boolean> => {
    const outcomes = await Promise.all(followers.map((follower) => follower.reread()));
    return outcomes.every((outcome) => outcome.kind !== "unavailable");
  };
  const initialize = async (): Promise<void> => {
    let deadline = Number.POSITIVE_INFINITY;
    while (!isClosed()) {
      const hasReadAll = await readAll();
      if (hasReadAll && revision !== undefined) return;
      // A single peer may be out of date. Versions are collected from several peers before the
      // highest one is taken as the configuration in force.
      if (revision !== undefined)
        deadline = Math.min(deadline, clock.now() + START_COLLECTION_TIME);
      if (clock.now() >= deadline) return;
      await sleep(clock, START_RETRY_DELAY);
    }
  };
  return {
    throttle,
    revision: () => revision,
    slotMap: () => slotMap,
    onChange: (listener) => subscribe(listeners, listener),
    isCutOff: () =>
      Math.min(timeSince(storeAnsweredAt), timeSince(parts.lastPeerMessageAt())) > CUT_OFF_TIMEOUT,
    refresh: async () => {
      await find(SLOT_MAP_KEY)?.reread();
    },
    receive: (key, object) => find(key)?.receive(object),
    receiveVersions: (from, versions) => {
      for (const { key, version } of versions) void find(key)?.receivePeerVersion(from, version);
    },
    versions: () => followers.flatMap(versionOf),
    pull: (key) => find(key)?.latest(),
    start: async () => {
      await initialize();
      for (const follower of followers) follower.start();
      void readWhileIsolated();
    },
    close: () => {
      closed = true;
      listeners.clear();
      for (const follower of followers) follower.close();
    },
  };
}

function versionOf(follower: ObjectFollower): ObjectVersion[] {
  const version = follower.latest()?.version;
  return version === undefined ? [] : [{ key: follower.key, version }];
}

/**
 * Reports whether this instance is one of its zone's watchers of an object, which are selected by
 * rendezvous hashing over the live members.
 */
function isWatcher(
  key: string,
  { self, alive }: { self: Member; alive: readonly Member[] },
): boolean {
  const zone = alive.filter((member) => member.zone === self.zone).map(({ id }) => id);
  return rendezvousOrder(key, zone).slice(0, WATCHERS_PER_ZONE).includes(self.id);
}
