import { expect, test } from "vitest";
import { createVersionTallies, tallyKeys } from "./rollout_tally.ts";
import type { RunTally, VersionTallies } from "./rollout_tally.ts";

const SERVICE = "model";
const NAMES = { service: SERVICE, trialVersion: "v2", route: "draft" };
const BASE_KEYS = tallyKeys({ ...NAMES, worker: undefined });
const TRIAL_KEYS = tallyKeys({ ...NAMES, worker: "n-0" });

function begin(
  tallies: VersionTallies,
  startedAt: number,
  options: { trialWorker?: string; prefillTokens?: number; isWarmingUp?: boolean } = {},
): RunTally {
  const { trialWorker, prefillTokens = 1_000, isWarmingUp = false } = options;
  return tallies.begin({
    service: SERVICE,
    route: "draft",
    prefillTokens,
    trialWorker,
    isWarmingUp,
    isCompared: true,
    startedAt,
  });
}

/** Creates tallies that have seen base version runs of 100 ms before the rollout. */
function createWithBaseline(): VersionTallies {
  const tallies = createVersionTallies();
  for (let run = 0; run < 20; run++) {
    const tally = begin(tallies, 0);
    tally.recordAnswer(100);
    tally.recordEnd("well");
  }
  tallies.setTrialVersion(SERVICE, "v2");
  return tallies;
}

test("counts the runs of both versions separately after the rollout is ordered", () => {
  const tallies = createWithBaseline();
  expect(tallies.counts(0).size).toBe(0);
  begin(tallies, 0).recordEnd("well");
  begin(tallies, 0, { trialWorker: "n-0" }).recordEnd("failed");
  begin(tallies, 0, { trialWorker: "n-0" }).recordEnd("unknown");
  expect(tallies.counts(1).get(BASE_KEYS.answers)).toEqual({ runs: 1, failures: 0 });
  expect(tallies.counts(1).get(TRIAL_KEYS.answers)).toEqual({ runs: 1, failures: 1 });
});

test("compares a run with base version runs that had a similar number of prompt tokens", () => {
  const tallies = createWithBaseline();
  begin(tallies, 0, { trialWorker: "n-0" }).recordAnswer(120);
  begin(tallies, 0, { trialWorker: "n-0" }).recordAnswer(250);
  expect(tallies.counts(300).get(TRIAL_KEYS.times)).toEqual({ runs: 2, failures: 1 });
});

// The new version accepts requests and never answers them. Their deadlines are seconds away.
test("counts a hanging run as slow before it ends", () => {
  const tallies = createWithBaseline();
  const hanging = begin(tallies, 0, { trialWorker: "n-0" });
  expect(tallies.counts(100).get(TRIAL_KEYS.times)).toBeUndefined();
  expect(tallies.counts(400).get(TRIAL_KEYS.times)).toEqual({ runs: 1, failures: 1 });
  hanging.recordAnswer(900);
  hanging.recordEnd("well");
  expect(tallies.counts(900).get(TRIAL_KEYS.times)).toEqual({ runs: 1, failures: 1 });
});

// All instances restart in the middle of a rollout and have no baseline of their own.
test("uses the baseline of the other instances if there are few runs", () => {
  const received = new Map([[BASE_KEYS.baseline, { runs: 40, failures: 40 * 461 }]]);
  const tallies = createVersionTallies((key) => received.get(key));
  tallies.setTrialVersion(SERVICE, "v2");
  begin(tallies, 0, { trialWorker: "n-0" }).recordAnswer(120);
  begin(tallies, 0, { trialWorker: "n-0" }).recordAnswer(400);
  expect(tallies.counts(400).get(TRIAL_KEYS.times)).toEqual({ runs: 2, failures: 1 });
  begin(tallies, 0).recordAnswer(100);
  expect(tallies.counts(400).get(BASE_KEYS.baseline)).toEqual({ runs: 1, failures: 461 });
});

// A worker that has just started is slow for a while, whatever its version.
test("ignores the duration of runs at workers that are warming up", () => {
  const tallies = createWithBaseline();
  begin(tallies, 0, { trialWorker: "n-0", isWarmingUp: true }).recordAnswer(900);
  expect(tallies.counts(1_000).get(TRIAL_KEYS.times)).toBeUndefined();
});

// A slow version must not raise its own baseline.
test("does not change the baseline with runs of the new version", () => {
  const tallies = createWithBaseline();
  for (let run = 0; run < 50; run++) begin(tallies, 0, { trialWorker: "n-0" }).recordAnswer(500);
  expect(tallies.counts(600).get(TRIAL_KEYS.times)).toEqual({ runs: 50, failures: 50 });
});

test("restarts the counts when another version is on trial", () => {
  const tallies = createWithBaseline();
  const before = begin(tallies, 0, { trialWorker: "n-0" });
  tallies.setTrialVersion(SERVICE, "v3");
  before.recordEnd("failed");
  expect(tallies.counts(1).size).toBe(0);
  tallies.setTrialVersion(SERVICE, undefined);
  begin(tallies, 0).recordEnd("failed");
  expect(tallies.counts(1).size).toBe(0);
});
