import { expect, test } from "vitest";
import { sleep } from "../interface/index.ts";
import type { FeedObject, PutOutcome } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { createStreamRecordStore, STREAM_RECORDS_KEY } from "./stream_record_store.ts";
import type { StreamRecordStore } from "./stream_record_store.ts";
import type { AttemptVersion } from "./stream_record_codec.ts";

/** Maximum duration of a stream in milliseconds. */
const MAX_DURATION = 30_000;
/** Milliseconds that a call of the store takes. */
const CALL_TIME = 4;
const GROUP = "all";
const KEY_PREFIX = `${STREAM_RECORDS_KEY}/${GROUP}/`;

/** How the store responds to writes. */
enum Writes {
  Done,
  Refused,
  /** They are done, but the response is lost. */
  Unanswered,
}

interface MemoryObjects {
  readonly objects: Map<string, FeedObject>;
  era: number;
  writes: Writes;
  lists: number;
  /** Number of writes and deletions. */
  changes: number;
  /** Characters of all values that were written. */
  characters: number;
}

interface Instance {
  readonly task: StreamRecordStore;
  /** What it knows, by attempt, and when it was added. */
  readonly known: Map<bigint, { record: AttemptVersion; at: number }>;
  isWriter: boolean;
  isEnabled: boolean;
  isMixed: boolean;
  add(attempt: number): void;
}

function createObjects(): MemoryObjects {
  return {
    objects: new Map(),
    era: 0,
    writes: Writes.Done,
    lists: 0,
    changes: 0,
    characters: 0,
  };
}

function startInstance(
  shared: MemoryObjects,
  clock: VirtualClock,
  { name = "a", isSmallFleet = true, isEnabled = true } = {},
): Instance {
  let version = shared.objects.size * 1_000;
  const put = async (key: string, value: string, expected: number): Promise<PutOutcome> => {
    await sleep(clock, CALL_TIME);
    shared.changes++;
    if (shared.writes === Writes.Refused) return { kind: "unavailable", detail: "busy" };
    const objectName = key.slice(KEY_PREFIX.length);
    expect(key.startsWith(KEY_PREFIX)).toBe(true);
    if ((shared.objects.get(objectName)?.version ?? 0) !== expected) return { kind: "conflict" };
    shared.characters += value.length;
    shared.objects.set(objectName, { name: objectName, version: ++version, value });
    return shared.writes === Writes.Unanswered
      ? { kind: "unknown", detail: "lost" }
      : { kind: "written", version };
  };
  const instance: Instance = {
    known: new Map(),
    isWriter: true,
    isEnabled,
    isMixed: true,
    add: (number) => {
      const attempt = BigInt(number);
      const version = { service: "desk", version: `v${number % 2}` };
      instance.known.set(attempt, { record: { attempt, version }, at: clock.now() });
    },
    task: createStreamRecordStore({
      clock,
      store: {
        get era() {
          return shared.era;
        },
        put: (key, value, { expect: expected }) => put(key, value, expected),
        delete: async (key, options) => {
          await sleep(clock, CALL_TIME);
          shared.changes++;
          const objectName = key.slice(KEY_PREFIX.length);
          if (shared.objects.get(objectName)?.version !== options?.expect) return false;
          return shared.objects.delete(objectName);
        },
      },
      feed: {
        listKind: async () => {
          await sleep(clock, CALL_TIME);
          shared.lists++;
          return { objects: [...shared.objects.values()], version };
        },
      },
      kindOf: (group) => group,
      writer: {
        other: () => (instance.isWriter ? undefined : ({} as never)),
        group: () => GROUP,
      },
      isEnabled: () => instance.isEnabled,
      isDiscovering: () => false,
      namePrefix: () => name,
      isSmallFleet: () => isSmallFleet,
      records: () =>
        [...instance.known.values()]
          .filter(({ at }) => at >= clock.now() - MAX_DURATION)
          .map(({ record }) => record),
      mixed: () => (instance.isMixed ? new Map([["desk", new Set(["v0", "v1"])]]) : new Map()),
      restore: (records) => {
        for (const { attempt } of records)
          if (!instance.known.has(attempt)) instance.add(Number(attempt));
      },
      maxDuration: () => MAX_DURATION,
      log: { changed: () => undefined, fault: (_, { detail }) => expect.unreachable(`${detail}`) },
    }),
  };
  instance.task.start();
  return instance;
}

/** Returns the attempts that an instance reads that starts now. */
async function readAll(shared: MemoryObjects, clock: VirtualClock): Promise<number[]> {
  const reader = startInstance(shared, clock, { name: "reader" });
  reader.isMixed = false;
  await clock.advance(100);
  reader.task.close();
  return [...reader.known.keys()].map(Number).sort((a, b) => a - b);
}

/** Has a stream begin every so many milliseconds. */
async function beginStreams(
  instance: Instance,
  clock: VirtualClock,
  { from = 0, count, interval }: { from?: number; count: number; interval: number },
): Promise<void> {
  for (let number = from; number < from + count; number++) {
    instance.add(number);
    await clock.advance(interval);
  }
}

const numbers = (from: number, to: number): number[] =>
  Array.from({ length: to - from }, (_, index) => from + index);

