import { expect, test } from "vitest";
import { createPartEvidence, MIN_PROVING_MOMENTS, PartOutcome } from "./part_evidence.ts";
import type { PartEvidence } from "./part_evidence.ts";

const CRASHING = { name: "part-000000000000000a", key: 10 };
const FIRST = { name: "part-000000000000000b", key: 11 };
const RARE = { name: "part-000000000000000c", key: 12 };
/** Milliseconds between two crashes. */
const INTERVAL = 250;

/** Evidence of some instances, which exchange their reports whenever the time advances. */
function setUp(instances = 1) {
  const start = 1_784_000_000_000;
  let now = start;
  const all = Array.from({ length: instances }, () => createPartEvidence(() => now));
  const exchange = (): void => {
    const reports = all.flatMap((evidence) => evidence.recentReports());
    for (const evidence of all) for (const report of reports) evidence.receiveReport(report);
  };
  return {
    all,
    at: (index: number): PartEvidence => {
      const found = all[index % instances];
      if (found === undefined) throw new Error("There is no such instance.");
      return found;
    },
    advance: (milliseconds: number): void => {
      now += milliseconds;
      exchange();
    },
    isProven: ({ name }: { name: string }): boolean[] =>
      all.map((evidence) => evidence.isProven({ name, key: 0 }, now)),
  };
}

// No two requests are alike, and each reaches another instance. Only the part that all of them have may be refused.
test("a part with which workers crash in a row is proven at all instances", () => {
  const { at, advance, isProven } = setUp(6);
  for (let crash = 0; crash < MIN_PROVING_MOMENTS; crash++) {
    expect(isProven(CRASHING)).not.toContain(true);
    at(crash).recordCrash(CRASHING, 0);
    at(crash).recordCrash(FIRST, 0);
    at(crash + 1).recordAnswer(FIRST, 0);
    advance(INTERVAL);
  }
  expect(isProven(CRASHING)).not.toContain(false);
  expect(isProven(FIRST)).not.toContain(true);
});

// The first part of the crashing prompts is in most other prompts, too, whose answers are known a little later.
test("a part that is answered between crashes is not proven", () => {
  const { at, advance, isProven } = setUp(6);
  for (let crash = 0; crash < 40; crash++) {
    at(crash).recordCrash(FIRST, 0);
    advance(INTERVAL);
    if (crash % 3 === 0) at(crash + 3).recordAnswer(FIRST, 0);
    expect(isProven(FIRST)).not.toContain(true);
  }
});

// All workers end at once. Every part of a prompt that was being read would otherwise be refused after their return.
test("crashes at the same moment count once", () => {
  const { all, advance, isProven } = setUp(6);
  for (const evidence of all)
    for (let worker = 0; worker < 16; worker++) evidence.recordCrash(FIRST, 0);
  advance(10_000);
  expect(isProven(FIRST)).not.toContain(true);
});

// Prompts with the part were answered before, also just before the first crash.
test("a part that begins to crash workers is proven although it was answered before", () => {
  const { at, advance, isProven } = setUp(6);
  for (let answer = 0; answer < 200; answer++) {
    at(answer).recordAnswer(CRASHING, 0);
    advance(50);
  }
  for (let crash = 0; crash < 8; crash++) {
    at(crash).recordCrash(CRASHING, 0);
    advance(INTERVAL);
  }
  expect(isProven(CRASHING)).not.toContain(false);
});

// A request with a rare part is lost with several workers, minutes apart, and answered in between.
test("a rare part that is lost with workers now and then is not proven", () => {
  const { at, advance, isProven } = setUp(6);
  for (let loss = 0; loss < 10; loss++) {
    at(loss).recordCrash(RARE, 0);
    advance(20_000);
    at(loss + 2).recordAnswer(RARE, 0);
    advance(20_000);
    expect(isProven(RARE)).not.toContain(true);
  }
});

// Few requests have the part, so its crashes are a minute apart.
test("a part that is never answered is proven however rarely it comes", () => {
  const { at, advance, isProven } = setUp(6);
  for (let crash = 0; crash < MIN_PROVING_MOMENTS; crash++) {
    at(crash).recordCrash(RARE, 0);
    advance(INTERVAL);
    advance(60_000);
  }
  expect(isProven(RARE)).not.toContain(false);
});

// Digests are lost and repeated, and arrive through several instances.
test("a crash counts once however often it is reported", () => {
  const { at, advance, isProven } = setUp(3);
  at(0).recordCrash(CRASHING, 0);
  for (let round = 0; round < 100; round++) advance(100);
  at(1).recordCrash(CRASHING, 0);
  advance(INTERVAL);
  expect(isProven(CRASHING)).not.toContain(true);
  expect(at(2).listProven(0)).toEqual([]);
});

// All instances were restarted after three crashes, which the store's record has.
test("crashes of a restored record count, without an answer since", () => {
  const { at, advance, isProven } = setUp(2);
  for (let call = 0; call < 3; call++)
    for (const index of [0, 1]) at(index).restore(CRASHING, MIN_PROVING_MOMENTS - 1);
  expect(isProven(CRASHING)).toEqual([false, false]);
  at(0).recordCrash(CRASHING, 0);
  advance(INTERVAL);
  expect(isProven(CRASHING)).toEqual([true, true]);
  at(1).recordAnswer(CRASHING, 0);
  advance(INTERVAL);
  for (const index of [0, 1]) at(index).restore(CRASHING, MIN_PROVING_MOMENTS - 1);
  expect(isProven(CRASHING)).toEqual([false, false]);
  expect(at(0).hasAnswer(CRASHING)).toBe(true);
});

test("a part that lacks one crash is suspected where a worker was lost", () => {
  const { at, advance } = setUp(2);
  for (let crash = 0; crash < MIN_PROVING_MOMENTS - 1; crash++) {
    at(0).recordCrash(CRASHING, 0);
    advance(INTERVAL);
  }
  expect(at(0).listSuspected(7)).toMatchObject([{ suspect: CRASHING, crashes: 3, since: 7 }]);
  expect(at(0).listSuspected(9)).toMatchObject([{ since: 7 }]);
  expect(at(1).listSuspected(7)).toEqual([]);
});

// An operator has deleted the part's record. Reports from before that may still be on their way.
test("a part that is forgotten starts anew", () => {
  const { all, at, advance, isProven } = setUp(2);
  for (let crash = 0; crash < MIN_PROVING_MOMENTS; crash++) {
    at(0).recordCrash(CRASHING, 0);
    advance(INTERVAL);
  }
  for (const evidence of all) evidence.forget(CRASHING.name);
  expect(isProven(CRASHING)).toEqual([false, false]);
});

test("a report from the future counts as of now", () => {
  const { at, advance, isProven } = setUp(1);
  const answer = { part: CRASHING.name, outcome: PartOutcome.Answer, at: 9e15 };
  at(0).recordCrash(CRASHING, 0);
  at(0).receiveReport(answer);
  for (let crash = 0; crash < MIN_PROVING_MOMENTS; crash++) {
    advance(500);
    at(0).recordCrash(CRASHING, 0);
  }
  expect(isProven(CRASHING)).toEqual([true]);
});
