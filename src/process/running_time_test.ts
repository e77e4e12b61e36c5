import { setImmediate } from "node:timers/promises";
import { expect, test } from "vitest";
import { createStallingClock } from "../standin/memory/index.ts";
import { createRunningTime } from "./running_time.ts";

// A stall that counted as running time would count as silence of everything that the process waits for.
test("stalls don't count, whichever part of them lies in the measured time", () => {
  const clock = createStallingClock();
  const runningTime = createRunningTime(clock);
  runningTime.start();
  clock.advance(1_000);
  clock.stall(1_500);
  clock.advance(1_000);
  clock.stall(500);
  clock.advance(1_000);
  // Each stall counts until the check at which it is noticed, 100 ms after the last.
  expect(runningTime.between(0, 5_000)).toBe(3_200);
  expect(runningTime.between(0, 2_000)).toBe(1_100);
  expect(runningTime.between(2_000, 3_000)).toBe(500);
  expect(runningTime.between(4_500, 5_000)).toBe(500);
});

// After a stall, an answer may be read before the first timer runs.
test("a stall doesn't count before the check that it delayed", () => {
  const clock = createStallingClock();
  let now = 0;
  const runningTime = createRunningTime({ ...clock, now: () => now });
  runningTime.start();
  now = 2_100;
  expect(runningTime.between(0, now)).toBe(100);
  runningTime.close();
});

// Guards against requests that are passed on although their callers left while the process was stalled.
test("what waits for the sockets to be read runs later after a stall, and at once without one", async () => {
  const clock = createStallingClock();
  const runningTime = createRunningTime(clock);
  runningTime.start();
  let runs = 0;
  const run = (): void => {
    runs++;
  };
  clock.advance(1_000);
  runningTime.whenRead(run);
  expect({ isLate: runningTime.isLate(), runs }).toEqual({ isLate: false, runs: 1 });
  // The timer runs at the end of the stall, before sockets are read.
  clock.stall(1_500);
  runningTime.whenRead(run);
  expect({ isLate: runningTime.isLate(), runs }).toEqual({ isLate: true, runs: 1 });
  await setImmediate();
  expect({ isLate: runningTime.isLate(), runs }).toEqual({ isLate: false, runs: 1 });
  await setImmediate();
  expect(runs).toBe(2);
  runningTime.close();
});

test("a process is late as long as its check is overdue", () => {
  let now = 0;
  const runningTime = createRunningTime({ ...createStallingClock(), now: () => now });
  runningTime.start();
  now = 119;
  expect(runningTime.isLate()).toBe(false);
  now = 120;
  expect(runningTime.isLate()).toBe(true);
  runningTime.close();
});
