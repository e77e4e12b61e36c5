import { expect, test } from "vitest";
import { PolicyName, policyOf } from "./policy.ts";
import { comparePolicies } from "./policy_comparison.ts";
import { replay } from "./replay.ts";
import type { Report } from "./report_types.ts";
import { sampleTrace } from "./sample_trace.ts";
import type { Trace } from "./trace.ts";

const WAVE = [
  { kind: "reclaim", t: 30_000, within: 3_000, zone: "sofia-a" },
  { kind: "refuse", t: 30_000, until: 50_000, zone: "sofia-a" },
];

function play(trace: Trace, policy = PolicyName.Current, seed = 1): Report {
  return replay(trace, { policy: policyOf(policy), seed });
}

test.each(Object.values(PolicyName))(
  "%s: the same trace and seed give the same report to the byte",
  (policy) => {
    const reports = [1, 2].map(() => JSON.stringify(play(sampleTrace(WAVE), policy)));
    expect(reports[0]).toBe(reports[1]);
  },
);

test.each(Object.values(PolicyName))("%s: every request is accounted for once", (policy) => {
  const report = play(sampleTrace(WAVE), policy);
  const { arrived, answered, lost, refused } = report.groups["desk/script"] ?? {};
  const turnedAway = Object.values(refused ?? {}).reduce((a, b) => a + b, 0);
  expect(arrived).toBe(120);
  expect((answered ?? 0) + (lost ?? 0) + turnedAway).toBe(120);
});

test("a wave cuts requests in progress: going on from their tokens costs less than beginning again", () => {
  // An availability zone's instances are taken with three seconds of notice. Requests that begin again
  // have all their tokens computed twice, and the night's scripts end late.
  const long = { t: 25_000, a: "club", s: "desk", p: 300, n: 1_500 };
  const trace = sampleTrace([...Array.from({ length: 12 }, () => long), ...WAVE]);
  const current = play(trace);
  const restart = play(trace, PolicyName.RestartOnReclaim);
  expect(current.groups["desk/script"]).toMatchObject({ lost: 0 });
  expect(restart.recomputed["worker-reclaimed"]).toBeGreaterThan(0);
  expect(current.recomputedTotal).toBeLessThan(restart.recomputedTotal);
});

test("a request that may not be repeated is lost with its worker, not run a second time", () => {
  // The baseline leaves requests on a worker until the cloud takes it. One that may not be repeated can't
  // be sent again; its caller hears that it may have run. There are more of them than the workers that
  // can't be taken have room for, since those are preferred for such requests.
  const once = { t: 29_500, a: "club", s: "desk", p: 100, n: 3_000, r: false };
  const lines = Array.from({ length: 24 }, () => once);
  const report = play(sampleTrace([...lines, ...WAVE]), PolicyName.RestartOnReclaim);
  expect(report.groups["desk/script"]?.lost).toBeGreaterThan(0);
});

test("a slow worker shows in the gaps between tokens under round-robin", () => {
  // One server computes at a fifth of its pace. A plain balancer goes on sending it its share.
  const slow = { kind: "slow", t: 0, until: 60_000, service: "desk", index: 0, factor: 5 };
  const usual = play(sampleTrace([]), PolicyName.RoundRobin).groups["desk/script"];
  const slowed = play(sampleTrace([slow]), PolicyName.RoundRobin).groups["desk/script"];
  expect(slowed?.betweenTokens.within).toBeLessThan(usual?.betweenTokens.within ?? 0);
});

test("buying on demand alone costs more", () => {
  const trace = sampleTrace([]);
  expect(play(trace, PolicyName.OnDemandOnly).cost).toBeGreaterThan(play(trace).cost);
});

test("a stated outcome that isn't met fails the report", () => {
  const stated = { lost: 0, cost: 0.000_1, services: { "desk/script": { answered: 0.9 } } };
  const report = play(sampleTrace([], stated));
  expect(report.holds).toBe(false);
  expect(report.outcomes.map(({ name, holds }) => [name, holds])).toEqual([
    ["lost", true],
    ["cost", false],
    ["desk/script answered", true],
  ]);
});

test("the ratios compare the policy in use with the others and with the lookups alone", () => {
  const trace = sampleTrace(WAVE);
  const reports = Object.values(PolicyName).map((policy) => play(trace, policy));
  const current = reports.find(({ policy }) => policy === PolicyName.Current);
  if (current === undefined) throw new Error("Nothing was played under the policy in use.");
  const [ratios] = comparePolicies([...reports, { ...current, trace: "sample_lookups" }]);
  expect(ratios?.costOverOnDemand).toBeLessThan(1);
  expect(ratios?.goodputOverBest).toBeLessThanOrEqual(1);
  expect(ratios?.lookupsOverAlone).toEqual({ "desk/script": 1 });
});
