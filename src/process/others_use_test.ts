import { expect, test } from "vitest";
import type { WorkerUse } from "./digest.ts";
import { createOthersUse } from "./others_use.ts";

const [FIRST, SECOND] = [1, 2];

function use(worker: number, running: number): ReadonlyMap<number, WorkerUse> {
  return new Map([[worker, { running, unreadTokens: running * 10, runs: 0, failures: 0 }]]);
}

test("adds up the occupancy of all instances, applies deltas and removes stopped instances", () => {
  const others = createOthersUse();
  others.heard("a", { use: use(FIRST, 2), isWhole: true });
  others.heard("b", { use: use(FIRST, 3), isWhole: true });
  others.heard("a", { use: use(SECOND, 1), isWhole: false });
  expect(others.at(FIRST)).toEqual({ running: 5, unreadTokens: 50 });
  others.heard("a", { use: use(SECOND, 4), isWhole: true });
  expect(others.at(FIRST).running).toBe(3);
  expect(others.at(SECOND).running).toBe(4);
  others.keepInstances(new Set(["b"]));
  expect(others.at(SECOND).running).toBe(0);
});
