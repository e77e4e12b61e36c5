import fc from "fast-check";
import { expect, test } from "vitest";
import { judgeRollout, RolloutFault, triedRuns } from "./rollout_judge.ts";
import type { RouteEvidence } from "./rollout_judge.ts";
import type { RunCounts } from "./worker_health.ts";

const NONE: RunCounts = { runs: 0, failures: 0 };

function counts(runs: number, failures: number): RunCounts {
  return { runs, failures };
}

function evidence(
  route: string,
  answers: { base: RunCounts; tried: readonly RunCounts[] },
  times: { base: RunCounts; tried: readonly RunCounts[] } = { base: NONE, tried: [] },
): RouteEvidence {
  const named = (tried: readonly RunCounts[]): Map<string, RunCounts> =>
    new Map(tried.map((one, index) => [`n-${index}`, one]));
  return {
    route,
    answers: { base: answers.base, tried: named(answers.tried) },
    times: { base: times.base, tried: named(times.tried) },
  };
}

test("rejects a version that fails much more often than the base version", () => {
  const seen = evidence("a", {
    base: counts(2_000, 4),
    tried: [counts(20, 5), counts(20, 6), counts(20, 4)],
  });
  expect(judgeRollout([seen], { isLast: false })).toMatchObject({
    kind: "bad",
    fault: RolloutFault.Failures,
  });
});

// Workers of both versions fail a tenth of their requests for a while. The new version is not the
// cause.
test("does not count failures that affect both versions against the new one", () => {
  const tried = [counts(40, 4), counts(40, 5), counts(40, 4)];
  const seen = evidence("a", { base: counts(4_000, 400), tried });
  expect(judgeRollout([seen], { isLast: true }).kind).toBe("open");
});

// One of the workers on trial fails nearly half of its requests, as single workers do occasionally.
test("does not reject a version because of a single failing worker", () => {
  const tried = [counts(50, 21), counts(50, 0), counts(50, 0), counts(50, 0)];
  const seen = evidence("a", { base: counts(3_000, 0), tried });
  expect(judgeRollout([seen], { isLast: true }).kind).toBe("open");
});

// Only one of the new workers received requests lately, and it has crashed.
test("does not roll back a version of which only one worker was tried", () => {
  const seen = evidence("a", { base: counts(900, 0), tried: [counts(30, 30)] });
  expect(judgeRollout([seen], { isLast: false }).kind).toBe("open");
});

test("rejects a version if two of its workers fail alike", () => {
  const both = evidence("a", { base: counts(900, 0), tried: [counts(15, 12), counts(15, 13)] });
  expect(judgeRollout([both], { isLast: false }).kind).toBe("bad");
  const one = evidence("a", { base: counts(900, 0), tried: [counts(15, 12), counts(15, 0)] });
  expect(judgeRollout([one], { isLast: false }).kind).toBe("open");
});

// The new version fails on one of several routes, which has a small fraction of all requests.
test("finds a fault that affects a single route", () => {
  const good = evidence("a", {
    base: counts(3_000, 3),
    tried: [counts(60, 0), counts(60, 0), counts(60, 0)],
  });
  const bad = evidence("b", {
    base: counts(300, 0),
    tried: [counts(6, 3), counts(6, 3), counts(6, 2)],
  });
  expect(judgeRollout([good, bad], { isLast: false })).toMatchObject({ kind: "bad", route: "b" });
});

test("rejects a version that answers slowly without failures", () => {
  const answers = { base: counts(900, 0), tried: [counts(30, 0), counts(30, 0), counts(30, 0)] };
  const times = { base: counts(900, 50), tried: [counts(30, 20), counts(30, 18), counts(30, 22)] };
  expect(judgeRollout([evidence("a", answers, times)], { isLast: false })).toMatchObject({
    kind: "bad",
    fault: RolloutFault.SlowAnswers,
  });
});

// A single failure among a few runs is not sufficient evidence, not even in the final comparison.
test("never rejects a version because of one bad answer", () => {
  const seen = evidence("a", { base: counts(500, 0), tried: [counts(3, 1), counts(2, 0)] });
  expect(judgeRollout([seen], { isLast: true }).kind).toBe("open");
  expect(triedRuns([seen])).toBe(5);
});

test("returns finite evidence for any counts", () => {
  const any = fc.record({ runs: fc.nat(1_000), part: fc.double({ min: 0, max: 1, noNaN: true }) });
  const toCounts = ({ runs, part }: { runs: number; part: number }): RunCounts =>
    counts(runs, Math.floor(runs * part));
  fc.assert(
    fc.property(any, fc.array(any, { maxLength: 5 }), fc.boolean(), (base, tried, isLast) => {
      const seen = evidence("a", { base: toCounts(base), tried: tried.map(toCounts) });
      const { evidence: found } = judgeRollout([seen], { isLast });
      expect(Number.isFinite(found)).toBe(true);
    }),
  );
});
