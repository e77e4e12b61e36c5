import { sleep } from "../interface/index.ts";
import type {
  Clock,
  FeedChange,
  FeedDelta,
  FeedSnapshot,
  FeedObject,
  ObjectFeed,
  Random,
} from "../interface/index.ts";
import { eraOf, startOfEra } from "../version/index.ts";
import { ENTRY_LIMITS, isUsableName, limitObject } from "./object_limits.ts";
import type { ObjectLimits } from "./object_limits.ts";

/** The source from which an instance received a change. */
export enum ChangeSource {
  /** A list or watch response of the store. */
  Store = "store",
  /** Another instance's digest. */
  Digest = "digest",
  /** A fetch from another instance. */
  Fetch = "fetch",
}

/** How and how late changes arrived. */
export interface ChangeArrival {
  readonly source: ChangeSource;
  /**
   * Milliseconds since the first instance received the oldest of the changes; 0 if this instance
   * was the first.
   */
  readonly age: number;
  /** Whether no list was known before. The changes may then be arbitrarily old. */
  readonly isFirst: boolean;
  /**
   * Whether the store was restored from a copy since the last changes. Objects may then be older
   * than they were, and missing ones may have been lost instead of removed.
   */
  readonly isRestored: boolean;
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
  readonly isStoreAnswering: boolean;
  /**
   * Milliseconds since the first instance received the last change; undefined until the first list
   * arrives.
   */
  readonly age: number | undefined;
  /** When the store last answered, in milliseconds of `clock`; undefined if it never has. */
  readonly answeredAt: number | undefined;
  /** Applies a list from another instance unless it is older than what is known. */
  applyList(list: FeedSnapshot): void;
  /**
   * Applies changes from another instance. A delta that starts after the last known change is
   * ignored, because there would be a gap.
   */
  applyDelta(delta: FeedDelta): void;
  /**
   * Returns the changes after a store version; undefined if there are none or if they are no longer
   * retained.
   *
   * @param fits Called for each batch of changes in order; returns whether it still fits into the
   * message. The first batch that doesn't fit ends the delta.
   */
  changesSince(
    version: number,
    fits?: (batch: readonly FeedChange[]) => boolean,
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
  /**
   * Returns what the object with a name may hold if it comes from another instance. Beyond that, it
   * is followed without its value.
   */
  readonly limitsOf?: (name: string) => ObjectLimits;
  /** Called with the name of an object that is ignored because its name is too long or isn't Unicode text. */
  readonly onUnusableName?: (name: string) => void;
  /** Returns the milliseconds until a watch that starts now is to be renewed. */
  readonly watchTimeout: () => number;
  /** Called when the store has answered, before changes in the answer are applied. */
  readonly onAnswer: () => void;
  /** Called after objects have changed. */
  readonly onChange: (changes: readonly FeedChange[], arrival: ChangeArrival) => void;
  /** Called when the store starts or stops answering. */
  readonly onReachabilityChange: (reached: boolean, detail: string) => void;
}

/**
 * Watch timeout in milliseconds after a failed call. A request sent to a silent store is never
 * answered, even after the store recovers; with a long timeout, the instance would miss changes in
 * the first seconds after the recovery. The first answer must also come soon after a failure: until
 * then, a silent connection can't be distinguished from an outage of the store.
 */
const RETRY_WATCH_TIMEOUT = 20;
/**
 * Milliseconds between a change and the next watch. Changes come in bursts, and every watch
 * response costs a call.
 */
const BATCH_DELAY = 120;
/** Minimum and maximum of the exponential backoff after failed calls, in milliseconds. */
const MIN_BACKOFF = 100;
const MAX_BACKOFF = 800;
/** Milliseconds between checks whether the store must be queried. */
const IDLE_POLL_INTERVAL = 100;
/** Maximum number of batches of changes retained for other instances. */
const MAX_RETAINED_BATCHES = 64;

const FROM_STORE: ChangeArrival = {
  source: ChangeSource.Store,
  age: 0,
  isFirst: false,
  isRestored: false,
};

/** Changes that arrived together. */
interface ChangeBatch extends Pick<FeedDelta, "from" | "to" | "changes"> {
  /** When the first instance received them, in milliseconds of the local clock. */
  readonly firstReceivedAt: number;
}

/** Creates a follower without any objects. */
export function createFeedFollower(parts: FeedFollowerParts): FeedFollower {
  const { kind, clock, random, feed, isNeeded = () => true } = parts;
  const { limitsOf = () => ENTRY_LIMITS, onUnusableName = () => undefined } = parts;
  let objects = new Map<string, FeedObject>();
  let version = 0;
  let changedAt = 0;
  let answeredAt: number | undefined;
  let isAnswering: boolean | undefined;
  let failures = 0;
  /** Number of watches in a row for which the store no longer had the changes. */
  let historyLosses = 0;
  let isListNeeded = true;
  /** The most recent batches of changes; each starts at the version where the previous one ends. */
  const batches: ChangeBatch[] = [];
  /** When the first instance received the last change, in milliseconds of the local clock. */
  let firstReceivedAt: number | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const updateReachability = (reached: boolean, detail: string): void => {
    if (reached === isAnswering) return;
    isAnswering = reached;
    parts.onReachabilityChange(reached, detail);
  };
  const recordChanges = (
    to: number,
    changes: readonly FeedChange[],
    arrival: ChangeArrival,
  ): void => {
    firstReceivedAt = clock.now() - arrival.age;
    if (to > changedAt) batches.push({ from: changedAt, to, changes, firstReceivedAt });
    if (batches.length > MAX_RETAINED_BATCHES) batches.shift();
    changedAt = to;
    if (changes.length > 0) parts.onChange(changes, arrival);
  };
  const limited = (object: FeedObject): FeedObject => limitObject(object, limitsOf(object.name));
  const hasUsableName = ({ name }: FeedObject): boolean => {
    if (isUsableName(name)) return true;
    onUnusableName(name);
    return false;
  };
  const apply = (changes: readonly FeedChange[]): FeedChange[] => {
    const newer = changes.filter(
      ({ object }) => hasUsableName(object) && !isOlder(object, objects),
    );
    for (const { object, removed } of newer) {
      if (removed) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    return newer;
  };
  const replaceObjects = (
    snapshot: FeedSnapshot,
    { source, age }: Pick<ChangeArrival, "source" | "age">,
  ): void => {
    // A list older than the known version would restore removed objects.
    if (snapshot.version < version) return;
    const previous = objects;
    const isFirst = version === 0;
    const isRestored = !isFirst && eraOf(snapshot.version) > eraOf(version);
    const arrival = { source, age, isFirst, isRestored };
    if (isRestored) {
      // No batch may lead from one era to the next: its receiver may have other objects of the
      // earlier era than this instance. It fetches the complete list instead.
      batches.length = 0;
      changedAt = startOfEra(snapshot.version);
    }
    const listed = snapshot.objects.filter(hasUsableName);
    objects = new Map(listed.map((object) => [object.name, object]));
    version = snapshot.version;
    const changes = differences(previous, { objects, version });
    if (changes.length === 0) {
      if (snapshot.changedAt !== undefined) {
        recordChanges(Math.max(changedAt, snapshot.changedAt), [], arrival);
      }
      return;
    }
    const latest = listed.reduce((max, object) => Math.max(max, object.version), 0);
    const isRemoval = changes.some(({ removed }) => removed);
    const at = snapshot.changedAt ?? (isRemoval ? snapshot.version : latest);
    recordChanges(Math.max(changedAt, at), changes, arrival);
  };
  const applyList = (snapshot: FeedSnapshot): void => {
    const objectsWithinLimits = snapshot.objects.map(limited);
    const { age = 0 } = snapshot;
    replaceObjects(
      { ...snapshot, objects: objectsWithinLimits },
      { source: ChangeSource.Fetch, age },
    );
  };
  const applyDelta = (delta: FeedDelta): void => {
    if (delta.from > changedAt || delta.to <= changedAt || isListNeeded) return;
    // The store has already returned a later version, so the delta contains nothing new.
    const isKnown = delta.to <= version;
    const changes = isKnown
      ? []
      : apply(delta.changes.map(({ object, removed }) => ({ object: limited(object), removed })));
    version = Math.max(version, delta.to);
    recordChanges(delta.to, changes, {
      source: ChangeSource.Digest,
      age: delta.age,
      isFirst: false,
      isRestored: false,
    });
  };
  const list = async (): Promise<void> => {
    const snapshot = await feed.listKind(kind);
    parts.onAnswer();
    replaceObjects(snapshot, FROM_STORE);
    isListNeeded = false;
  };
  const backOff = (attempts: number): Promise<void> => {
    const maxDelay = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** attempts);
    return sleep(clock, maxDelay * (0.5 + 0.5 * random.next()));
  };
  const watch = async (): Promise<void> => {
    const timeout = failures > 0 ? RETRY_WATCH_TIMEOUT : parts.watchTimeout();
    const outcome = await feed.watchKind(kind, version, timeout);
    parts.onAnswer();
    if (outcome.kind === "history-lost") {
      isListNeeded = true;
      // A watch from the version of a new list should not fail like this. If it does nevertheless, both
      // calls must not be repeated without a pause.
      if (++historyLosses > 1) await backOff(historyLosses);
      return;
    }
    historyLosses = 0;
    // A newer list may have been applied while the watch was pending.
    if (outcome.version <= version) return;
    const changes = apply(outcome.changes);
    version = outcome.version;
    if (changes.length === 0) return;
    recordChanges(version, changes, FROM_STORE);
    await sleep(clock, BATCH_DELAY);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      if (!isListNeeded && !isNeeded()) {
        await sleep(clock, IDLE_POLL_INTERVAL);
        continue;
      }
      try {
        await (isListNeeded ? list() : watch());
        failures = 0;
        updateReachability(true, "");
        answeredAt = clock.now();
      } catch (error) {
        // An error caused by closing this follower is not a failure of the store.
        if (isClosed()) return;
        updateReachability(false, String(error));
        failures++;
        await backOff(failures);
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
    get isStoreAnswering() {
      return isAnswering === true;
    },
    get age() {
      return firstReceivedAt === undefined ? undefined : clock.now() - firstReceivedAt;
    },
    get answeredAt() {
      return answeredAt;
    },
    applyList,
    applyDelta,
    changesSince: (since, fits = () => true) => {
      const first = batches.findIndex(({ to }) => to > since);
      const oldest = batches[first];
      if (oldest === undefined || oldest.from > since) return undefined;
      const changes: FeedChange[] = [];
      let to = since;
      for (const batch of batches.slice(first)) {
        if (!fits(batch.changes)) break;
        changes.push(...batch.changes);
        to = batch.to;
      }
      const age = clock.now() - oldest.firstReceivedAt;
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

/**
 * Returns the changes that lead to the objects of a list. A removal has the list's version: the
 * object may have been updated after its last version that is known here.
 */
function differences(
  before: ReadonlyMap<string, FeedObject>,
  { objects: after, version }: { objects: ReadonlyMap<string, FeedObject>; version: number },
): FeedChange[] {
  const changes: FeedChange[] = [];
  for (const [name, object] of before) {
    if (!after.has(name)) changes.push({ object: { ...object, version }, removed: true });
  }
  for (const [name, object] of after) {
    if (before.get(name)?.version !== object.version) changes.push({ object, removed: false });
  }
  return changes;
}
