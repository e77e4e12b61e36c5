import { expect, test } from "vitest";
import {
  createSharedCounts,
  createWorkerHealth,
  createWorkerLimits,
  createWorkerRooms,
  createWorkerSpeeds,
} from "../decision/index.ts";
import { createSeededRandom, Purchase } from "../interface/index.ts";
import type { RoutedWorker } from "../interface/index.ts";
import { RunResult } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { hashText } from "../version/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { WorkerCounts } from "./digest.ts";
import { createRoutedWorkerTable } from "./routed_worker_table.ts";
import type { RoutedWorkerTable, RoutedWorkerTableParts } from "./routed_worker_table.ts";

/** The synchronized time in these tests, which changes only where a test sets it. */
const sharedTime = { now: 1_000_000 };

/** Only this instance shares the limits. */
const INSTANCES = [1];

function createTestTable(
  options: Partial<Pick<RoutedWorkerTableParts, "clock" | "speeds">> = {},
): RoutedWorkerTable {
  const time = (): number => sharedTime.now;
  const parts = {
    time,
    limits: createWorkerLimits({ time, self: 1, instances: () => INSTANCES }),
    rooms: createWorkerRooms({ time, self: 1, instances: () => INSTANCES }),
    zone: "a",
    health: createWorkerHealth(),
    instanceCount: () => 3,
    updateAge: () => 0,
    random: createSeededRandom(1),
    onBegin: () => undefined,
  };
  const table = createRoutedWorkerTable({ clock: createVirtualClock(), ...parts, ...options });
  table.setWorkers(["w0", "w1"].map(createTestWorker));
  return table;
}

function createTestWorker(id: string): RoutedWorker {
  return {
    id,
    startedAt: 1,
    service: "desk",
    address: "127.0.0.1:1",
    zone: "a",
    version: "v1",
    slots: 8,
    purchase: Purchase.Reclaimable,
    isLeaving: false,
    leavesIn: undefined,
    warmupLeft: 0,
  };
}

function occupancyOf(
  runningById: Readonly<Record<string, number>>,
): ReadonlyMap<number, WorkerCounts> {
  return new Map(
    Object.entries(runningById).map(([id, running]) => [
      hashText(id),
      { running, unreadTokens: running * 10, runs: 0, failures: 0 },
    ]),
  );
}

function runningAt(table: RoutedWorkerTable): number[] {
  return table.loads("desk").map(({ running }) => running);
}

// Several instances send requests to the same workers. An instance that counted only its own requests, or another
// instance's load twice, would choose a full worker or avoid an idle one.
test("adds up the load of other instances, replaces it and removes it with them", () => {
  const table = createTestTable();
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w0: 2, w1: 1 }), isSnapshot: true });
  table.updateOccupancy("e2", { workerCounts: occupancyOf({ w0: 3 }), isSnapshot: true });
  expect(runningAt(table)).toEqual([5, 1]);
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w1: 4 }), isSnapshot: true });
  expect(runningAt(table)).toEqual([3, 4]);
  table.retainInstances(new Set(["e1"]));
  expect(runningAt(table)).toEqual([0, 4]);
  table.retainInstances(new Set());
  expect(runningAt(table)).toEqual([0, 0]);
  expect(table.workers()).toHaveLength(2);
});

// Most load reports contain only the changes. If taken as complete, the load that didn't change would be lost.
test("keeps the load of workers that a delta does not name", () => {
  const table = createTestTable();
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w0: 2, w1: 1 }), isSnapshot: true });
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w1: 4 }), isSnapshot: false });
  expect(runningAt(table)).toEqual([2, 4]);
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w0: 0 }), isSnapshot: false });
  expect(runningAt(table)).toEqual([0, 4]);
  table.retainInstances(new Set());
  expect(runningAt(table)).toEqual([0, 0]);
});

// A worker's registration lapses briefly while the store is unavailable. Its requests continue and must be counted
// when the registration is back, including load reported in the meantime.
test("counts the load that other instances report for a worker after it is registered again", () => {
  const table = createTestTable();
  table.updateOccupancy("e1", { workerCounts: occupancyOf({ w0: 2 }), isSnapshot: true });
  table.setWorkers([createTestWorker("w1")]);
  table.updateOccupancy("e2", { workerCounts: occupancyOf({ w0: 1 }), isSnapshot: true });
  table.setWorkers(["w0", "w1"].map(createTestWorker));
  expect(runningAt(table).reduce((sum, running) => sum + running, 0)).toBe(3);
});

