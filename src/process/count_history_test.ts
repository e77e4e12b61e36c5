import { expect, test } from "vitest";
import { countsSince, createCountHistory } from "./count_history.ts";

const sums = (runs: number): Map<number, { runs: number; failures: number }> =>
  new Map([[7, { runs, failures: 1 }]]);

test("sums are kept as they stood at earlier moments", () => {
  const history = createCountHistory();
  expect(history.at(100)).toBeUndefined();
  history.note(1_000, sums(10));
  history.note(1_100, sums(11));
  history.note(2_000, sums(20));
  expect(history.at(1_500)).toEqual(sums(10));
  expect(history.at(9_000)).toEqual(sums(20));
});

// The instance with the duty has had it for a moment only: what it knows of the time before is its first look.
test("of moments before the first look its sums are given", () => {
  const history = createCountHistory();
  history.note(5_000, sums(10));
  expect(history.at(1_000)).toEqual(sums(10));
});

// An instance that had counted has ended, and the sums are smaller than before.
test("what was counted since is never negative", () => {
  expect(countsSince(sums(12), sums(10))).toEqual(new Map([[7, { runs: 2, failures: 0 }]]));
  expect(countsSince(sums(3), sums(10))).toEqual(new Map([[7, { runs: 0, failures: 0 }]]));
});
