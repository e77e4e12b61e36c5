import { expect, test } from "vitest";
import { createVersionTallies, tallyKeys } from "./rollout_tally.ts";
import type { RunTally, VersionTallies } from "./rollout_tally.ts";

const SERVICE = "model";
const NAMES = { service: SERVICE, tried: "v2", route: "draft" };
const BASE = tallyKeys({ ...NAMES, worker: undefined });
const NEWER = tallyKeys({ ...NAMES, worker: "n-0" });

function begin(
  tallies: VersionTallies,
  now: number,
  more: { tried?: string; reads?: number; isCold?: boolean } = {},
): RunTally {
  const { tried, reads = 1_000, isCold = false } = more;
  return tallies.begin({
    service: SERVICE,
    route: "draft",
    reads,
    tried,
    isCold,
    isCompared: true,
    now,
  });
}

/** Tallies that have seen runs of the old version that took 100 ms, before an order. */
function createLearned(): VersionTallies {
  const tallies = createVersionTallies();
  for (let run = 0; run < 20; run++) {
    const tally = begin(tallies, 0);
    tally.answered(100);
    tally.ended("well");
  }
  tallies.expect(SERVICE, "v2");
  return tallies;
}

test("runs of both versions are counted apart, from the order on", () => {
  const tallies = createLearned();
  expect(tallies.counts(0).size).toBe(0);
  begin(tallies, 0).ended("well");
  begin(tallies, 0, { tried: "n-0" }).ended("failed");
  begin(tallies, 0, { tried: "n-0" }).ended("unknown");
  expect(tallies.counts(1).get(BASE.answers)).toEqual({ runs: 1, failures: 0 });
  expect(tallies.counts(1).get(NEWER.answers)).toEqual({ runs: 1, failures: 1 });
});

test("a run is slow against the old version's with as much to read", () => {
  const tallies = createLearned();
  begin(tallies, 0, { tried: "n-0" }).answered(120);
  begin(tallies, 0, { tried: "n-0" }).answered(250);
  expect(tallies.counts(300).get(NEWER.times)).toEqual({ runs: 2, failures: 1 });
});

// The new version takes requests and never answers them. Their deadlines are seconds away.
test("what hangs counts as slow before it has ended", () => {
  const tallies = createLearned();
  const hanging = begin(tallies, 0, { tried: "n-0" });
  expect(tallies.counts(100).get(NEWER.times)).toBeUndefined();
  expect(tallies.counts(400).get(NEWER.times)).toEqual({ runs: 1, failures: 1 });
  hanging.answered(900);
  hanging.ended("well");
  expect(tallies.counts(900).get(NEWER.times)).toEqual({ runs: 1, failures: 1 });
});

// All instances are restarted in the middle of an order, and none has seen what is usual itself.
test("an instance that has seen little goes by what is usual with the others", () => {
  const told = new Map([[BASE.usual, { runs: 40, failures: 40 * 461 }]]);
  const tallies = createVersionTallies((key) => told.get(key));
  tallies.expect(SERVICE, "v2");
  begin(tallies, 0, { tried: "n-0" }).answered(120);
  begin(tallies, 0, { tried: "n-0" }).answered(400);
  expect(tallies.counts(400).get(NEWER.times)).toEqual({ runs: 2, failures: 1 });
  begin(tallies, 0).answered(100);
  expect(tallies.counts(400).get(BASE.usual)).toEqual({ runs: 1, failures: 461 });
});

// A worker that has just started is slow for a while, whatever its version.
test("the time of a worker that still warms up says nothing", () => {
  const tallies = createLearned();
  begin(tallies, 0, { tried: "n-0", isCold: true }).answered(900);
  expect(tallies.counts(1_000).get(NEWER.times)).toBeUndefined();
});

// A slow version must not become what is usual.
test("the new version's runs don't change what is usual", () => {
  const tallies = createLearned();
  for (let run = 0; run < 50; run++) begin(tallies, 0, { tried: "n-0" }).answered(500);
  expect(tallies.counts(600).get(NEWER.times)).toEqual({ runs: 50, failures: 50 });
});

test("an order of another version is counted anew", () => {
  const tallies = createLearned();
  const before = begin(tallies, 0, { tried: "n-0" });
  tallies.expect(SERVICE, "v3");
  before.ended("failed");
  expect(tallies.counts(1).size).toBe(0);
  tallies.expect(SERVICE, undefined);
  begin(tallies, 0).ended("failed");
  expect(tallies.counts(1).size).toBe(0);
});
