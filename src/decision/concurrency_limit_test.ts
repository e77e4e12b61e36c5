import { describe, expect, test } from "vitest";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";

const MACHINE = { tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 120_000 };
const TARGET = { firstToken: 400, betweenTokens: 44, deadline: 20_000 };

/**
 * Simulates a server that shares 900 tokens per second for some seconds, loaded as far as the limit
 * allows.
 */
function run(
  limit: ConcurrencyLimit,
  options: { from: number; seconds: number; slowness?: number; load?: number },
): number[] {
  const { from, seconds, slowness = 1, load } = options;
  return Array.from({ length: seconds }, (_, second) => {
    const running = load ?? limit.value();
    limit.recordLoad(running);
    const gap = Math.max(25, (running * 1_000) / 900) * slowness;
    for (let index = 0; index < 100; index++) limit.recordGap(gap);
    limit.adjust(from + second * 1_000);
    return limit.value();
  });
}

describe("concurrency limit", () => {
  test("converges to the limit at which gaps meet the target and stays there", () => {
    // 900 tokens per second at 44 ms serve 39 jobs. A limit that oscillates lengthens the gaps at
    // each maximum.
    const limit = createConcurrencyLimit(MACHINE, TARGET);
    const values = run(limit, { from: 0, seconds: 120 });
    const late = values.slice(60);
    expect(Math.max(...late)).toBeLessThanOrEqual(39);
    expect(Math.max(...late) - Math.min(...late)).toBeLessThanOrEqual(2);
    expect(Math.min(...late)).toBeGreaterThanOrEqual(31);
  });

  test("falls within seconds of a slow period and recovers soon after", () => {
    const limit = createConcurrencyLimit(MACHINE, TARGET);
    const before = run(limit, { from: 0, seconds: 30 }).at(-1) ?? 0;
    const slow = run(limit, { from: 30_000, seconds: 10, slowness: 5 });
    expect(slow.at(-1)).toBeLessThanOrEqual(7);
    const after = run(limit, { from: 40_000, seconds: 15 });
    expect(after.at(-1)).toBeGreaterThanOrEqual(0.8 * before);
  });

  test("short gaps of an idle worker don't raise the limit", () => {
    const limit = createConcurrencyLimit(MACHINE, TARGET);
    run(limit, { from: 0, seconds: 60, load: 3 });
    expect(limit.value()).toBe(limit.initial);
  });

  test("stays below the number at which the server queues jobs, and doesn't try it again at once", () => {
    // The server runs eight jobs at once and queues the rest. Its gaps stay short, so gaps alone would
    // raise the limit while first tokens wait for seconds.
    const limit = createConcurrencyLimit(MACHINE, TARGET);
    limit.recordReport(8, 4, 1_000);
    expect(limit.value()).toBe(limit.initial);
    limit.recordReport(8, 4, 2_000);
    expect(limit.value()).toBe(7);
    run(limit, { from: 3_000, seconds: 20 });
    expect(limit.value()).toBeLessThanOrEqual(8);
  });

  test("a reduced limit recovers without samples", () => {
    const limit = createConcurrencyLimit(MACHINE, TARGET);
    run(limit, { from: 0, seconds: 10, slowness: 10 });
    const fallen = limit.value();
    for (let now = 10_000; now < 60_000; now += 1_000) limit.adjust(now);
    expect(limit.value()).toBeGreaterThan(2 * fallen);
  });
});
