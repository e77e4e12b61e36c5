import { expect, test } from "vitest";
import { createWorkerDemand } from "./worker_demand.ts";

test("nothing is known before there was any load", () => {
  expect(createWorkerDemand(8).observe([0, 0], 0)).toBeUndefined();
});

test("a rise counts at once and a fall slowly", () => {
  const demand = createWorkerDemand(0);
  expect(demand.observe([4, 4], 0)?.lately).toBe(1);
  expect(demand.observe([15, 15], 500)?.lately).toBe(3);
  expect(demand.observe([0, 0], 1_000)).toEqual({ now: 0, lately: 3 });
  expect(demand.observe([0, 0], 120_000)?.lately).toBeLessThanOrEqual(1);
});

// Callers come within a second, and the first look sees only a few of them. Going by it, half of the workers would
// be sent away just when they are needed.
test("the first few requests don't send the workers away", () => {
  const demand = createWorkerDemand(8);
  expect(demand.observe([1, 0, 0, 0], 0)?.lately).toBe(8);
  expect(demand.observe([2, 1, 1, 1], 2_000)?.lately).toBeGreaterThanOrEqual(7);
  expect(demand.observe([2, 1, 1, 1], 120_000)?.lately).toBeLessThanOrEqual(2);
});

// Three workers are left of twelve, and a hundred requests pile up at each. Ordering by their number alone would
// ask for forty workers where twelve did well.
test("a pile of requests asks for some more workers, not for many times as many", () => {
  const needed = createWorkerDemand(0).observe([100, 100, 100], 0)?.now ?? 0;
  expect(needed).toBeGreaterThan(9);
  expect(needed).toBeLessThan(20);
});
