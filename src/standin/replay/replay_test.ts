import { expect, test } from "vitest";
import { PolicyName, getPolicy } from "./policy.ts";
import { comparePolicies } from "./policy_comparison.ts";
import { replay } from "./replay.ts";
import type { Report } from "./report_types.ts";
import { sampleTrace } from "./sample_trace.ts";
import type { Trace } from "./trace.ts";

const ZONE_RECLAIM = [
  { kind: "reclaim", t: 30_000, within: 3_000, zone: "sofia-a" },
  { kind: "refuse", t: 30_000, until: 50_000, zone: "sofia-a" },
];

function runReplay(trace: Trace, policy = PolicyName.Current, seed = 1): Report {
  return replay(trace, { policy: getPolicy(policy), seed });
}

test.each(Object.values(PolicyName))(
  "%s: the same trace and seed give byte-identical reports",
  (policy) => {
    const reports = [1, 2].map(() => JSON.stringify(runReplay(sampleTrace(ZONE_RECLAIM), policy)));
    expect(reports[0]).toBe(reports[1]);
  },
);

test.each(Object.values(PolicyName))("%s: every request is counted exactly once", (policy) => {
  const report = runReplay(sampleTrace(ZONE_RECLAIM), policy);
  const { arrived, answered, lost, refused } = report.groups["desk/script"] ?? {};
  const refusedCount = Object.values(refused ?? {}).reduce((a, b) => a + b, 0);
  expect(arrived).toBe(120);
  expect((answered ?? 0) + (lost ?? 0) + refusedCount).toBe(120);
});

test("after a reclaim, resumed requests compute fewer tokens again than restarted ones", () => {
  // The instances of an availability zone are reclaimed with three seconds of notice. If their
  // requests restart, all their tokens are computed twice, and long answers end late.
  const long = { t: 25_000, a: "club", s: "desk", p: 300, n: 1_500 };
  const trace = sampleTrace([...Array.from({ length: 12 }, () => long), ...ZONE_RECLAIM]);
  const current = runReplay(trace);
  const restart = runReplay(trace, PolicyName.RestartOnReclaim);
  expect(current.groups["desk/script"]).toMatchObject({ lost: 0 });
  expect(restart.recomputed["worker-reclaimed"]).toBeGreaterThan(0);
  expect(current.recomputedTotal).toBeLessThan(restart.recomputedTotal);
});

test("a request that may not be repeated is lost with its worker and not run again", () => {
  // The baseline leaves requests on a worker until the cloud reclaims it. One that may not be
  // repeated can't be sent again, and its caller receives the status that it may have run. The
  // requests exceed the capacity of the workers that can't be reclaimed, which are preferred for
  // such requests.
  const notRepeatable = { t: 29_500, a: "club", s: "desk", p: 100, n: 3_000, r: false };
  const lines = Array.from({ length: 24 }, () => notRepeatable);
  const report = runReplay(sampleTrace([...lines, ...ZONE_RECLAIM]), PolicyName.RestartOnReclaim);
  expect(report.groups["desk/script"]?.lost).toBeGreaterThan(0);
});

test("under round-robin, a slow worker increases the gaps between tokens", () => {
  // One server computes at a fifth of its normal rate. A simple load balancer continues to send it
  // an equal share.
  const slowWorker = { kind: "slow", t: 0, until: 60_000, service: "desk", index: 0, factor: 5 };
  const normal = runReplay(sampleTrace([]), PolicyName.RoundRobin).groups["desk/script"];
  const slowed = runReplay(sampleTrace([slowWorker]), PolicyName.RoundRobin).groups["desk/script"];
  expect(slowed?.betweenTokens.within).toBeLessThan(normal?.betweenTokens.within ?? 0);
});

test("a fleet of on-demand workers costs more", () => {
  const trace = sampleTrace([]);
  expect(runReplay(trace, PolicyName.OnDemandOnly).cost).toBeGreaterThan(runReplay(trace).cost);
});

test("a required outcome that isn't met fails the report", () => {
  const requiredOutcomes = {
    lost: 0,
    cost: 0.000_1,
    services: { "desk/script": { answered: 0.9 } },
  };
  const report = runReplay(sampleTrace([], requiredOutcomes));
  expect(report.holds).toBe(false);
  expect(report.outcomes.map(({ name, holds }) => [name, holds])).toEqual([
    ["lost", true],
    ["cost", false],
    ["desk/script answered", true],
  ]);
});

test("the ratios compare the current policy with the others and with the lookups alone", () => {
  const trace = sampleTrace(ZONE_RECLAIM);
  const reports = Object.values(PolicyName).map((policy) => runReplay(trace, policy));
  const current = reports.find(({ policy }) => policy === PolicyName.Current);
  if (current === undefined) throw new Error("There is no report of the current policy.");
  const [ratios] = comparePolicies([...reports, { ...current, trace: "sample_lookups" }]);
  expect(ratios?.costOverOnDemand).toBeLessThan(1);
  expect(ratios?.goodputOverBest).toBeLessThanOrEqual(1);
  expect(ratios?.lookupsOverAlone).toEqual({ "desk/script": 1 });
});
