import { expect, test } from "vitest";
import { createSeededRandom, WorkerState } from "../interface/index.ts";
import type { Job } from "./job.ts";
import { placementCost, sample, sampleSize } from "./placement.ts";
import type { Candidate } from "./placement.ts";
import { createReclaimRisk } from "./reclaim_risk.ts";
import { someArrival, someWorkers } from "./testing/load_play.ts";

const TARGET = { firstToken: 1_600, betweenTokens: 44, deadline: 300_000 };

function costOf(changes: Partial<Candidate>, job: Partial<Job> = {}): number {
  const estimate = { work: 500, answerTokens: 500, cacheTokens: 2_500, serviceTime: 10_000 };
  const full = { ...someArrival({ promptTokens: 2_000 }), estimate, resumedTokens: 0, ...job };
  const candidate = {
    worker: "w",
    utilization: 0.5,
    uncachedTokens: 2_000,
    queuedPrefillTokens: 0,
    prefillPerSecond: 4_000,
    reclaimRisk: 0,
    isModelLoaded: true,
    isSameZone: true,
    price: 0.5,
    ...changes,
  };
  return placementCost(full, candidate, TARGET);
}

test("a cached prefix attracts work only while the worker isn't nearly full", () => {
  // Without a cost of load a worker with a popular prefix would get all requests that begin with
  // it.
  expect(costOf({ uncachedTokens: 200, utilization: 0.7 })).toBeLessThan(
    costOf({ utilization: 0.5 }),
  );
  expect(costOf({ uncachedTokens: 200, utilization: 0.95 })).toBeGreaterThan(
    costOf({ utilization: 0.5 }),
  );
});

test("queued prompts, a model load, a reclaim risk and the price all add to the cost", () => {
  const usual = costOf({});
  expect(costOf({ queuedPrefillTokens: 2_000 })).toBe(usual + 500);
  expect(costOf({ isModelLoaded: false })).toBeGreaterThan(usual + 1_000);
  expect(costOf({ reclaimRisk: 0.5 })).toBeGreaterThan(usual + 1_000);
  expect(costOf({ reclaimRisk: 0.01 }, { repeatable: false })).toBeGreaterThan(
    costOf({ reclaimRisk: 0.05 }),
  );
  expect(costOf({ price: 1 })).toBeGreaterThan(usual);
});

test("a reclaim notice raises the risk of the zone's other workers for a while", () => {
  // Two of a zone's five workers get a notice; the other three usually follow within seconds.
  const risk = createReclaimRisk();
  const workers = someWorkers(20);
  const noticed = workers.map((worker, index) =>
    index === 0 || index === 4
      ? { ...worker, state: WorkerState.Leaving, reclaimAt: 10_000 }
      : worker,
  );
  risk.observe(noticed, 0);
  const [, other, , , , , , , sameZone] = noticed;
  if (other === undefined || sameZone === undefined) throw new Error("There are 20 workers.");
  expect(risk.probability(sameZone, 0)).toBeCloseTo(0.4);
  expect(risk.probability(other, 0)).toBeLessThan(0.01);
  expect(risk.probability(sameZone, 300_000)).toBeLessThan(0.01);
});

test("compares few workers, however many there are, and none twice", () => {
  const random = createSeededRandom(3);
  const drawn = sample(someWorkers(770), { count: sampleSize(770), random });
  expect(new Set(drawn).size).toBe(drawn.length);
  expect(drawn.length).toBeLessThanOrEqual(8);
  expect(sampleSize(2)).toBe(2);
});
