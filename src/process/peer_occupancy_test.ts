import { expect, test } from "vitest";
import type { WorkerCounts } from "./digest.ts";
import { createPeerOccupancy } from "./peer_occupancy.ts";

const [FIRST, SECOND] = [1, 2];

function countsAt(worker: number, running: number): ReadonlyMap<number, WorkerCounts> {
  return new Map([[worker, { running, unreadTokens: running * 10, runs: 0, failures: 0 }]]);
}

test("adds up the occupancy of all instances, applies deltas and removes stopped instances", () => {
  const occupancy = createPeerOccupancy();
  occupancy.update("a", { workerCounts: countsAt(FIRST, 2), isSnapshot: true });
  occupancy.update("b", { workerCounts: countsAt(FIRST, 3), isSnapshot: true });
  occupancy.update("a", { workerCounts: countsAt(SECOND, 1), isSnapshot: false });
  expect(occupancy.at(FIRST)).toEqual({ running: 5, unreadTokens: 50 });
  occupancy.update("a", { workerCounts: countsAt(SECOND, 4), isSnapshot: true });
  expect(occupancy.at(FIRST).running).toBe(3);
  expect(occupancy.at(SECOND).running).toBe(4);
  occupancy.retainInstances(new Set(["b"]));
  expect(occupancy.at(SECOND).running).toBe(0);
});
