/**
 * Simulates rollout orders of good and bad versions. A rollout that judges a version wrongly would give a bad version too
 * many requests, or roll back a good one.
 *
 * @module
 */
import { expect, test } from "vitest";
import { JUDGES } from "./judges.ts";
import { simulateOrder } from "./simulate_order.ts";
import { isBoundExceeded, summarize } from "./report.ts";
import { generateScenario } from "./scenario.ts";

const SEEDS = [1, 2, 3, 6, 16, 42, 47, 87, 40586, 60052, 60270];

async function runOrder(seed: number): Promise<Parameters<typeof summarize>[1][number]> {
  const { ratio } = JUDGES;
  if (ratio === undefined) throw new Error("the ratio judge is missing");
  const scenario = generateScenario(seed);
  return { scenario, outcome: await simulateOrder(scenario, { judge: ratio, ramp: "few" }) };
}

// Some of these seeds once exceeded a bound or left an order without its correct end state.
test("orders stay within their bounds and end in the correct state", async () => {
  const results: Awaited<ReturnType<typeof runOrder>>[] = [];
  for (const seed of SEEDS) results.push(await runOrder(seed));
  const summary = summarize("ratio, few", results);
  expect(isBoundExceeded(summary)).toBe(false);
  expect(summary.seeds).toEqual({
    goodRolledBack: [],
    goodLate: [],
    badCompleted: [],
    overBound: [],
    lateRollbacks: [],
  });
});

test("the simulation of an order is deterministic", async () => {
  expect(await runOrder(6)).toEqual(await runOrder(6));
});
