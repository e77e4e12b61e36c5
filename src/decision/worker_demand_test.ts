import { expect, test } from "vitest";
import { createWorkerDemand } from "./worker_demand.ts";

test("before any load what is reckoned with holds", () => {
  const level = createWorkerDemand().observe([0, 0], { now: 0, first: 8 });
  expect(level).toEqual({ now: 0, lately: 8, hasBegun: false });
});

test("a rise counts at once and a fall slowly", () => {
  const demand = createWorkerDemand();
  expect(demand.observe([4, 4], { now: 0, first: 0 }).lately).toBe(1);
  expect(demand.observe([15, 15], { now: 500, first: 0 }).lately).toBe(3);
  expect(demand.observe([0, 0], { now: 1_000, first: 0 })).toMatchObject({ now: 0, lately: 3 });
  expect(demand.observe([0, 0], { now: 120_000, first: 0 }).lately).toBeLessThanOrEqual(1);
});

// Callers come within a second, and the first look sees only a few of them. Going by it, half of the workers would
// be sent away just when they are needed.
test("the first few requests don't send the workers away", () => {
  const demand = createWorkerDemand();
  expect(demand.observe([1, 0, 0, 0], { now: 0, first: 8 }).lately).toBe(8);
  expect(demand.observe([2, 1, 1, 1], { now: 2_000, first: 8 }).lately).toBeGreaterThanOrEqual(7);
  expect(demand.observe([2, 1, 1, 1], { now: 120_000, first: 8 }).lately).toBeLessThanOrEqual(2);
});

// Three workers are left of twelve, and a hundred requests pile up at each. Ordering by their number alone would
// ask for forty workers where twelve did well.
test("a pile of requests asks for some more workers, not for many times as many", () => {
  const needed = createWorkerDemand().observe([100, 100, 100], { now: 0, first: 0 }).now;
  expect(needed).toBeGreaterThan(9);
  expect(needed).toBeLessThan(20);
});
