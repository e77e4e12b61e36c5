import { expect, test } from "vitest";
import { countsSince, createCountHistory } from "./count_history.ts";

const sums = (runs: number): Map<number, { runs: number; failures: number }> =>
  new Map([[7, { runs, failures: 1 }]]);

test("earlier snapshots are kept", () => {
  const history = createCountHistory();
  expect(history.at(100)).toBeUndefined();
  history.note(1_000, sums(10));
  history.note(1_100, sums(11));
  history.note(2_000, sums(20));
  expect(history.at(1_500)).toEqual(sums(10));
  expect(history.at(9_000)).toEqual(sums(20));
});

// An instance that has just taken over the lease has no snapshot from before that time.
test("the oldest snapshot is returned for any earlier time", () => {
  const history = createCountHistory();
  history.note(5_000, sums(10));
  expect(history.at(1_000)).toEqual(sums(10));
});

// An instance that contributed to the totals has ended, so they are lower than before.
test("an increase is never negative", () => {
  expect(countsSince(sums(12), sums(10))).toEqual(new Map([[7, { runs: 2, failures: 0 }]]));
  expect(countsSince(sums(3), sums(10))).toEqual(new Map([[7, { runs: 0, failures: 0 }]]));
});