// Guards against records that are lost with all instances, and those that are written although nobody needs them.
test("an instance that starts has the records of the one before", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const writer = startInstance(shared, clock);
  await beginStreams(writer, clock, { count: 100, interval: 50 });
  await clock.advance(500);
  writer.task.close();
  expect(await readAll(shared, clock)).toEqual(numbers(0, 100));
});

// Guards against objects in the store that accumulate, since none of them expires by itself.
test("objects are used again and, once a service has one version, deleted", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const writer = startInstance(shared, clock);
  await beginStreams(writer, clock, { count: 1_800, interval: 50 });
  const { size } = shared.objects;
  expect(size).toBeLessThanOrEqual(MAX_DURATION / 250 + 2);
  // Four writes a second for 90 s, and one list.
  expect(shared.changes).toBeLessThanOrEqual(360);
  expect(shared.lists).toBe(1);
  writer.isMixed = false;
  await clock.advance(2 * MAX_DURATION + 10_000);
  expect(shared.objects.size).toBe(0);
  expect(shared.changes).toBeLessThanOrEqual(360 + size);
});

// Guards against the objects of ended instances that stay forever.
test("objects of an ended instance are deleted by the next one", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const before = startInstance(shared, clock);
  await beginStreams(before, clock, { count: 100, interval: 50 });
  before.task.close();
  startInstance(shared, clock, { name: "b" }).isMixed = false;
  await clock.advance(2 * MAX_DURATION + 10_000);
  expect(shared.objects.size).toBe(0);
});

// Guards against an instance with an outdated view that destroys the objects of the current writer.
test("two writers at the same time lose no records", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const [a, b] = [startInstance(shared, clock), startInstance(shared, clock, { name: "b" })];
  for (let number = 0; number < 1_800; number += 2) {
    a.add(number);
    b.add(number + 1);
    await clock.advance(50);
  }
  await clock.advance(1_500);
  const found = await readAll(shared, clock);
  // Those of the last 25 s may still be taken up.
  expect(found.filter((number) => number >= 800)).toEqual(numbers(800, 1_800));
});

// Guards against records that are missing after a write failed, or its response was lost.
test.each([Writes.Refused, Writes.Unanswered])(
  "records of failed writes are written again (%s)",
  async (writes) => {
    const clock = createVirtualClock();
    const shared = createObjects();
    const writer = startInstance(shared, clock);
    await beginStreams(writer, clock, { count: 20, interval: 50 });
    shared.writes = writes;
    await beginStreams(writer, clock, { from: 20, count: 100, interval: 50 });
    // One write and one list a second.
    expect(shared.changes).toBeLessThanOrEqual(12);
    shared.writes = Writes.Done;
    await clock.advance(1_500);
    expect(await readAll(shared, clock)).toEqual(numbers(0, 120));
  },
);

// Guards against records that are missing after the store was restored from a copy.
test("records that the store has lost are written again", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const writer = startInstance(shared, clock);
  await beginStreams(writer, clock, { count: 20, interval: 50 });
  const copy = new Map(shared.objects);
  await beginStreams(writer, clock, { from: 20, count: 20, interval: 50 });
  shared.objects.clear();
  for (const [name, object] of copy) shared.objects.set(name, object);
  shared.era++;
  await clock.advance(1_500);
  expect(await readAll(shared, clock)).toEqual(numbers(0, 40));
});

// Guards against the records of the time in which no instance wrote, after the writer alone has ended.
test("a new writer adds the records that the earlier one has not written", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const [a, b] = [startInstance(shared, clock), startInstance(shared, clock, { name: "b" })];
  b.isWriter = false;
  await beginStreams(a, clock, { count: 20, interval: 50 });
  a.task.close();
  // Copies of the records, the last of which are not in the store.
  for (const { record, at } of a.known.values()) b.known.set(record.attempt, { record, at });
  await beginStreams(b, clock, { from: 20, count: 20, interval: 50 });
  b.isWriter = true;
  await clock.advance(600);
  expect(await readAll(shared, clock)).toEqual(numbers(0, 40));
});

// Guards against a rise of what records cost; the figures are in docs/CAPACITY.md.
test("the writer of a zone of 17 instances writes no more than it has new records", async () => {
  const clock = createVirtualClock();
  const shared = createObjects();
  const writer = startInstance(shared, clock, { isSmallFleet: false });
  const [instances, rate, seconds] = [17, 35, 60];
  let number = 0;
  for (let step = 0; step < 10 * seconds; step++) {
    for (; number < ((step + 1) * instances * rate) / 10; number++) writer.add(number);
    await clock.advance(100);
  }
  expect(shared.changes / seconds).toBeLessThanOrEqual(1);
  expect(shared.characters / seconds).toBeLessThan(12.5 * instances * rate);
  expect(shared.objects.size).toBeLessThanOrEqual(MAX_DURATION / 1_000 + 2);
});

// Guards against calls of the store by a large fleet, which are not wanted there by default, and against records that are
// missing after a fleet has become small.
test("records are stored only while that is enabled", async () => {
  const shared = createObjects();
  const clock = createVirtualClock();
  const instance = startInstance(shared, clock, { isEnabled: false });
  await beginStreams(instance, clock, { count: 5, interval: 200 });
  expect([shared.lists, shared.changes]).toEqual([0, 0]);
  instance.isEnabled = true;
  await clock.advance(1_000);
  instance.task.close();
  expect(await readAll(shared, clock)).toEqual([0, 1, 2, 3, 4]);
});
