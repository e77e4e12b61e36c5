import { expect, test } from "vitest";
import { createWorkerHealth, createWorkerLimits } from "../decision/index.ts";
import { createSeededRandom, Purchase } from "../interface/index.ts";
import type { RoutedWorker } from "../interface/index.ts";
import { RunResult } from "../request/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { hashText } from "../version/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { WorkerUse } from "./digest.ts";
import { createRoutedBoard } from "./routed_board.ts";
import type { RoutedBoard } from "./routed_board.ts";

/** The time of day in these tests, which stands still but where it is set. */
const day = { now: 1_000_000 };

/** This instance alone. */
const INSTANCES = [1];

function startBoard(): RoutedBoard {
  const time = (): number => day.now;
  const parts = {
    time,
    limits: createWorkerLimits({ time, self: 1, instances: () => INSTANCES }),
    zone: "a",
    health: createWorkerHealth(),
    members: () => 3,
    newsAge: () => 0,
    random: createSeededRandom(1),
    onBegin: () => undefined,
  };
  const board = createRoutedBoard({ clock: createVirtualClock(), ...parts });
  board.setWorkers(["w0", "w1"].map(workerNamed));
  return board;
}

function workerNamed(id: string): RoutedWorker {
  return {
    id,
    born: 1,
    service: "desk",
    address: "127.0.0.1:1",
    zone: "a",
    version: "v1",
    slots: 8,
    purchase: Purchase.Reclaimable,
    isLeaving: false,
    leavesIn: undefined,
    coldFor: 0,
  };
}

function useOf(use: Readonly<Record<string, number>>): ReadonlyMap<number, WorkerUse> {
  return new Map(
    Object.entries(use).map(([id, running]) => [
      hashText(id),
      { running, unreadTokens: running * 10, runs: 0, failures: 0 },
    ]),
  );
}

function runningAt(board: RoutedBoard): number[] {
  return board.loads("desk").map(({ running }) => running);
}

// Several instances send to the same workers and choose at the same moment. One that counted only its own requests,
// or what another said twice, would send to a worker that is full, or keep away from one that is idle.
test("what other instances have at the workers is added up, replaced and forgotten with them", () => {
  const board = startBoard();
  board.heard("e1", { use: useOf({ w0: 2, w1: 1 }), isWhole: true });
  board.heard("e2", { use: useOf({ w0: 3 }), isWhole: true });
  expect(runningAt(board)).toEqual([5, 1]);
  board.heard("e1", { use: useOf({ w1: 4 }), isWhole: true });
  expect(runningAt(board)).toEqual([3, 4]);
  board.keepInstances(new Set(["e1"]));
  expect(runningAt(board)).toEqual([0, 4]);
  board.keepInstances(new Set());
  expect(runningAt(board)).toEqual([0, 0]);
  expect(board.workers()).toHaveLength(2);
});

// Most of what an instance says is only what has changed. Taken for everything, work that goes on elsewhere would
// not be counted.
test("what an instance doesn't name has not changed there", () => {
  const board = startBoard();
  board.heard("e1", { use: useOf({ w0: 2, w1: 1 }), isWhole: true });
  board.heard("e1", { use: useOf({ w1: 4 }), isWhole: false });
  expect(runningAt(board)).toEqual([2, 4]);
  board.heard("e1", { use: useOf({ w0: 0 }), isWhole: false });
  expect(runningAt(board)).toEqual([0, 4]);
  board.keepInstances(new Set());
  expect(runningAt(board)).toEqual([0, 0]);
});

// A worker's entry lapses for a moment while the store is away. What runs there goes on, and is counted again when
// the entry is back, also what was said of the worker meanwhile.
test("what others have at a worker is known when the worker comes back", () => {
  const board = startBoard();
  board.heard("e1", { use: useOf({ w0: 2 }), isWhole: true });
  board.setWorkers([workerNamed("w1")]);
  board.heard("e2", { use: useOf({ w0: 1 }), isWhole: true });
  board.setWorkers(["w0", "w1"].map(workerNamed));
  expect(runningAt(board).reduce((sum, running) => sum + running, 0)).toBe(3);
});

const DESK: RoutedService = {
  name: "desk",
  maxConnections: 60,
  engine: undefined,
  scaling: undefined,
};

/** Requests that the board gives to each of the workers in some seconds, each as soon as it may have one. */
function given(board: RoutedBoard, seconds: number): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let step = 0; step < seconds * 100; step++) {
    day.now += 10;
    for (const worker of board.candidates(DESK)) {
      board.begin(worker, { reads: 0, route: "r" }).end(RunResult.Answered);
      counts[worker.id] = (counts[worker.id] ?? 0) + 1;
    }
  }
  return counts;
}

/** The worker answers a request, naming this limit. */
function answer(board: RoutedBoard, id: string, limit: number | undefined): void {
  const worker = board.candidates(DESK).find((one) => one.id === id);
  if (worker === undefined) throw new Error(`${id} takes nothing now.`);
  const run = board.begin(worker, { reads: 0, route: "r" });
  day.now += 1;
  run.answering(limit);
  run.end(RunResult.Answered);
}

test("a worker that names a limit is given so much, and the others all they may have", () => {
  const board = startBoard();
  expect(board.opensIn(DESK)).toBeUndefined();
  answer(board, "w0", 2);
  const counts = given(board, 10);
  expect(counts["w0"]).toBeGreaterThanOrEqual(19);
  expect(counts["w0"]).toBeLessThanOrEqual(21);
  expect(counts["w1"]).toBe(1_000);
  expect(board.opensIn(DESK)).toBeGreaterThan(0);
  expect(board.opensIn(DESK)).toBeLessThanOrEqual(500);
});

test("a worker that restarts under its id has no limit", () => {
  const board = startBoard();
  answer(board, "w0", 0.2);
  board.setWorkers([{ ...workerNamed("w0"), born: 2 }, workerNamed("w1")]);
  expect(given(board, 1)["w0"]).toBe(100);
});

test("guards against a limit that lasts though the worker's next answer names none", () => {
  const board = startBoard();
  answer(board, "w0", 20);
  given(board, 1);
  day.now += 100;
  answer(board, "w0", undefined);
  expect(given(board, 1)["w0"]).toBe(100);
});
