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

/** The source from which an instance received a change. */
export enum ChangeWay {
  /** A list or watch response of the store. */
  Store = "store",
  /** Another instance's digest. */
  Digest = "digest",
  /** A fetch from another instance. */
  Fetch = "fetch",
}

/** How and how late changes arrived. */
export interface ChangeArrival {
  readonly way: ChangeWay;
  /**
   * Milliseconds since the first instance received the oldest of the changes; 0 if this instance
   * was the first.
   */
  readonly age: number;
  /** Whether no list was known before. The changes may then be arbitrarily old. */
  readonly isFirst: boolean;
}

/** Follows all objects of one kind in the store. */
export interface FeedFollower {
  readonly kind: string;
  /** Objects by name; empty until the first list arrives. */
  readonly objects: ReadonlyMap<string, FeedObject>;
  /** Store version that `objects` reflects; 0 until the first list arrives. */
  readonly version: number;
  /** Store version of the last known change; 0 until the first list arrives. */
  readonly changedAt: number;
  /** Whether the store answered the most recent call. */
  readonly isAnswered: boolean;
  /**
   * Milliseconds since the first instance received the last change; undefined until the first list
   * arrives.
   */
  readonly age: number | undefined;
  /** When the store last answered, in milliseconds of `clock`; undefined if it never has. */
  readonly answeredAt: number | undefined;
  /** Applies a list from another instance unless it is older than what is known. */
  adopt(list: FeedList): void;
  /**
   * Applies changes from another instance. A delta that starts after the last known change is
   * ignored, because there would be a gap.
   */
  adoptChanges(delta: FeedDelta): void;
  /**
   * Returns the changes after a store version; undefined if there are none or if they are no longer
   * retained.
   *
   * @param fits Called for each batch of changes in order; returns whether it still fits into the
   * message. The first batch that doesn't fit ends the delta.
   */
  changesSince(
    version: number,
    fits?: (group: readonly FeedChange[]) => boolean,
  ): FeedDelta | undefined;
  start(): void;
  close(): void;
}

/** Dependencies and settings of {@linkcode createFeedFollower}. */
export interface FeedFollowerParts {
  readonly kind: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly feed: ObjectFeed;
  /**
   * Whether this instance must query the store itself rather than receive changes from other
   * instances. Each watch costs the store one call per change, and hundreds of watches would all
   * return the same data.
   */
  readonly isNeeded?: () => boolean;
  /** Whether other instances depend on this one for changes. Its watches are then short. */
  readonly feedsOthers?: () => boolean;
  /** Called after objects have changed. */
  readonly onChange: (changes: readonly FeedChange[], arrival: ChangeArrival) => void;
  /** Called when the store starts or stops answering. */
  readonly onReach: (reached: boolean, detail: string) => void;
}

/**
 * Range of the watch timeout in milliseconds. An open connection can go silent permanently, which
 * only the timeout reveals. Timeouts differ between instances, and the first instance to learn of a
 * change informs the others, so even if all connections go silent at once, a change is delayed only
 * until the first timeout. Shorter timeouts cost more calls.
 */
const WATCH_WAIT = { least: 3_000, most: 10_000 };
/**
 * Range of the watch timeout in milliseconds where a few instances watch the store for hundreds.
 * They detect a silent connection sooner, and with few watchers the additional calls are few.
 */
const FEEDING_WAIT = { least: 1_500, most: 2_500 };
/**
 * Watch timeout in milliseconds after a failed call. A request sent to a silent store is never
 * answered, even after the store recovers; with a long timeout, the instance would miss changes in
 * the first seconds after the recovery.
 */
const PROBE_WAIT = 400;
/**
 * Milliseconds between a change and the next watch. Changes come in bursts, and every watch
 * response costs a call.
 */
const GROUP_TIME = 120;
/** Minimum and maximum of the exponential backoff after failed calls, in milliseconds. */
const FIRST_PAUSE = 100;
const LONGEST_PAUSE = 800;
/** Milliseconds between checks whether the store must be queried. */
const IDLE_LOOK = 100;
/** Maximum number of batches of changes retained for other instances. */
const REMEMBERED_GROUPS = 64;

const FROM_STORE: ChangeArrival = { way: ChangeWay.Store, age: 0, isFirst: false };

/** Changes that arrived together. */
interface Remembered extends Pick<FeedDelta, "from" | "to" | "changes"> {
  /** When the first instance received them, in milliseconds of the local clock. */
  readonly firstHeardAt: number;
}

/** Creates a follower without any objects. */
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
  /** The most recent batches of changes; each starts at the version where the previous one ends. */
  const remembered: Remembered[] = [];
  /** When the first instance received the last change, in milliseconds of the local clock. */
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
    // A list older than the known version would restore removed objects.
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
    // The store has already returned a later version, so the delta contains nothing new.
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
    // A newer list may have been applied while the watch was pending.
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
        // An error caused by closing this follower is not a failure of the store.
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
