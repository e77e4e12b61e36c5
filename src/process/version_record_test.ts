import { expect, test } from "vitest";
import type { ObjectStore, PutOutcome, StoredObject } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { createVersionRecord, VERSION_RECORD_KEY } from "./version_record.ts";
import type { VersionRecord } from "./version_record.ts";

/** A store with one object. */
interface OneObjectStore extends Pick<ObjectStore, "get" | "put"> {
  stored: StoredObject | undefined;
  isDown: boolean;
  calls: number;
}

function createStore(): OneObjectStore {
  const store: OneObjectStore = {
    stored: undefined,
    isDown: false,
    calls: 0,
    get: () => {
      store.calls++;
      if (store.isDown) return Promise.resolve({ kind: "unavailable", detail: "down" });
      const object = store.stored;
      return Promise.resolve(object === undefined ? { kind: "absent" } : { kind: "found", object });
    },
    put: (key, value, { expect: expected }): Promise<PutOutcome> => {
      store.calls++;
      if (store.isDown) return Promise.resolve({ kind: "unavailable", detail: "down" });
      const version = store.stored?.version ?? 0;
      if (version !== expected) return Promise.resolve({ kind: "conflict" });
      store.stored = { key, value, version: version + 1 };
      return Promise.resolve({ kind: "written", version: version + 1 });
    },
  };
  return store;
}

interface Writer {
  readonly record: VersionRecord;
  isWriter: boolean;
  mixed: Record<string, string[]>;
  coversPeriod: boolean;
}

function startWriter(store: OneObjectStore, clock: VirtualClock): Writer {
  const writer: Writer = {
    isWriter: true,
    mixed: {},
    coversPeriod: true,
    record: createVersionRecord({
      clock,
      store,
      isWriter: () => writer.isWriter,
      mixed: () => new Map(Object.entries(writer.mixed).map(([name, all]) => [name, new Set(all)])),
      coversPeriod: () => writer.coversPeriod,
      log: { changed: () => undefined },
    }),
  };
  writer.record.start();
  return writer;
}

const CHECKS = 2_000;
const MIXED = { desk: ["v1", "v2"] };

test("the writer records mixed services and removes them when they aren't any more", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  await clock.advance(CHECKS);
  expect(store.stored).toBeUndefined();
  writer.mixed = MIXED;
  await clock.advance(CHECKS);
  expect(store.stored?.key).toBe(VERSION_RECORD_KEY);
  expect(JSON.parse(store.stored?.value ?? "")).toEqual(MIXED);
  expect(await writer.record.read()).toEqual(new Map([["desk", new Set(["v1", "v2"])]]));
  writer.mixed = {};
  await clock.advance(CHECKS);
  expect(await writer.record.read()).toEqual(new Map());
});

// Guards against a new writer that removes a version that it hasn't seen, because it left before its start.
test("a new writer keeps the record until it has followed the workers for as long as streams last", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const before = startWriter(store, clock);
  before.mixed = MIXED;
  await clock.advance(CHECKS);
  before.record.close();
  const after = startWriter(store, clock);
  after.coversPeriod = false;
  after.mixed = { desk: ["v2", "v3"] };
  await clock.advance(CHECKS);
  expect(JSON.parse(store.stored?.value ?? "")).toEqual({ desk: ["v1", "v2", "v3"] });
  after.coversPeriod = true;
  await clock.advance(CHECKS);
  expect(JSON.parse(store.stored?.value ?? "")).toEqual({ desk: ["v2", "v3"] });
});

test("the record is written once the store answers again", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  store.isDown = true;
  writer.mixed = MIXED;
  await clock.advance(CHECKS);
  await expect(writer.record.read()).rejects.toThrow("down");
  store.isDown = false;
  await clock.advance(CHECKS);
  expect(JSON.parse(store.stored?.value ?? "")).toEqual(MIXED);
});

test("a conflicting write is made again, and others than the writer make no calls", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  const other = startWriter(store, clock);
  other.isWriter = false;
  other.mixed = MIXED;
  await clock.advance(CHECKS);
  const callsBefore = store.calls;
  await clock.advance(60_000);
  expect(store.calls).toBe(callsBefore);
  store.stored = { key: VERSION_RECORD_KEY, value: "no record", version: 7 };
  writer.mixed = MIXED;
  await clock.advance(CHECKS);
  expect(JSON.parse(store.stored.value)).toEqual(MIXED);
});
