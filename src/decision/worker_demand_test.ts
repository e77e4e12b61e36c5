import { expect, test } from "vitest";
import { createWorkerDemand } from "./worker_demand.ts";
import type { DemandLevel, ObservedLoad } from "./worker_demand.ts";

function createLoads(counts: readonly number[]): ObservedLoad[] {
  return counts.map((count) => ({ running: count, readingTime: 0 }));
}

test("returns the expected demand before any load", () => {
  const level = createWorkerDemand().observe(createLoads([0, 0]), { now: 0, first: 8 });
  expect(level).toEqual({ now: 0, lately: 8, reading: 0, hasBegun: false });
});

test("counts a rise immediately and a fall slowly", () => {
  const demand = createWorkerDemand();
  expect(demand.observe(createLoads([4, 4]), { now: 0, first: 0 }).lately).toBe(1);
  expect(demand.observe(createLoads([15, 15]), { now: 500, first: 0 }).lately).toBe(3);
  expect(demand.observe(createLoads([0, 0]), { now: 1_000, first: 0 })).toMatchObject({
    now: 0,
    lately: 3,
  });
  expect(
    demand.observe(createLoads([0, 0]), { now: 120_000, first: 0 }).lately,
  ).toBeLessThanOrEqual(1);
});

// Callers arrive within a second, and the first observation includes only a few of them. Based on
// it alone, half of the workers would be returned just when they are needed.
test("keeps the workers when the first few requests arrive", () => {
  const demand = createWorkerDemand();
  expect(demand.observe(createLoads([1, 0, 0, 0]), { now: 0, first: 8 }).lately).toBe(8);
  expect(
    demand.observe(createLoads([2, 1, 1, 1]), { now: 2_000, first: 8 }).lately,
  ).toBeGreaterThanOrEqual(7);
  expect(
    demand.observe(createLoads([2, 1, 1, 1]), { now: 120_000, first: 8 }).lately,
  ).toBeLessThanOrEqual(2);
});

// Three of twelve workers are left, and a hundred requests queue at each. Based on the number of
// requests alone, forty workers would be ordered although twelve were enough.
test("orders only a few more workers for a queue of requests", () => {
  const needed = createWorkerDemand().observe(createLoads([100, 100, 100]), {
    now: 0,
    first: 0,
  }).now;
  expect(needed).toBeGreaterThan(9);
  expect(needed).toBeLessThan(20);
});

function createPrefillLoads(times: readonly number[]): ObservedLoad[] {
  return times.map((readingTime) => ({ running: 1, readingTime }));
}

/** Observes the same load twice per second for half a minute. */
function settle(loads: readonly ObservedLoad[]): DemandLevel {
  const demand = createWorkerDemand();
  let level = demand.observe(loads, { now: 0, first: 0 });
  for (let now = 500; now <= 30_000; now += 500) level = demand.observe(loads, { now, first: 0 });
  return level;
}

// Prompts of 17,000 tokens: few requests run, but half of the workers are in prefill at any time,
// so a first token waits a quarter of a second for other prompts. Based on the number of requests,
// one worker would be reserved for a wave of reclaims.
test("counts workers for long prompts by their processing time", () => {
  const level = settle(createPrefillLoads([300, 300, 300, 0, 0, 0]));
  expect(level.reading).toBeGreaterThanOrEqual(5);
  expect(level.now).toBe(1);
});

// Short questions are pending for a few tens of milliseconds each, most of which is the round trip
// and the first decoding step.
test("counts almost no prefill for short prompts", () => {
  expect(settle(createPrefillLoads([10, 10, 0, 0, 0, 0])).reading).toBeLessThanOrEqual(1);
});

// Two zones are reclaimed within seconds. Requests queue at the remaining workers, and all of them
// are in prefill without a pause. The demand is still what it was a moment ago, not what the queue
// suggests.
test("limits the demand of a queue at too few workers to little more than before it", () => {
  const demand = createWorkerDemand();
  for (let now = 0; now < 10_000; now += 500) {
    demand.observe(createLoads([10, 10, 10, 10, 10, 10]), { now, first: 0 });
  }
  const queued = createLoads([60, 60]).map((load) => ({ ...load, readingTime: 3_000 }));
  const soon = demand.observe(queued, { now: 10_500, first: 0 }).now;
  expect(soon).toBeGreaterThanOrEqual(3);
  expect(soon).toBeLessThanOrEqual(8);
  // Demand that really has grown is accepted after some time.
  const longQueues = createLoads([400, 400, 400, 400, 400, 400]).map((load) => ({
    ...load,
    readingTime: 3_000,
  }));
  let late = 0;
  for (let now = 11_000; now < 60_000; now += 500) {
    late = demand.observe(longQueues, { now, first: 0 }).now;
  }
  expect(late).toBeGreaterThan(soon);
});
