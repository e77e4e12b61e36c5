import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { FeedObject, ObjectFeed, WatchOutcome } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import { storeVersion } from "../version/index.ts";
import { createFeedFollower } from "./feed_follower.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { createMemoryFeed } from "./testing/memory_feed.ts";

/** A feed whose pending watch is completed by the test. */
interface Store extends ObjectFeed {
  objects: FeedObject[];
  version: number;
  lists: number;
  /** Timeout of each watch in milliseconds. */
  timeouts: number[];
  /** Completes the pending watch. */
  answer(outcome: WatchOutcome): void;
  /** Makes the pending call fail. */
  fail(): void;
}

function createStore(): Store {
  let waiting: { resolve: (outcome: WatchOutcome) => void; reject: (error: Error) => void };
  const store: Store = {
    objects: [],
    version: 1,
    lists: 0,
    timeouts: [],
    listKind: () => {
      store.lists++;
      return Promise.resolve({ objects: store.objects, version: store.version });
    },
    watchKind: (_kind, _version, wait) => {
      store.timeouts.push(wait);
      return new Promise((resolve, reject) => (waiting = { resolve, reject }));
    },
    answer: (outcome) => waiting.resolve(outcome),
    fail: () => waiting.reject(new Error("no answer")),
  };
  return store;
}

/** Milliseconds. */
const WATCH_TIMEOUT = 5_000;

function object(name: string, version: number): FeedObject {
  return { name, version, value: version };
}

interface FollowerSetup {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly store: Store;
  readonly follower: FeedFollower;
  readonly reached: boolean[];
  readonly names: () => string[];
}

async function follow(objects: FeedObject[]): Promise<FollowerSetup> {
  const clock = createVirtualClock();
  const store = createStore();
  store.objects = objects;
  store.version = 10;
  const reached: boolean[] = [];
  const follower = createFeedFollower({
    kind: "k",
    clock,
    random: createSeededRandom(1),
    feed: store,
    watchTimeout: () => WATCH_TIMEOUT,
    onAnswer: () => undefined,
    onChange: () => undefined,
    onReachabilityChange: (isReached) => reached.push(isReached),
  });
  follower.start();
  await clock.advance(1);
  const names = (): string[] => [...follower.objects.keys()];
  return { clock, store, follower, reached, names };
}

test("changes are applied after the initial list", async () => {
  const { clock, store, names, follower } = await follow([object("a", 3)]);
  store.answer({
    kind: "changed",
    version: 12,
    changes: [
      { object: object("b", 11), removed: false },
      { object: object("a", 3), removed: true },
    ],
  });
  await clock.advance(1);
  expect(names()).toEqual(["b"]);
  expect(follower.changedAt).toBe(12);
});

// The store loses its change history. Objects removed in the meantime appear in no change; they are
// only missing from the next list.
test("the list is read again after the store's history is lost", async () => {
  const { clock, store, names } = await follow([object("a", 3), object("b", 4)]);
  store.objects = [object("b", 4)];
  store.version = 20;
  store.answer({ kind: "history-lost" });
  await clock.advance(1);
  expect(store.lists).toBe(2);
  expect(names()).toEqual(["b"]);
});

// A delayed watch response contains changes that are older than a list already received from a
// peer.
test("an older response of the store doesn't override a peer's list", async () => {
  const { clock, store, names, follower } = await follow([object("a", 3)]);
  follower.applyList({ objects: [object("a", 15), object("c", 16)], version: 17 });
  store.answer({
    kind: "changed",
    version: 14,
    changes: [{ object: object("a", 13), removed: true }],
  });
  await clock.advance(1);
  expect(names()).toEqual(["a", "c"]);
  expect(follower.version).toBe(17);
});

test("an older list is ignored", async () => {
  const { follower, names } = await follow([object("a", 3)]);
  follower.applyList({ objects: [], version: 9 });
  expect(names()).toEqual(["a"]);
});

// The store is unreachable. Known objects are kept, and the loss and the return are reported once
// each.
test("a failed call changes nothing and is retried after a backoff", async () => {
  const { clock, store, names, reached } = await follow([object("a", 3)]);
  store.fail();
  await clock.advance(1_000);
  store.fail();
  await clock.advance(2_000);
  expect(names()).toEqual(["a"]);
  store.answer({ kind: "changed", version: 11, changes: [] });
  await clock.advance(1);
  expect(reached).toEqual([true, false, true]);
});

// The store is silent and then recovers. A watch sent to the silent store is never answered; with
// the usual timeout, the instance would miss a key that is revoked right after the recovery.
test("watches after a failure are short until one is answered", async () => {
  const { clock, store } = await follow([object("a", 3)]);
  store.fail();
  await clock.advance(1_000);
  expect(store.timeouts.at(-1)).toBeLessThan(1_000);
  store.answer({ kind: "changed", version: 11, changes: [] });
  await clock.advance(1);
  expect(store.timeouts.at(-1)).toBe(WATCH_TIMEOUT);
});

