import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { ObjectStore, PutOutcome, StoredObject } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { createVersionRecord, UNKNOWN_VERSION, VERSION_RECORD_KEY } from "./version_record.ts";
import type { VersionRecord } from "./version_record.ts";

/** A store with one object. */
interface OneObjectStore extends Pick<ObjectStore, "get" | "put"> {
  era: number;
  stored: StoredObject | undefined;
  isDown: boolean;
  calls: number;
}

function createStore(): OneObjectStore {
  const store: OneObjectStore = {
    era: 0,
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
  /** The recent versions that it knows, by service. */
  recent: Record<string, string[]>;
  coversPeriod: boolean;
  /** The versions that it inherited, by service. */
  readonly inherited: Record<string, string[]>;
}

function startWriter(store: OneObjectStore, clock: VirtualClock): Writer {
  const writer: Writer = {
    isWriter: true,
    recent: {},
    coversPeriod: true,
    inherited: {},
    record: createVersionRecord({
      clock,
      random: createSeededRandom(1),
      store,
      isWriter: () => writer.isWriter,
      members: () => 3,
      recent: () =>
        new Map(Object.entries(writer.recent).map(([name, all]) => [name, new Set(all)])),
      coversPeriod: () => writer.coversPeriod,
      inherit: (versions) => {
        for (const [service, all] of versions) writer.inherited[service] = [...all];
      },
      log: { changed: () => undefined },
    }),
  };
  writer.record.start();
  return writer;
}

/** Has an instance know these versions. */
function setRecent(writer: Writer, recent: Record<string, string[]>): void {
  writer.recent = recent;
  writer.record.update();
}

function storedIn({ stored }: OneObjectStore): unknown {
  return stored === undefined ? undefined : JSON.parse(stored.value);
}

const CHECKS = 2_000;
const MIXED = { desk: ["v1", "v2"] };

test("the writer records all versions and removes those that aren't recent any more", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  await clock.advance(CHECKS);
  expect(store.stored).toBeUndefined();
  setRecent(writer, MIXED);
  await clock.advance(CHECKS);
  expect(store.stored?.key).toBe(VERSION_RECORD_KEY);
  expect(JSON.parse(store.stored?.value ?? "")).toEqual(MIXED);
  expect(await writer.record.read()).toEqual(new Map([["desk", new Set(["v1", "v2"])]]));
  setRecent(writer, {});
  await clock.advance(CHECKS);
  expect(await writer.record.read()).toEqual(new Map());
});

// Guards against a new writer that removes a version that it hasn't seen, because it left before its start.
test("a new writer keeps the record until it has followed the workers for as long as streams last", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const before = startWriter(store, clock);
  setRecent(before, MIXED);
  await clock.advance(CHECKS);
  before.record.close();
  const after = startWriter(store, clock);
  after.coversPeriod = false;
  setRecent(after, { desk: ["v2", "v3"] });
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
  setRecent(writer, MIXED);
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
  setRecent(other, MIXED);
  await clock.advance(CHECKS);
  const callsBefore = store.calls;
  await clock.advance(60_000);
  expect(store.calls).toBe(callsBefore);
  store.stored = { key: VERSION_RECORD_KEY, value: "no record", version: 7 };
  setRecent(writer, MIXED);
  await clock.advance(CHECKS);
  expect(JSON.parse(store.stored.value)).toEqual(MIXED);
});

const ONE = { desk: ["v1"] };

// Guards against streams of a version that is recorded nowhere, because only one instance was there to see it.
test.each([true, false])("a new version is recorded at once (writer: %s)", async (isWriter) => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  writer.isWriter = isWriter;
  await clock.advance(0);
  setRecent(writer, ONE);
  await clock.advance(25);
  expect(storedIn(store)).toEqual(ONE);
  setRecent(writer, MIXED);
  await clock.advance(25);
  expect(storedIn(store)).toEqual(MIXED);
});

// Guards against versions that earlier instances used and that an instance that has just started doesn't know.
test("an instance that has just started inherits the record, and what it may lack", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  setRecent(startWriter(store, clock), ONE);
  await clock.advance(CHECKS);
  const next = startWriter(store, clock);
  next.coversPeriod = false;
  setRecent(next, { desk: ["v2"], court: ["v1"] });
  await clock.advance(CHECKS);
  expect(next.inherited).toEqual({ desk: ["v1"], court: [UNKNOWN_VERSION] });
  expect(storedIn(store)).toEqual({ court: ["v1"], desk: ["v1", "v2"] });
});

test("an instance without an earlier one inherits nothing", async () => {
  const clock = createVirtualClock();
  const writer = startWriter(createStore(), clock);
  writer.coversPeriod = false;
  setRecent(writer, ONE);
  await clock.advance(CHECKS);
  expect(writer.inherited).toEqual({});
});

// Guards against streams that begin at a version that isn't recorded yet, when all instances lose power.
test("streams wait until the versions of their service are recorded", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  writer.isWriter = false;
  await clock.advance(0);
  setRecent(writer, ONE);
  const begun: string[] = [];
  const begin = (service: string, name: string): { close(): void } =>
    writer.record.whenRecorded(service, () => {
      begun.push(name);
      if (service === "desk") expect(storedIn(store)).toEqual(ONE);
    });
  begin("desk", "waits");
  begin("desk", "leaves").close();
  begin("court", "of another service");
  expect(begun).toEqual(["of another service"]);
  await clock.advance(25);
  expect(begun).toEqual(["of another service", "waits"]);
  begin("desk", "later");
  expect(begun).toContain("later");
});

// Guards against streams that are held up by a store that can't be written.
test("streams don't wait for a store that fails, and not long for one that is silent", async () => {
  const clock = createVirtualClock();
  const store = createStore();
  const writer = startWriter(store, clock);
  await clock.advance(0);
  let begun = 0;
  store.isDown = true;
  setRecent(writer, ONE);
  writer.record.whenRecorded("desk", () => begun++);
  await clock.advance(1);
  expect(begun).toBe(1);
  store.isDown = false;
  await clock.advance(CHECKS);
  expect(storedIn(store)).toEqual(ONE);
  store.get = () => new Promise(() => undefined);
  store.put = () => new Promise(() => undefined);
  setRecent(writer, MIXED);
  writer.record.whenRecorded("desk", () => begun++);
  await clock.advance(499);
  expect(begun).toBe(1);
  await clock.advance(1);
  expect(begun).toBe(2);
});

// Guards against a record that the store has lost in a restore from a copy, and that no instance writes again.
test.each([true, false])(
  "the record is written again after a restore (writer: %s)",
  async (isWriter) => {
    const clock = createVirtualClock();
    const store = createStore();
    const writer = startWriter(store, clock);
    writer.isWriter = isWriter;
    setRecent(writer, MIXED);
    await clock.advance(CHECKS);
    store.stored = { key: VERSION_RECORD_KEY, value: JSON.stringify(ONE), version: 1 };
    store.era = 1;
    await clock.advance(CHECKS);
    expect(storedIn(store)).toEqual(MIXED);
  },
);
