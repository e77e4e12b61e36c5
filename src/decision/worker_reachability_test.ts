import { expect, test } from "vitest";
import { createWorkerReachability, PathFault } from "./worker_reachability.ts";
import type { WorkerReachability } from "./worker_reachability.ts";

function endpoint(id: string): { id: string; startedAt: number; address: string } {
  return { id, startedAt: 1, address: `${id}:80` };
}

/** Records that direct connections to the workers are refused. */
function refuse(reachability: WorkerReachability, workers: readonly string[], now: number): void {
  for (const worker of workers) reachability.recordFailed(worker, PathFault.Refused, now);
}

/** Records that the path to a worker is lost: another instance reaches it. */
function lose(reachability: WorkerReachability, worker: string, now: number): void {
  refuse(reachability, [worker], now);
  reachability.recordDetour(endpoint(worker), now);
}

test("an instance without any attempt is not cut off", () => {
  expect(createWorkerReachability().isCutOff(0)).toBe(false);
});

// Guards against a detour for all requests because one worker has ended or hangs.
test("failures at one worker don't count as a lost path, however many", () => {
  const reachability = createWorkerReachability();
  for (let now = 0; now < 100; now++) refuse(reachability, ["i-1"], now);
  expect(reachability.isCutOff(100)).toBe(false);
});

// Guards against an instance that tries one unreachable worker after the other for each request.
test("failures at two workers count as a lost path until a connection works", () => {
  const reachability = createWorkerReachability();
  refuse(reachability, ["i-1"], 0);
  refuse(reachability, ["i-2"], 5);
  expect(reachability.isCutOff(5)).toBe(true);
  expect(reachability.prefersDetour("i-3", 5)).toBe(true);
  reachability.recordWorking("i-3", 6);
  expect(reachability.isCutOff(6)).toBe(false);
  expect(reachability.prefersDetour("i-3", 6)).toBe(false);
});

// Guards against adding up failures of separate workers at separate times.
test("a connection between two failures shows that the path is fine", () => {
  const reachability = createWorkerReachability();
  refuse(reachability, ["i-1"], 0);
  reachability.recordWorking("i-3", 2);
  refuse(reachability, ["i-2"], 5);
  expect(reachability.isCutOff(5)).toBe(false);
});

// Guards against staying on the detour when no attempt has been made for a while.
test("failures expire", () => {
  const reachability = createWorkerReachability();
  refuse(reachability, ["i-1"], 0);
  refuse(reachability, ["i-2"], 2_000);
  expect(reachability.isCutOff(3_000)).toBe(true);
  expect(reachability.isCutOff(3_001)).toBe(false);
});

// Guards against taking the path for lost again with each attempt to reach workers of a group that has ended.
test("further failures of workers that failed while the path worked don't count", () => {
  const reachability = createWorkerReachability();
  const ended = ["i-1", "i-2", "i-3"];
  refuse(reachability, ended, 0);
  reachability.recordWorking("i-4", 10);
  refuse(reachability, ended, 50);
  expect(reachability.isCutOff(50)).toBe(false);
});

// Guards against a partition that goes unnoticed because workers had ended shortly before.
test("failures of other workers count at once after a group has ended", () => {
  const reachability = createWorkerReachability();
  refuse(reachability, ["i-1", "i-2"], 0);
  reachability.recordWorking("i-5", 10);
  refuse(reachability, ["i-3", "i-4"], 50);
  expect(reachability.isCutOff(50)).toBe(true);
});

// Guards against ignoring a restarted worker's failures for good.
test("failures of a worker count again after the time for which its own failure counts", () => {
  const reachability = createWorkerReachability();
  refuse(reachability, ["i-1", "i-2"], 0);
  reachability.recordWorking("i-3", 10);
  refuse(reachability, ["i-1", "i-2"], 3_001);
  expect(reachability.isCutOff(3_001)).toBe(true);
});

// Guards against an instance that reaches some workers and forgets with each connection to them that it doesn't reach others.
test("a worker stays lost while connections to others work, and others are reached directly", () => {
  const reachability = createWorkerReachability();
  lose(reachability, "i-1", 0);
  lose(reachability, "i-2", 0);
  for (let now = 0; now < 20_000; now += 100) {
    reachability.recordWorking("i-3", now);
    refuse(reachability, ["i-1"], now);
    expect(reachability.prefersDetour("i-1", now)).toBe(true);
    expect(reachability.prefersDetour("i-3", now)).toBe(false);
  }
  reachability.recordWorking("i-1", 20_000);
  expect(reachability.prefersDetour("i-1", 20_000)).toBe(false);
  expect(reachability.lostWorkers()).toEqual(["i-2"]);
});

// Guards against workers that count as lost although another instance is refused, too.
test("workers that end in a group are not lost, and need no second confirmation for a second", () => {
  const reachability = createWorkerReachability();
  const ended = ["i-1", "i-2", "i-3"];
  refuse(reachability, ended, 0);
  for (const worker of ended) reachability.recordEnded(worker, 3);
  expect(reachability.isCutOff(3)).toBe(false);
  expect(reachability.lostWorkers()).toEqual([]);
  expect(reachability.hasEnded("i-1", 1_002)).toBe(true);
  expect(reachability.hasEnded("i-1", 1_003)).toBe(false);
});

// Guards against requests that are sent on connections which are accepted and then reset.
test("another instance is asked first for a worker whose last connection broke unused", () => {
  const reachability = createWorkerReachability();
  reachability.recordFailed("i-1", PathFault.Broken, 0);
  expect(reachability.prefersDetour("i-1", 0)).toBe(true);
  expect(reachability.prefersDetour("i-2", 0)).toBe(false);
});

// Guards against instances that confirm to each other that workers have ended which both of them can't reach.
test("an instance is no witness for ended workers while it is refused by a worker that others reach", () => {
  const reachability = createWorkerReachability();
  expect(reachability.canWitness(0)).toBe(true);
  lose(reachability, "i-1", 0);
  expect(reachability.canWitness(0)).toBe(false);
  reachability.recordWorking("i-1", 300);
  expect(reachability.canWitness(300)).toBe(true);
});

// Guards against a state that changes several times a second for one partition.
test("a path that is lost again soon after its return is tried less and less often", () => {
  const reachability = createWorkerReachability();
  const changes: number[] = [];
  lose(reachability, "i-1", 0);
  for (let now = 0; now < 10_000; now += 10) {
    if (reachability.nextChecks(now).length === 0) continue;
    reachability.recordWorking("i-1", now);
    lose(reachability, "i-1", now);
    changes.push(now);
  }
  expect(changes).toEqual([250, 750, 1_750, 3_750, 7_750]);
});

// Guards against work that grows with the number of lost workers, and against workers that are never tried.
test("of many lost workers, a few are tried at a time, and all in turn", () => {
  const reachability = createWorkerReachability();
  for (let index = 0; index < 20; index++) lose(reachability, `i-${index}`, 0);
  const tried = [0, 1, 2].map((round) => reachability.nextChecks(300 + round));
  expect(tried.map((workers) => workers.length)).toEqual([8, 8, 4]);
  expect(new Set(tried.flat().map(({ id }) => id)).size).toBe(20);
});