// All connections to the store go silent just before a watch ends. An answer that comes 2 s after the last one would
// count as the end of an outage, and removals of workers would be held back.
test("the store's answer to the first call after a silent watch comes within two seconds", async () => {
  const clock = createVirtualClock();
  const feed = createMemoryFeed(clock);
  const answers: number[] = [];
  const follower = createFeedFollower({
    kind: "k",
    clock,
    random: { next: () => 1 },
    feed: feed.of("a"),
    watchTimeout: () => 1_000,
    onAnswer: () => answers.push(clock.now()),
    onChange: () => undefined,
    onReachabilityChange: () => undefined,
  });
  follower.start();
  await clock.advance(1_500);
  feed.silencePending();
  await clock.advance(4_000);
  follower.close();
  const gaps = answers.slice(1).map((at, index) => at - (answers[index] ?? 0));
  // The watch, the margin after its timeout, the longest backoff, and 40 ms for the next call.
  expect(Math.max(...gaps)).toBeLessThanOrEqual(1_000 + 500 + 200 + 40);
});

// Other instances forward store changes. A delta must start at or before the last known change; a
// gap would lose the changes in it permanently.
test("a forwarded delta is applied only if it leaves no gap", async () => {
  const { follower, names } = await follow([object("a", 3)]);
  const added = { object: object("b", 12), removed: false };
  follower.applyDelta({ kind: "k", from: 11, to: 12, changes: [added], age: 0 });
  expect(names()).toEqual(["a"]);
  follower.applyDelta({ kind: "k", from: 3, to: 12, changes: [added], age: 0 });
  expect(names()).toEqual(["a", "b"]);
  expect(follower.changedAt).toBe(12);
  const removed = { object: object("a", 14), removed: true };
  follower.applyDelta({ kind: "k", from: 3, to: 14, changes: [added, removed], age: 0 });
  expect(names()).toEqual(["b"]);
  follower.applyDelta({ kind: "k", from: 3, to: 12, changes: [added], age: 0 });
  expect(follower.changedAt).toBe(14);
});

test("changes since a version are returned while they are retained", async () => {
  const { clock, store, follower } = await follow([object("a", 3)]);
  for (let version = 11; version <= 13; version++) {
    const changes = [{ object: object(`w${version}`, version), removed: false }];
    store.answer({ kind: "changed", changes, version });
    await clock.advance(200);
  }
  const since = follower.changesSince(11);
  expect(since?.changes.map(({ object: { name } }) => name)).toEqual(["w12", "w13"]);
  expect(since).toMatchObject({ from: 11, to: 13 });
  expect(follower.changesSince(13)).toBeUndefined();
  for (let version = 14; version <= 100; version++) {
    const changes = [{ object: object("w", version), removed: false }];
    store.answer({ kind: "changed", changes, version });
    await clock.advance(200);
  }
  expect(follower.changesSince(11)).toBeUndefined();
});

// Many workers change at once while others keep changing one by one. Changes that don't fit into
// one message are sent with the next; if they were sent all or nothing, a receiver would fall
// behind while changes continue.
test("the first batches that fit are returned when not all do", async () => {
  const { clock, store, follower } = await follow([object("a", 3)]);
  for (let version = 11; version <= 20; version++) {
    const changes = [{ object: object(`w${version}`, version), removed: false }];
    store.answer({ kind: "changed", changes, version });
    await clock.advance(200);
  }
  const upToThree = (): ((group: readonly unknown[]) => boolean) => {
    let count = 0;
    return (group) => (count += group.length) <= 3;
  };
  expect(follower.changesSince(12, upToThree())).toMatchObject({ from: 12, to: 15 });
  expect(follower.changesSince(18, upToThree())).toMatchObject({ from: 18, to: 20 });
  expect(follower.changesSince(12, () => false)).toBeUndefined();
});

// The log must show how late a change arrived and from which source.
test("the age of a change accumulates from instance to instance", async () => {
  const { clock, store, follower } = await follow([object("a", 3)]);
  const changes = [{ object: object("b", 11), removed: false }];
  store.answer({ kind: "changed", changes, version: 11 });
  await clock.advance(150);
  expect(follower.changesSince(10)?.age).toBe(150);
  follower.applyDelta({ kind: "k", from: 11, to: 12, changes: [], age: 400 });
  await clock.advance(50);
  expect(follower.changesSince(11)?.age).toBe(450);
  expect(follower.age).toBe(450);
});

// If hundreds of instances each watched the store, every change would cost hundreds of calls.
test("an instance that receives changes from others queries the store only when it has to", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  let isNeeded = false;
  const follower = createFeedFollower({
    kind: "k",
    clock,
    random: createSeededRandom(1),
    feed: store,
    watchTimeout: () => WATCH_TIMEOUT,
    isNeeded: () => isNeeded,
    onAnswer: () => undefined,
    onChange: () => undefined,
    onReachabilityChange: () => undefined,
  });
  follower.start();
  await clock.advance(1_000);
  // No other instance sends the complete list at startup.
  expect(store.lists).toBe(1);
  expect(store.timeouts.length).toBe(0);
  isNeeded = true;
  await clock.advance(200);
  expect(store.timeouts.length).toBe(1);
});

