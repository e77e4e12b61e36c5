import { expect, test } from "vitest";
import { createTrueTime } from "./fleet_time.ts";

const DATE = 1_700_000_000_000;

// An instance is suspended for four seconds, during which its monotonic clock stands still. Without
// a correction it would permanently count its runs in the previous window.
test("corrects an instance that was suspended", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  for (const name of ["e2", "e3", "e4"]) {
    time.heard(name, { time: DATE + 5_000, steady: 1_000 });
  }
  expect(Math.abs(time.now(1_000) - (DATE + 5_000))).toBeLessThan(50);
});

// One instance started while its time of day was off by an hour. It must not change the time of the
// others.
test("ignores a single wrong instance", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  time.heard("e2", { time: DATE + 1_000, steady: 1_000 });
  time.heard("e3", { time: DATE + 3_600_000, steady: 1_000 });
  expect(Math.abs(time.now(1_000) - (DATE + 1_000))).toBeLessThan(50);
});

test("ignores times that were received long ago", () => {
  const time = createTrueTime({ date: DATE, steady: 0 });
  time.heard("e2", { time: DATE + 9_000, steady: 100 });
  time.heard("e3", { time: DATE + 10_000, steady: 10_000 });
  expect(time.now(10_000)).toBe(DATE + 10_000);
});
