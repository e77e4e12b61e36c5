import { sleep } from "../interface/index.ts";
import type { Clock, Member, ObjectStore, Peers, Random, VersionMark } from "../interface/index.ts";
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
import type { ObjectFollower, Version } from "./object_follower.ts";
import { createStorePace } from "./store_pace.ts";
import type { StorePace } from "./store_pace.ts";
import { subscribe } from "./subscription.ts";

/** Instances of each availability zone that hold a watch on an object; the others hear from peers. */
const WATCHERS_PER_ZONE = 2;
/** Silence of the store and of all peers after which an instance can't know what is in force. */
const CUT_OFF_AFTER = 3_000;
/** Silence of all peers after which an instance looks for the store, and how often it does. */
const LONELY_AFTER = 2_000;
const LONELY_READ = 1_000;
/** Pause between tries of a starting instance, and how long it listens to peers where the store is down. */
const START_PAUSE = 200;
const START_LISTENING = 1_500;

/** The task that follows the configuration in force. */
export interface Configuration extends ConfigurationView {
  /** Resolves once a revision is known; the configuration is followed from then on. */
  start(): Promise<void>;
  /** Takes in an object that this instance has read or written itself. */
  hear(key: string, object: Version): void;
  /** Takes in the versions that a peer has applied, and fetches higher ones from it. */
  hearVersions(from: Member, marks: readonly VersionMark[]): void;
  /** The versions that this instance has applied. */
  versions(): readonly VersionMark[];
  /** Answers a peer that pulls. */
  pull(key: string): Version | undefined;
  /** The pace of this instance's control calls on the store. */
  readonly pace: StorePace;
  close(): void;
}

/** What the configuration task is made with. */
export interface ConfigurationParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly peers: Peers;
  /** Members that are alive, this instance included. */
  readonly alive: () => readonly Member[];
  readonly self: Member;
  /** When a peer was last heard, in the clock's milliseconds. */
  readonly peerHeardAt: () => number | undefined;
  readonly count: (name: string) => void;
  /** Milliseconds between slow rereads. */
  readonly reread?: number;
}

const DEFAULT_REREAD = 30_000;

/** Makes the task; it does nothing before it is started. */
export function createConfiguration(parts: ConfigurationParts): Configuration {
  const { clock, random, store, self } = parts;
  const listeners = new Set<() => void>();
  const pace = createStorePace({ clock, random, members: () => parts.alive().length });
  let revision: Revision | undefined;
  let slotMap: SlotMap = EMPTY_SLOT_MAP;
  let storeHeardAt: number | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const changed = (): void => {
    for (const listener of listeners) listener();
  };
  const followerOf = (key: string, apply: (object: Version) => void): ObjectFollower =>
    createObjectFollower({
      ...parts,
      key,
      pace,
      store,
      rereadPeriod: parts.reread ?? DEFAULT_REREAD,
      isWatcher: () => isWatcher(key, { self, alive: parts.alive() }),
      apply: (object) => {
        apply(object);
        changed();
      },
      storeAnswered: () => {
        storeHeardAt = clock.now();
      },
    });
  const followers = [
    followerOf(REVISION_KEY, ({ version, value }) => {
      revision = parseRevision(version, value);
    }),
    followerOf(SLOT_MAP_KEY, ({ version, value }) => {
      slotMap = parseSlotMap(version, value);
    }),
  ];
  const find = (key: string): ObjectFollower | undefined =>
    followers.find((follower) => follower.key === key);
  const silentFor = (heardAt: number | undefined): number =>
    heardAt === undefined ? Number.POSITIVE_INFINITY : clock.now() - heardAt;
  /** An instance alone has only the store to tell it that it is not cut off. */
  const watchLoneliness = async (): Promise<void> => {
    while (!isClosed()) {
      const lonely = silentFor(parts.peerHeardAt()) > LONELY_AFTER;
      if (lonely && silentFor(storeHeardAt) > LONELY_READ) await find(REVISION_KEY)?.reread();
      await sleep(clock, LONELY_READ);
    }
  };
  const readAll = async (): Promise<boolean> => {
    const outcomes = await Promise.all(followers.map((follower) => follower.reread()));
    return outcomes.every((outcome) => outcome.kind !== "unavailable");
  };
  const begin = async (): Promise<void> => {
    let deadline = Number.POSITIVE_INFINITY;
    while (!isClosed()) {
      const read = await readAll();
      if (read && revision !== undefined) return;
      // One peer may be behind: it listens to several before it takes the highest for what is in force.
      if (revision !== undefined) deadline = Math.min(deadline, clock.now() + START_LISTENING);
      if (clock.now() >= deadline) return;
      await sleep(clock, START_PAUSE);
    }
  };
  return {
    pace,
    revision: () => revision,
    slotMap: () => slotMap,
    onChange: (listener) => subscribe(listeners, listener),
    isCutOff: () =>
      Math.min(silentFor(storeHeardAt), silentFor(parts.peerHeardAt())) > CUT_OFF_AFTER,
    refresh: async () => {
      await find(SLOT_MAP_KEY)?.reread();
    },
    hear: (key, object) => find(key)?.hear(object),
    hearVersions: (from, marks) => {
      for (const { key, version } of marks) void find(key)?.hearMark(from, version);
    },
    versions: () => followers.flatMap(markOf),
    pull: (key) => find(key)?.latest(),
    start: async () => {
      await begin();
      for (const follower of followers) follower.start();
      void watchLoneliness();
    },
    close: () => {
      closed = true;
      listeners.clear();
      for (const follower of followers) follower.close();
    },
  };
}

function markOf(follower: ObjectFollower): VersionMark[] {
  const version = follower.latest()?.version;
  return version === undefined ? [] : [{ key: follower.key, version }];
}

/** Two of each availability zone, by rendezvous over the live members. */
function isWatcher(
  key: string,
  { self, alive }: { self: Member; alive: readonly Member[] },
): boolean {
  const zone = alive.filter((member) => member.zone === self.zone).map(({ id }) => id);
  return rendezvousOrder(key, zone).slice(0, WATCHERS_PER_ZONE).includes(self.id);
}
