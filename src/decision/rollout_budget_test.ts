import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import {
  createRolloutBudget,
  planRollout,
  RolloutPhase,
  activeTrialWorkers,
} from "./rollout_budget.ts";

const LIMITS = { share: 0.1, slack: 50 };

/**
 * Simulates a rollout until its deadline. Each instance sends as many requests to the new version
 * as it may.
 */
function simulate(options: {
  instances: number;
  rate: number;
  duration: number;
  /** Number of times that all instances restart their counts. */
  restarts?: number;
}): { tried: number; all: number } {
  const { instances, rate, duration, restarts = 0 } = options;
  const random = createSeededRandom(5);
  const schedule = planRollout(duration, LIMITS);
  const createBudget = (): ReturnType<typeof createRolloutBudget> =>
    createRolloutBudget({
      limits: LIMITS,
      schedule,
      memberCount: () => instances,
      random,
    });
  let budgets = Array.from({ length: instances }, createBudget);
  let tried = 0;
  let all = 0;
  let restarted = 0;
  for (let at = 0; at < duration; at += 1_000 / rate) {
    if (at > ((restarted + 1) * duration) / (restarts + 1)) {
      budgets = budgets.map(createBudget);
      restarted++;
    }
    const budget = budgets[Math.floor(random.next() * instances)];
    const phase = at < schedule.switchAt ? RolloutPhase.Trial : RolloutPhase.Switch;
    // After the end of the rollout all requests go to the new version.
    const isTrial = at >= schedule.completeAt || budget?.canSendToTrial(phase) === true;
    budget?.recordSent(isTrial);
    all++;
    if (isTrial) tried++;
  }
  return { tried, all };
}

// A version starts to fail just before its rollout is completed, and all requests that it ever
// received are lost.
test.each([
  [6, 20, 8_000],
  [6, 600, 8_000],
  [20, 300, 12_000],
  [300, 600, 8_000],
  [300, 600, 60_000],
  [300, 150, 20_000],
])(
  "keeps all %i instances together below the limit (%i requests per second, %i ms)",
  (instances, rate, duration) => {
    const { tried, all } = simulate({ instances, rate, duration });
    expect(tried).toBeLessThanOrEqual(0.95 * (all * LIMITS.share + LIMITS.slack));
    // The new version also receives enough requests to be assessed.
    expect(tried).toBeGreaterThan(0.4 * all * LIMITS.share);
  },
);

// All instances restart in the middle of the rollout and lose their counts.
test.each([
  [6, 300],
  [76, 300],
  [300, 600],
])(
  "stays within the limit when all %i instances restart (%i requests per second)",
  (instances, rate) => {
    const { tried, all } = simulate({ instances, rate, duration: 20_000, restarts: 1 });
    expect(tried).toBeLessThanOrEqual(all * LIMITS.share + LIMITS.slack);
  },
);

test("ends a rollout shortly before its deadline, after a short switch phase", () => {
  for (const duration of [8_000, 12_000, 60_000, 600_000]) {
    const { switchAt, completeAt, maxShares } = planRollout(duration, LIMITS);
    expect(completeAt).toBeLessThanOrEqual(duration - 350);
    expect(completeAt).toBeGreaterThanOrEqual(duration - 700);
    expect(switchAt).toBeLessThan(completeAt);
    expect(maxShares.trial).toBeGreaterThan(0.015);
    expect(maxShares.switch).toBeGreaterThanOrEqual(maxShares.trial);
  }
});

// A fault that appears only under load stays hidden if each new worker receives a small share. So a
// few workers receive as much as an old one.
test.each([4, 13, 63, 200])(
  "loads workers on trial as much as the %i base workers",
  (baseWorkers) => {
    const workers = Array.from({ length: baseWorkers }, (_, index) => `n-${index}`);
    const duration = 40_000;
    const { maxShares } = planRollout(duration, LIMITS);
    const used = new Set<string>();
    let shares = 0;
    const samples = 4_000;
    for (let sample = 0; sample < samples; sample++) {
      const context = {
        elapsed: (sample * duration) / samples,
        duration,
        maxShare: maxShares.trial,
        baseWorkers,
        startDelay: 0,
      };
      const now = activeTrialWorkers(workers, context);
      for (const worker of now) used.add(worker);
      shares += now.length / (baseWorkers + now.length);
    }
    // While they are active they carry the same load as the others; over the whole time they
    // receive about the share.
    expect(shares / samples).toBeGreaterThan(0.6 * maxShares.trial);
    expect(shares / samples).toBeLessThan(1.5 * maxShares.trial);
    expect(used.size).toBeGreaterThanOrEqual(3);
  },
);

test("returns no workers on trial if the version has none", () => {
  const context = { elapsed: 100, duration: 9_000, maxShare: 0.03, baseWorkers: 5, startDelay: 0 };
  expect(activeTrialWorkers([], context)).toEqual([]);
});
