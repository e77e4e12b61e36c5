import { expect, test } from "vitest";
import { createEstimator } from "./estimate.ts";
import type { Estimator } from "./estimate.ts";
import type { Job } from "./job.ts";
import { createPrefixCacheIndex } from "./prefix_cache_index.ts";
import { someArrival, TEST_POLICY } from "./testing/load_simulation.ts";

function learn(estimator: Estimator, changes: Partial<Job>, lengths: readonly number[]): void {
  for (const length of lengths) {
    const arrival = someArrival(changes);
    const estimate = estimator.estimate(arrival);
    estimator.recordAnswer({ ...arrival, estimate, resumedTokens: 0 }, length);
  }
}

function answerOf(estimator: Estimator, changes: Partial<Job>): number {
  return estimator.estimate(someArrival(changes)).answerTokens;
}

test("one very long answer doesn't change the next estimates", () => {
  // One in a hundred short answers has 100,000 tokens. A mean would be 50 times too high for an
  // hour.
  const estimator = createEstimator(TEST_POLICY);
  learn(estimator, {}, [...Array<number>(99).fill(20), 100_000]);
  expect(answerOf(estimator, {})).toBeGreaterThan(16);
  expect(answerOf(estimator, {})).toBeLessThan(25);
});

test("a caller's own limit counts only as far as its answers have kept to it", () => {
  // A caller states 16 tokens each time and receives 400. If that limit were used, the caller's
  // requests would be accepted and scheduled as a twentieth of their real work.
  const estimator = createEstimator(TEST_POLICY);
  learn(estimator, { account: "honest", maxTokens: 400 }, Array<number>(50).fill(300));
  learn(estimator, { account: "other", maxTokens: 16 }, Array<number>(50).fill(400));
  expect(answerOf(estimator, { account: "other", maxTokens: 16 })).toBeGreaterThan(320);
  expect(answerOf(estimator, { account: "honest", maxTokens: 100 })).toBe(100);
});

test("the estimate for an unknown account comes from the service's answers", () => {
  const estimator = createEstimator(TEST_POLICY);
  learn(estimator, { account: "club" }, Array<number>(50).fill(1_000));
  expect(answerOf(estimator, { account: "new" })).toBeGreaterThan(800);
  learn(estimator, { account: "new" }, Array<number>(20).fill(30));
  expect(answerOf(estimator, { account: "new" })).toBeLessThan(40);
});

test("the probability of a cached prefix falls with age and ends with an eviction", () => {
  // Cache events come late and some never arrive. Without aging, work would follow caches that were
  // emptied long ago.
  const index = createPrefixCacheIndex(100_000);
  index.recordStored("w1", ["a", "b", "c", "d"], 0);
  expect(index.match(["a", "b", "x", "y"], 0).get("w1")).toBe(0.5);
  expect(index.match(["a", "b", "c", "d"], 100_000).get("w1")).toBe(0.5);
  index.recordEvicted("w1", ["c", "d"]);
  const afterEviction = index.match(["a", "b", "c", "d"], 100_000).get("w1") ?? 0;
  expect(afterEviction).toBeGreaterThan(0.35);
  expect(afterEviction).toBeLessThanOrEqual(0.5);
  index.recordEvicted("w1", ["a", "b"]);
  expect(index.match(["a", "b", "c", "d"], 0).size).toBe(0);
});
