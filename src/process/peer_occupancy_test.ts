import { expect, test } from "vitest";
import type { WorkerUse } from "./digest.ts";
import { createPeerOccupancy } from "./peer_occupancy.ts";

const [FIRST, SECOND] = [1, 2];

function use(worker: number, running: number): ReadonlyMap<number, WorkerUse> {
  return new Map([[worker, { running, unreadTokens: running * 10, runs: 0, failures: 0 }]]);
}

test("adds up the occupancy of all instances, applies deltas and removes stopped instances", () => {
  const occupancy = createPeerOccupancy();
  occupancy.update("a", { use: use(FIRST, 2), isWhole: true });
  occupancy.update("b", { use: use(FIRST, 3), isWhole: true });
  occupancy.update("a", { use: use(SECOND, 1), isWhole: false });
  expect(occupancy.at(FIRST)).toEqual({ running: 5, unreadTokens: 50 });
  occupancy.update("a", { use: use(SECOND, 4), isWhole: true });
  expect(occupancy.at(FIRST).running).toBe(3);
  expect(occupancy.at(SECOND).running).toBe(4);
  occupancy.retainInstances(new Set(["b"]));
  expect(occupancy.at(SECOND).running).toBe(0);
});