const DESK: RoutedService = {
  name: "desk",
  maxConnections: 60,
  engine: undefined,
  scaling: undefined,
};

/** Sends each worker a request whenever it may receive one, and returns the counts over this many seconds. */
function sendForSeconds(table: RoutedWorkerTable, seconds: number): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let step = 0; step < seconds * 100; step++) {
    sharedTime.now += 10;
    for (const worker of table.candidates(DESK)) {
      table.begin(worker, { prefillTokens: 0, route: "r" }).end(RunResult.Answered);
      counts[worker.id] = (counts[worker.id] ?? 0) + 1;
    }
  }
  return counts;
}

/** Sends the worker a request that it answers with this limit. */
function answerWithLimit(table: RoutedWorkerTable, id: string, limit: number | undefined): void {
  const worker = table.candidates(DESK).find((one) => one.id === id);
  if (worker === undefined) throw new Error(`Worker ${id} accepts no request at the moment.`);
  const run = table.begin(worker, { prefillTokens: 0, route: "r" });
  sharedTime.now += 1;
  run.recordResponse({ limit, survives: undefined });
  run.end(RunResult.Answered);
}

test("sends a worker with a limit no more than that, and does not limit the other workers", () => {
  const table = createTestTable();
  expect(table.timeUntilCapacity(DESK)).toBeUndefined();
  answerWithLimit(table, "w0", 2);
  const counts = sendForSeconds(table, 10);
  expect(counts["w0"]).toBeGreaterThanOrEqual(19);
  expect(counts["w0"]).toBeLessThanOrEqual(21);
  expect(counts["w1"]).toBe(1_000);
  expect(table.timeUntilCapacity(DESK)).toBeGreaterThan(0);
  expect(table.timeUntilCapacity(DESK)).toBeLessThanOrEqual(500);
});

test("removes the limit of a worker that restarts under the same id", () => {
  const table = createTestTable();
  answerWithLimit(table, "w0", 0.2);
  table.setWorkers([{ ...createTestWorker("w0"), startedAt: 2 }, createTestWorker("w1")]);
  expect(sendForSeconds(table, 1)["w0"]).toBe(100);
});

test("lifts a limit when the worker's next answer states none", () => {
  const table = createTestTable();
  answerWithLimit(table, "w0", 20);
  sendForSeconds(table, 1);
  sharedTime.now += 100;
  answerWithLimit(table, "w0", undefined);
  expect(sendForSeconds(table, 1)["w0"]).toBe(100);
});

/** Returns how many requests in progress the worker may get at once, of twelve. */
function countRoom(table: RoutedWorkerTable, id: string): number {
  let count = 0;
  for (; count < 12; count++) {
    const worker = table.candidates(DESK).find((one) => one.id === id);
    if (worker === undefined) break;
    table.begin(worker, { prefillTokens: 0, route: "r" });
  }
  return count;
}

/** Sends the worker a request that it answers with this number of rejections that it survives. */
function answerWithBrittleness(
  table: RoutedWorkerTable,
  id: string,
  survives: number | undefined,
): void {
  const worker = table.candidates(DESK).find((one) => one.id === id);
  if (worker === undefined) throw new Error(`Worker ${id} accepts no request at the moment.`);
  const run = table.begin(worker, { prefillTokens: 0, route: "r" });
  sharedTime.now += 1;
  run.recordResponse({ limit: undefined, survives });
  run.end(RunResult.Answered);
}

const restarted = (id: string): RoutedWorker => ({ ...createTestWorker(id), startedAt: 2 });

// Guards against a brittle worker that falls over again at each return, because it has stated nothing yet.
test.each([
  ["under its id", ["w0", "w1"], "w0"],
  ["under another id", ["w1", "w2"], "w2"],
])("a worker of a brittle service is expected to be brittle when it returns %s", (_, ids, id) => {
  const table = createTestTable();
  expect(countRoom(table, "w0")).toBe(12);
  answerWithBrittleness(table, "w1", 3);
  table.setWorkers([createTestWorker("w1")]);
  table.setWorkers(ids.map((one) => (one === id ? restarted(one) : createTestWorker(one))));
  expect(countRoom(table, id)).toBeLessThanOrEqual(8);
});

