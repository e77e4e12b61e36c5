import { sleep } from "../interface/index.ts";
import type {
  Clock,
  FeedChange,
  FeedDelta,
  FeedList,
  FeedObject,
  ObjectFeed,
  Random,
} from "../interface/index.ts";

/** By which way an instance came to know a change. */
export enum ChangeWay {
  /** The store told it, by a list or a watch. */
  Store = "store",
  /** Another instance's digest told it. */
  Digest = "digest",
  /** It was fetched from another instance. */
  Fetch = "fetch",
}

/** How changes came to be known. */
export interface ChangeArrival {
  readonly way: ChangeWay;
  /** Milliseconds since the oldest of them was first heard of by an instance; 0 where this one was the first. */
  readonly age: number;
  /** Whether nothing was known before: they may have come about long ago. */
  readonly isFirst: boolean;
}

/** Follows all objects of one kind. */
export interface FeedFollower {
  readonly kind: string;
  /** By name. Empty until a first list was had. */
  readonly objects: ReadonlyMap<string, FeedObject>;
  /** The store's version up to which `objects` is known; 0 until a first list was had. */
  readonly version: number;
  /** The store's version of the last change that is known; 0 until a first list was had. */
  readonly changedAt: number;
  /** Whether the store answered the last call. */
  readonly isAnswered: boolean;
  /** Milliseconds since the last change was first heard of by an instance; undefined before a first list. */
  readonly age: number | undefined;
  /** When the store last answered, in the clock's milliseconds. */
  readonly answeredAt: number | undefined;
  /** Takes in what another instance has, where that is later. */
  adopt(list: FeedList): void;
  /** Takes in changes that another instance tells; changes that build on what isn't known here change nothing. */
  adoptChanges(delta: FeedDelta): void;
  /**
   * What has changed since the store's version; undefined where that isn't remembered.
   *
   * @param fits Asked for each group of changes in turn, whether it may be told with those before it; the first one that
   * may not ends what is told.
   */
  changesSince(
    version: number,
    fits?: (group: readonly FeedChange[]) => boolean,
  ): FeedDelta | undefined;
  start(): void;
  close(): void;
}

/** What a follower is made with. */
export interface FeedFollowerParts {
  readonly kind: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly feed: ObjectFeed;
  /**
   * Whether this instance has to ask the store itself; others may tell it what changes. Each watch costs a call for
   * each change, and hundreds that watch would be told the same by the store.
   */
  readonly isNeeded?: () => boolean;
  /** Whether others are told by this instance what changes: then its watches are short. */
  readonly feedsOthers?: () => boolean;
  /** Called after objects have changed. */
  readonly onChange: (changes: readonly FeedChange[], arrival: ChangeArrival) => void;
  /** Called when the store begins or ceases to answer. */
  readonly onReach: (reached: boolean, detail: string) => void;
}

/**
 * How long one watch waits, in milliseconds. An open connection can go silent for good, and only the end of
 * the wait shows it. The waits of the instances end at different times, and whoever learns of a change tells the
 * others that there is one; so even where all connections went silent at once, the first of their waits to end
 * is what a change waits for, and each wait costs a call.
 */
const WATCH_WAIT = { least: 3_000, most: 10_000 };
/**
 * The same where a few instances follow the store for hundreds: they learn sooner that nobody is told any more, and
 * their waits are few calls.
 */
const FEEDING_WAIT = { least: 1_500, most: 2_500 };
/**
 * How long a watch waits after a failed one. What was sent to a store that is silent is never answered, also when
 * the store is back: with a long wait, an instance would miss what changes in the first seconds after its return.
 */
const PROBE_WAIT = 400;
/** After a change the next watch begins this much later: changes come in groups, and each answer is a call. */
const GROUP_TIME = 120;
/** Pauses after failed calls double between these bounds, in milliseconds. */
const FIRST_PAUSE = 100;
const LONGEST_PAUSE = 800;
/** Milliseconds between two looks whether the store has to be asked. */
const IDLE_LOOK = 100;
/** Groups of changes that are remembered to be told to others. */
const REMEMBERED_GROUPS = 64;

const FROM_STORE: ChangeArrival = { way: ChangeWay.Store, age: 0, isFirst: false };

/** Changes that came together. */
interface Remembered extends Pick<FeedDelta, "from" | "to" | "changes"> {
  /** When the first instance heard of them, in this clock's milliseconds. */
  readonly firstHeardAt: number;
}

