import { expect, test } from "vitest";
import { createWorkerDemand } from "./worker_demand.ts";
import type { DemandLevel, ObservedLoad } from "./worker_demand.ts";

function running(counts: readonly number[]): ObservedLoad[] {
  return counts.map((count) => ({ running: count, readingTime: 0 }));
}

test("before any load what is reckoned with holds", () => {
  const level = createWorkerDemand().observe(running([0, 0]), { now: 0, first: 8 });
  expect(level).toEqual({ now: 0, lately: 8, reading: 0, hasBegun: false });
});

test("a rise counts at once and a fall slowly", () => {
  const demand = createWorkerDemand();
  expect(demand.observe(running([4, 4]), { now: 0, first: 0 }).lately).toBe(1);
  expect(demand.observe(running([15, 15]), { now: 500, first: 0 }).lately).toBe(3);
  expect(demand.observe(running([0, 0]), { now: 1_000, first: 0 })).toMatchObject({
    now: 0,
    lately: 3,
  });
  expect(demand.observe(running([0, 0]), { now: 120_000, first: 0 }).lately).toBeLessThanOrEqual(1);
});

// Callers come within a second, and the first look sees only a few of them. Going by it, half of the workers would
// be sent away just when they are needed.
test("the first few requests don't send the workers away", () => {
  const demand = createWorkerDemand();
  expect(demand.observe(running([1, 0, 0, 0]), { now: 0, first: 8 }).lately).toBe(8);
  expect(
    demand.observe(running([2, 1, 1, 1]), { now: 2_000, first: 8 }).lately,
  ).toBeGreaterThanOrEqual(7);
  expect(
    demand.observe(running([2, 1, 1, 1]), { now: 120_000, first: 8 }).lately,
  ).toBeLessThanOrEqual(2);
});

// Three workers are left of twelve, and a hundred requests pile up at each. Ordering by their number alone would
// ask for forty workers where twelve did well.
test("a pile of requests asks for some more workers, not for many times as many", () => {
  const needed = createWorkerDemand().observe(running([100, 100, 100]), { now: 0, first: 0 }).now;
  expect(needed).toBeGreaterThan(9);
  expect(needed).toBeLessThan(20);
});

function reading(times: readonly number[]): ObservedLoad[] {
  return times.map((readingTime) => ({ running: 1, readingTime }));
}

/** Looks at the same load twice a second for half a minute. */
function settled(loads: readonly ObservedLoad[]): DemandLevel {
  const demand = createWorkerDemand();
  let level = demand.observe(loads, { now: 0, first: 0 });
  for (let now = 500; now <= 30_000; now += 500) level = demand.observe(loads, { now, first: 0 });
  return level;
}

// Prompts of 17,000 tokens: few requests run, but half of the workers read at any moment, so a first token waits for a
// quarter of a second of other prompts. By the number of requests one worker would be reserved for a wave of reclaims.
test("long prompts need workers by the time that they take to read", () => {
  const level = settled(reading([300, 300, 300, 0, 0, 0]));
  expect(level.reading).toBeGreaterThanOrEqual(5);
  expect(level.now).toBe(1);
});

// Short questions are unread for some tens of milliseconds each, most of which is the way there and the first step.
test("short prompts hardly count as reading", () => {
  expect(settled(reading([10, 10, 0, 0, 0, 0])).reading).toBeLessThanOrEqual(1);
});

// Two zones are taken within seconds. Everything piles up at the workers that are left, and all of them read without a
// pause; what was needed a moment ago is still what is needed, and not as many as the pile has requests for.
test("a pile at workers that are too few asks for little more than was needed before it", () => {
  const demand = createWorkerDemand();
  for (let now = 0; now < 10_000; now += 500) {
    demand.observe(running([10, 10, 10, 10, 10, 10]), { now, first: 0 });
  }
  const piled = running([60, 60]).map((load) => ({ ...load, readingTime: 3_000 }));
  const soon = demand.observe(piled, { now: 10_500, first: 0 }).now;
  expect(soon).toBeGreaterThanOrEqual(3);
  expect(soon).toBeLessThanOrEqual(8);
  // A load that has really grown is believed with time.
  const piles = running([400, 400, 400, 400, 400, 400]).map((load) => ({
    ...load,
    readingTime: 3_000,
  }));
  let late = 0;
  for (let now = 11_000; now < 60_000; now += 500) {
    late = demand.observe(piles, { now, first: 0 }).now;
  }
  expect(late).toBeGreaterThan(soon);
});
