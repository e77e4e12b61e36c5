import fc from "fast-check";
import { expect, test } from "vitest";
import { judgeRollout, RolloutFault, countTrialRuns } from "./rollout_judge.ts";
import type { RouteEvidence } from "./rollout_judge.ts";
import type { RunCounts } from "./worker_health.ts";

const NO_COUNTS: RunCounts = { runs: 0, failures: 0 };

function createCounts(runs: number, failures: number): RunCounts {
  return { runs, failures };
}

function createEvidence(
  route: string,
  answers: { base: RunCounts; tried: readonly RunCounts[] },
  times: { base: RunCounts; tried: readonly RunCounts[] } = { base: NO_COUNTS, tried: [] },
): RouteEvidence {
  const byWorker = (tried: readonly RunCounts[]): Map<string, RunCounts> =>
    new Map(tried.map((one, index) => [`n-${index}`, one]));
  return {
    route,
    answers: { base: answers.base, tried: byWorker(answers.tried) },
    times: { base: times.base, tried: byWorker(times.tried) },
  };
}

test("rejects a version that fails much more often than the base version", () => {
  const evidence = createEvidence("a", {
    base: createCounts(2_000, 4),
    tried: [createCounts(20, 5), createCounts(20, 6), createCounts(20, 4)],
  });
  expect(judgeRollout([evidence], { isLast: false })).toMatchObject({
    kind: "bad",
    fault: RolloutFault.Failures,
  });
});

// Workers of both versions fail a tenth of their requests for a while. The new version is not the
// cause.
test("does not count failures that affect both versions against the new one", () => {
  const tried = [createCounts(40, 4), createCounts(40, 5), createCounts(40, 4)];
  const evidence = createEvidence("a", { base: createCounts(4_000, 400), tried });
  expect(judgeRollout([evidence], { isLast: true }).kind).toBe("open");
});

// One of the workers on trial fails nearly half of its requests, as single workers do occasionally.
test("does not reject a version because of a single failing worker", () => {
  const tried = [
    createCounts(50, 21),
    createCounts(50, 0),
    createCounts(50, 0),
    createCounts(50, 0),
  ];
  const evidence = createEvidence("a", { base: createCounts(3_000, 0), tried });
  expect(judgeRollout([evidence], { isLast: true }).kind).toBe("open");
});

// Only one of the new workers received requests recently, and it has crashed.
test("does not roll back a version of which only one worker was tried", () => {
  const evidence = createEvidence("a", {
    base: createCounts(900, 0),
    tried: [createCounts(30, 30)],
  });
  expect(judgeRollout([evidence], { isLast: false }).kind).toBe("open");
});

test("rejects a version if two of its workers fail alike", () => {
  const both = createEvidence("a", {
    base: createCounts(900, 0),
    tried: [createCounts(15, 12), createCounts(15, 13)],
  });
  expect(judgeRollout([both], { isLast: false }).kind).toBe("bad");
  const one = createEvidence("a", {
    base: createCounts(900, 0),
    tried: [createCounts(15, 12), createCounts(15, 0)],
  });
  expect(judgeRollout([one], { isLast: false }).kind).toBe("open");
});

// The new version fails on one of several routes, which has a small fraction of all requests.
test("finds a fault that affects a single route", () => {
  const good = createEvidence("a", {
    base: createCounts(3_000, 3),
    tried: [createCounts(60, 0), createCounts(60, 0), createCounts(60, 0)],
  });
  const bad = createEvidence("b", {
    base: createCounts(300, 0),
    tried: [createCounts(6, 3), createCounts(6, 3), createCounts(6, 2)],
  });
  expect(judgeRollout([good, bad], { isLast: false })).toMatchObject({ kind: "bad", route: "b" });
});

test("rejects a version that answers slowly without failures", () => {
  const answers = {
    base: createCounts(900, 0),
    tried: [createCounts(30, 0), createCounts(30, 0), createCounts(30, 0)],
  };
  const times = {
    base: createCounts(900, 50),
    tried: [createCounts(30, 20), createCounts(30, 18), createCounts(30, 22)],
  };
  expect(judgeRollout([createEvidence("a", answers, times)], { isLast: false })).toMatchObject({
    kind: "bad",
    fault: RolloutFault.SlowAnswers,
  });
});

// A single failure among a few runs is not sufficient evidence, not even in the final comparison.
test("never rejects a version because of one bad answer", () => {
  const evidence = createEvidence("a", {
    base: createCounts(500, 0),
    tried: [createCounts(3, 1), createCounts(2, 0)],
  });
  expect(judgeRollout([evidence], { isLast: true }).kind).toBe("open");
  expect(countTrialRuns([evidence])).toBe(5);
});

test("returns finite evidence for any counts", () => {
  const any = fc.record({ runs: fc.nat(1_000), part: fc.double({ min: 0, max: 1, noNaN: true }) });
  const toCounts = ({ runs, part }: { runs: number; part: number }): RunCounts =>
    createCounts(runs, Math.floor(runs * part));
  fc.assert(
    fc.property(any, fc.array(any, { maxLength: 5 }), fc.boolean(), (base, tried, isLast) => {
      const evidence = createEvidence("a", { base: toCounts(base), tried: tried.map(toCounts) });
      const { evidence: value } = judgeRollout([evidence], { isLast });
      expect(Number.isFinite(value)).toBe(true);
    }),
  );
});