/** Makes a follower that knows nothing yet. */
export function createFeedFollower(parts: FeedFollowerParts): FeedFollower {
  const { kind, clock, random, feed, isNeeded = () => true } = parts;
  const { feedsOthers = () => false } = parts;
  let objects = new Map<string, FeedObject>();
  let version = 0;
  let changedAt = 0;
  let answeredAt: number | undefined;
  let isReached: boolean | undefined;
  let failures = 0;
  let mustList = true;
  /** The last groups of changes, each building on the one before. */
  const remembered: Remembered[] = [];
  /** When the last change was first heard of by an instance, in this clock's milliseconds. */
  let firstHeardAt: number | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const reach = (reached: boolean, detail: string): void => {
    if (reached === isReached) return;
    isReached = reached;
    parts.onReach(reached, detail);
  };
  const changed = (to: number, changes: readonly FeedChange[], arrival: ChangeArrival): void => {
    firstHeardAt = clock.now() - arrival.age;
    if (to > changedAt) remembered.push({ from: changedAt, to, changes, firstHeardAt });
    if (remembered.length > REMEMBERED_GROUPS) remembered.shift();
    changedAt = to;
    if (changes.length > 0) parts.onChange(changes, arrival);
  };
  const apply = (changes: readonly FeedChange[]): FeedChange[] => {
    const later = changes.filter(({ object }) => !isOlder(object, objects));
    for (const { object, removed } of later) {
      if (removed) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    return later;
  };
  const take = (found: FeedList, from: ChangeArrival): void => {
    // A list from before what is known already would bring back what has gone.
    if (found.version < version) return;
    const before = objects;
    const arrival = { ...from, isFirst: version === 0 };
    objects = new Map(found.objects.map((object) => [object.name, object]));
    version = found.version;
    const changes = differences(before, objects);
    if (changes.length === 0) {
      if (found.changedAt !== undefined) {
        changed(Math.max(changedAt, found.changedAt), [], arrival);
      }
      return;
    }
    const latest = found.objects.reduce((most, object) => Math.max(most, object.version), 0);
    const isRemoval = changes.some(({ removed }) => removed);
    const at = found.changedAt ?? (isRemoval ? found.version : latest);
    changed(Math.max(changedAt, at), changes, arrival);
  };
  const adopt = (found: FeedList): void =>
    take(found, { way: ChangeWay.Fetch, age: found.age ?? 0, isFirst: false });
  const adoptChanges = (delta: FeedDelta): void => {
    if (delta.from > changedAt || delta.to <= changedAt || mustList) return;
    // The store has told this instance more already: nothing new can be in the changes.
    const isKnown = delta.to <= version;
    const changes = isKnown ? [] : apply(delta.changes);
    version = Math.max(version, delta.to);
    changed(delta.to, changes, { way: ChangeWay.Digest, age: delta.age, isFirst: false });
  };
  const list = async (): Promise<void> => {
    take(await feed.listKind(kind), FROM_STORE);
    mustList = false;
  };
  const watch = async (): Promise<void> => {
    const { least, most } = feedsOthers() ? FEEDING_WAIT : WATCH_WAIT;
    const wait = failures > 0 ? PROBE_WAIT : least + random.next() * (most - least);
    const outcome = await feed.watchKind(kind, version, wait);
    if (outcome.kind === "history-lost") {
      mustList = true;
      return;
    }
    // Another instance's list may have been taken in while the watch waited: what it tells of is older then.
    if (outcome.version <= version) return;
    const changes = apply(outcome.changes);
    version = outcome.version;
    if (changes.length === 0) return;
    changed(version, changes, FROM_STORE);
    await sleep(clock, GROUP_TIME);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (!mustList && !isNeeded()) {
        await sleep(clock, IDLE_LOOK);
        continue;
      }
      try {
        await (mustList ? list() : watch());
        failures = 0;
        reach(true, "");
        answeredAt = clock.now();
      } catch (error) {
        // A call that the instance itself ended says nothing of the store.
        if (isClosed()) return;
        reach(false, String(error));
        failures++;
        const bound = Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** failures);
        await sleep(clock, bound * (0.5 + 0.5 * random.next()));
      }
    }
  };
  return {
    kind,
    get objects() {
      return objects;
    },
    get version() {
      return version;
    },
    get changedAt() {
      return changedAt;
    },
    get isAnswered() {
      return isReached === true;
    },
    get age() {
      return firstHeardAt === undefined ? undefined : clock.now() - firstHeardAt;
    },
    get answeredAt() {
      return answeredAt;
    },
    adopt,
    adoptChanges,
    changesSince: (since, fits = () => true) => {
      const first = remembered.findIndex(({ to }) => to > since);
      const oldest = remembered[first];
      if (oldest === undefined || oldest.from > since) return undefined;
      const changes: FeedChange[] = [];
      let to = since;
      for (const group of remembered.slice(first)) {
        if (!fits(group.changes)) break;
        changes.push(...group.changes);
        to = group.to;
      }
      const age = clock.now() - oldest.firstHeardAt;
      return to === since ? undefined : { kind, from: since, to, changes, age };
    },
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

function isOlder(object: FeedObject, objects: ReadonlyMap<string, FeedObject>): boolean {
  return object.version < (objects.get(object.name)?.version ?? 0);
}

function differences(
  before: ReadonlyMap<string, FeedObject>,
  after: ReadonlyMap<string, FeedObject>,
): FeedChange[] {
  const changes: FeedChange[] = [];
  for (const [name, object] of before) {
    if (!after.has(name)) changes.push({ object, removed: true });
  }
  for (const [name, object] of after) {
    if (before.get(name)?.version !== object.version) changes.push({ object, removed: false });
  }
  return changes;
}
