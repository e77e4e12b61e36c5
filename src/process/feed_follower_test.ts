import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { FeedObject, ObjectFeed, WatchOutcome } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import { createFeedFollower } from "./feed_follower.ts";
import type { FeedFollower } from "./feed_follower.ts";

/** A feed whose watches the test answers. */
interface Store extends ObjectFeed {
  objects: FeedObject[];
  version: number;
  lists: number;
  /** How long each watch was to wait. */
  waits: number[];
  /** Answers the watch that waits. */
  answer(outcome: WatchOutcome): void;
  /** Loses the call that waits. */
  lose(): void;
}

function createStore(): Store {
  let waiting: { resolve: (outcome: WatchOutcome) => void; reject: (error: Error) => void };
  const store: Store = {
    objects: [],
    version: 1,
    lists: 0,
    waits: [],
    listKind: () => {
      store.lists++;
      return Promise.resolve({ objects: store.objects, version: store.version });
    },
    watchKind: (_kind, _version, wait) => {
      store.waits.push(wait);
      return new Promise((resolve, reject) => (waiting = { resolve, reject }));
    },
    answer: (outcome) => waiting.resolve(outcome),
    lose: () => waiting.reject(new Error("no answer")),
  };
  return store;
}

function object(name: string, version: number): FeedObject {
  return { name, version, value: version };
}

interface Following {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly store: Store;
  readonly follower: FeedFollower;
  readonly reached: boolean[];
  readonly names: () => string[];
}

async function follow(objects: FeedObject[]): Promise<Following> {
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
    onChange: () => undefined,
    onReach: (now) => reached.push(now),
  });
  follower.start();
  await clock.advance(1);
  const names = (): string[] => [...follower.objects.keys()];
  return { clock, store, follower, reached, names };
}

test("changes are followed from the list on", async () => {
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

// The store forgets its history. What was removed meanwhile is in no change any more, only missing in a list.
test("after a lost history the list is had again", async () => {
  const { clock, store, names } = await follow([object("a", 3), object("b", 4)]);
  store.objects = [object("b", 4)];
  store.version = 20;
  store.answer({ kind: "history-lost" });
  await clock.advance(1);
  expect(store.lists).toBe(2);
  expect(names()).toEqual(["b"]);
});

// The store answers one instance late: a watch that waited tells of changes from before what a peer has sent.
test("what a peer sent is kept against an older answer of the store", async () => {
  const { clock, store, names, follower } = await follow([object("a", 3)]);
  follower.adopt({ objects: [object("a", 15), object("c", 16)], version: 17 });
  store.answer({
    kind: "changed",
    version: 14,
    changes: [{ object: object("a", 13), removed: true }],
  });
  await clock.advance(1);
  expect(names()).toEqual(["a", "c"]);
  expect(follower.version).toBe(17);
});

test("an older list changes nothing", async () => {
  const { follower, names } = await follow([object("a", 3)]);
  follower.adopt({ objects: [], version: 9 });
  expect(names()).toEqual(["a"]);
});

// The store is away. What was known holds, and the loss and the return are told once each.
test("a lost call changes nothing and is tried again after a pause", async () => {
  const { clock, store, names, reached } = await follow([object("a", 3)]);
  store.lose();
  await clock.advance(1_000);
  store.lose();
  await clock.advance(2_000);
  expect(names()).toEqual(["a"]);
  store.answer({ kind: "changed", version: 11, changes: [] });
  await clock.advance(1);
  expect(reached).toEqual([true, false, true]);
});

// The store is silent and then back. A watch that was sent to the silent store is never answered: waiting for it as
// long as usual, the instance would miss a key that is taken away right after the store's return.
test("after a lost watch the next ones are short until one is answered", async () => {
  const { clock, store } = await follow([object("a", 3)]);
  store.lose();
  await clock.advance(1_000);
  expect(store.waits.at(-1)).toBeLessThan(1_000);
  store.answer({ kind: "changed", version: 11, changes: [] });
  await clock.advance(1);
  expect(store.waits.at(-1)).toBeGreaterThan(2_000);
});

// Others tell an instance what changes in the store. What it is told must build on what it knows: a gap would leave out
// for good what changed in it.
test("changes that others tell are taken in where they build on what is known", async () => {
  const { follower, names } = await follow([object("a", 3)]);
  const added = { object: object("b", 12), removed: false };
  follower.adoptChanges({ kind: "k", from: 11, to: 12, changes: [added], age: 0 });
  expect(names()).toEqual(["a"]);
  follower.adoptChanges({ kind: "k", from: 3, to: 12, changes: [added], age: 0 });
  expect(names()).toEqual(["a", "b"]);
  expect(follower.changedAt).toBe(12);
  const removed = { object: object("a", 14), removed: true };
  follower.adoptChanges({ kind: "k", from: 3, to: 14, changes: [added, removed], age: 0 });
  expect(names()).toEqual(["b"]);
  follower.adoptChanges({ kind: "k", from: 3, to: 12, changes: [added], age: 0 });
  expect(follower.changedAt).toBe(14);
});

test("what changed since a version is remembered for others, as far as it goes back", async () => {
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

// Half of the workers change at once while others change one by one: what doesn't fit into one message is told with the
// next. Told all or nothing, an instance would fall behind for as long as changes go on.
test("the first changes that fit are told where all don't", async () => {
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

// Whoever reads the log has to see how late a change came and by which way.
test("how late a change is counts on from instance to instance", async () => {
  const { clock, store, follower } = await follow([object("a", 3)]);
  const changes = [{ object: object("b", 11), removed: false }];
  store.answer({ kind: "changed", changes, version: 11 });
  await clock.advance(150);
  expect(follower.changesSince(10)?.age).toBe(150);
  follower.adoptChanges({ kind: "k", from: 11, to: 12, changes: [], age: 400 });
  await clock.advance(50);
  expect(follower.changesSince(11)?.age).toBe(450);
  expect(follower.age).toBe(450);
});

// Hundreds of instances that each watch the store are hundreds of calls for each change.
test("an instance that others tell doesn't ask the store, and asks once they don't", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  let isNeeded = false;
  const follower = createFeedFollower({
    kind: "k",
    clock,
    random: createSeededRandom(1),
    feed: store,
    isNeeded: () => isNeeded,
    onChange: () => undefined,
    onReach: () => undefined,
  });
  follower.start();
  await clock.advance(1_000);
  // What there is at the start nobody else tells whole.
  expect(store.lists).toBe(1);
  expect(store.waits.length).toBe(0);
  isNeeded = true;
  await clock.advance(200);
  expect(store.waits.length).toBe(1);
});
