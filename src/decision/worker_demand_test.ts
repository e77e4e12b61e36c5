import { expect, test } from "vitest";
import { createWorkerDemand } from "./worker_demand.ts";

test("nothing is known before there was any load", () => {
  expect(createWorkerDemand().observe([0, 0], 0)).toBeUndefined();
});

test("a rise counts at once and a fall slowly", () => {
  const demand = createWorkerDemand();
  expect(demand.observe([4, 4], 0)).toBe(1);
  expect(demand.observe([16, 16], 500)).toBe(4);
  expect(demand.observe([0, 0], 1_000)).toBeGreaterThanOrEqual(3);
  expect(demand.observe([0, 0], 60_000)).toBeLessThanOrEqual(1);
});

// Three workers are left of twelve, and a hundred requests pile up at each. Ordering by their number alone would
// ask for forty workers where twelve did well.
test("a pile of requests asks for some more workers, not for many times as many", () => {
  const needed = createWorkerDemand().observe([100, 100, 100], 0) ?? 0;
  expect(needed).toBeGreaterThan(9);
  expect(needed).toBeLessThan(20);
});