test("a returned worker is brittle no longer when it answers without saying so", () => {
  const table = createTestTable();
  answerWithBrittleness(table, "w0", 3);
  table.setWorkers([createTestWorker("w1")]);
  table.setWorkers([restarted("w0"), createTestWorker("w1")]);
  sharedTime.now += 1;
  answerWithBrittleness(table, "w0", undefined);
  expect(countRoom(table, "w0")).toBe(12);
  // What was stated long ago doesn't count for workers that start later.
  sharedTime.now += 31_000;
  table.setWorkers([createTestWorker("w1"), createTestWorker("w2")]);
  expect(countRoom(table, "w2")).toBe(12);
});

function leavingIds(table: RoutedWorkerTable): string[] {
  return table
    .workers()
    .filter(({ isLeaving }) => isLeaving)
    .map(({ id }) => id);
}

// Another instance's report may arrive before the store's list, for example after a restart. If it were dropped, the
// worker would get requests until the next report.
test("marks a worker as leaving that was reported before it was registered", () => {
  const table = createTestTable();
  table.markLeaving(["w2@1"]);
  table.setWorkers(["w1", "w2"].map(createTestWorker));
  expect(leavingIds(table)).toEqual(["w2"]);
  expect(table.leaving()).toEqual(["w2@1"]);
});

// A worker that announced in a response that it leaves is no capacity: the fleet needs a replacement.
test("lists a worker as leaving that announced it only in a response", () => {
  const table = createTestTable();
  table.recordStatement({ id: "w0", startedAt: 1 }, { isLeaving: true, pause: 0 });
  expect(leavingIds(table)).toEqual(["w0"]);
  expect(table.candidates(DESK).map(({ id }) => id)).toEqual(["w1"]);
});

// The registration says again that the worker accepts requests, although the same process has announced that it leaves.
test("keeps a worker leaving whatever its registration says later, until it restarts", () => {
  const table = createTestTable();
  table.setWorkers([{ ...createTestWorker("w0"), isLeaving: true }]);
  table.setWorkers([]);
  table.setWorkers([createTestWorker("w0")]);
  expect(leavingIds(table)).toEqual(["w0"]);
  table.setWorkers([{ ...createTestWorker("w0"), startedAt: 2 }]);
  expect(leavingIds(table)).toEqual([]);
});

// Services without engines have no expected time, so any difference between their requests would count as slowness.
const ENGINE = {
  slots: 8,
  cacheTokens: 1,
  bytesPerToken: 1,
  canMoveCache: false,
  canBackUpCache: false,
};
test.each([
  { engine: ENGINE, slowness: 2 },
  { engine: undefined, slowness: 1 },
])("measures the speeds of workers with engines only", async ({ engine, slowness }) => {
  const clock = createVirtualClock();
  const table = createTestTable({ clock, speeds: createWorkerSpeeds(createSharedCounts()) });
  table.setWorkers(["w0", "w1", "w2"].map(createTestWorker));
  const service: RoutedService = { ...DESK, engine };
  table.timing(service);
  for (let step = 0; step < 40; step++) {
    const runs = table
      .candidates(service)
      .map((worker) => table.begin(worker, { prefillTokens: 3_000, route: "r" }));
    await clock.advance(90);
    for (const run of runs.slice(1)) run.recordFirstEvent();
    await clock.advance(110);
    runs[0]?.recordFirstEvent();
    for (const run of runs) run.end(RunResult.Answered);
  }
  const factors = table.overview().map((worker) => Math.round(worker.slowness));
  expect(factors).toEqual([slowness, 1, 1]);
  expect(table.candidates(service).map((worker) => Math.round(worker.slowness))).toEqual(factors);
});

// Guards against refusals after workers stood still for a moment, because runs seem to take as long as that.
test("the silence of a worker isn't counted as the time of its runs", async () => {
  const clock = createVirtualClock();
  const table = createTestTable({ clock });
  const service = { name: "desk", maxConnections: 60 } as RoutedService;
  const [worker] = table.candidates(service);
  if (worker === undefined) throw new Error("There is no worker.");
  const serve = async (silence: number): Promise<void> => {
    const run = table.begin(worker, { prefillTokens: 0, route: "r" });
    await clock.advance(20 + silence);
    if (silence > 0) run.recordSilence(silence);
    run.end(RunResult.Answered);
  };
  for (let index = 0; index < 10; index++) await serve(0);
  for (let index = 0; index < 10; index++) await serve(1_500);
  expect(table.timing(service).runTime).toBeCloseTo(20);
});