/** Returns a version after the store's first restore. */
function restored(revision: number): number {
  return storeVersion({ era: 1, revision });
}

// The store returns from an older copy and assigns lower revisions. An instance that takes its list for outdated misses
// everything that is written from then on.
test("a list after a restore of the store replaces all objects", async () => {
  const { clock, store, names, follower } = await follow([object("a", 3), object("b", 9)]);
  store.objects = [object("a", restored(3))];
  store.version = restored(5);
  store.answer({ kind: "history-lost" });
  await clock.advance(1);
  expect(names()).toEqual(["a"]);
  expect(follower.version).toBe(restored(5));
});

// The receiver of the changes may have other objects from before the restore than the sender, which would remain.
test("changes from before and after a restore are never sent as one delta", async () => {
  const { clock, store, follower } = await follow([object("a", 3), object("b", 9)]);
  const before = follower.changedAt;
  store.objects = [object("a", restored(3))];
  store.version = restored(5);
  store.answer({ kind: "history-lost" });
  await clock.advance(1);
  expect(follower.changesSince(before)).toBeUndefined();
  expect(follower.changesSince(before - 1)).toBeUndefined();
  follower.applyDelta({ kind: "k", from: before, to: before + 5, changes: [], age: 0 });
  expect(follower.version).toBe(restored(5));
});

// A store that can't serve watches at all would otherwise get hundreds of calls a second from each instance.
test("lists and watches are spaced out if every watch is refused", async () => {
  const { clock, store } = await follow([object("a", 3)]);
  store.watchKind = () => Promise.resolve({ kind: "history-lost" });
  store.answer({ kind: "history-lost" });
  await clock.advance(10_000);
  expect(store.lists).toBeGreaterThan(5);
  expect(store.lists).toBeLessThan(40);
});

// Instance A has lost some changes and finds with a list that an object was removed; B has received an update of the object
// that A has not. If B took the removal for older than the update, it would keep the object for good: a worker that has left.
test("a removal that another instance found in a list removes an object with a later update", async () => {
  const a = await follow([object("w", 3), object("x", 9)]);
  const b = await follow([object("w", 3), object("x", 9)]);
  const update = [{ object: object("w", 12), removed: false }];
  b.store.answer({ kind: "changed", version: 12, changes: update });
  await b.clock.advance(200);
  a.store.objects = [object("x", 9)];
  a.store.version = 15;
  a.store.answer({ kind: "history-lost" });
  await a.clock.advance(200);
  const delta = a.follower.changesSince(b.follower.changedAt);
  if (delta === undefined) throw new Error("The list has caused no change.");
  b.follower.applyDelta(delta);
  expect(b.names()).toEqual(["x"]);
});

test("a removal that another instance found in a list keeps an object that was created again", async () => {
  const a = await follow([object("w", 3), object("x", 9)]);
  const b = await follow([object("w", 3), object("x", 9)]);
  a.store.objects = [object("x", 9)];
  a.store.version = 15;
  a.store.answer({ kind: "history-lost" });
  await a.clock.advance(200);
  const found = a.follower.changesSince(9);
  if (found === undefined) throw new Error("The list has caused no change.");
  const created = { object: object("w", 17), removed: false };
  b.follower.applyDelta({ kind: "k", from: 9, to: 17, changes: [created], age: 0 });
  b.follower.applyDelta({ ...found, to: 18 });
  expect(b.names().sort()).toEqual(["w", "x"]);
});

/** A value that `JSON.stringify` can't write. */
const DEEP: unknown = JSON.parse("[".repeat(20_000) + "]".repeat(20_000));

// An instance of an earlier version passes on what it has received. Objects that can't be passed on again would end this
// instance.
test("follows objects from other instances that exceed the limits without their values", async () => {
  const { follower, store } = await follow([object("a", 5)]);
  const listed = { name: "b", version: 11, value: DEEP };
  follower.applyList({ objects: [object("a", 5), listed], version: 11, changedAt: 11 });
  const changed = { name: "c", version: 12, value: {}, status: DEEP };
  const changes = [{ object: changed, removed: false }];
  follower.applyDelta({ kind: "k", from: 11, to: 12, changes, age: 0 });
  expect([...follower.objects.values()].map(({ value }) => value)).toEqual([5, null, null]);
  expect(JSON.stringify(follower.changesSince(10))).toContain('"excess":"depth"');
  store.answer({ kind: "changed", changes: [], version: 13 });
  follower.close();
});

test.each([
  ["is too long", "x".repeat(2_000)],
  ["isn't Unicode text", "i-\ud800"],
])("ignores an object whose name %s", async (_title, name) => {
  const { clock, follower, names, store } = await follow([object("a", 5), object(name, 6)]);
  store.answer({
    kind: "changed",
    changes: [
      { object: object(name, 11), removed: false },
      { object: object("b", 12), removed: false },
    ],
    version: 12,
  });
  await clock.advance(1);
  expect(names()).toEqual(["a", "b"]);
  follower.close();
});
