import { expect, test } from "vitest";
import { createTrueTime } from "./true_time.ts";

const DATE = 1_700_000_000_000;

// An instance is suspended for four seconds: its steady clock stood still meanwhile. It would count its runs into
// the window before, for good.
test("an instance that was suspended takes the time from the others", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  for (const name of ["e2", "e3", "e4"]) {
    time.heard(name, { time: DATE + 5_000, steady: 1_000 });
  }
  expect(Math.abs(time.now(1_000) - (DATE + 5_000))).toBeLessThan(50);
});

// One instance started while its time of day was off by an hour. Its word must not move the others.
test("one that is wrong doesn't move the others", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  time.heard("e2", { time: DATE + 1_000, steady: 1_000 });
  time.heard("e3", { time: DATE + 3_600_000, steady: 1_000 });
  expect(Math.abs(time.now(1_000) - (DATE + 1_000))).toBeLessThan(50);
});

test("what was said long ago doesn't count", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  time.heard("e2", { time: DATE + 9_000, steady: 100 });
  time.heard("e3", { time: DATE + 10_000, steady: 10_000 });
  expect(time.now(10_000)).toBe(DATE + 10_000);
});
