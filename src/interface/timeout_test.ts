import { expect, test } from "vitest";
import { createStallingClock } from "../standin/memory/index.ts";
import type { StallingClock } from "../standin/memory/index.ts";
import { afterRunningTime, withTimeout } from "./timeout.ts";

function startTimer(milliseconds: number): { clock: StallingClock; runs: () => number } {
  const clock = createStallingClock();
  let runs = 0;
  afterRunningTime(clock, milliseconds, () => runs++);
  return { clock, runs: () => runs };
}

test("a timer of running time runs once, at its time, in a process without stalls", () => {
  const { clock, runs } = startTimer(1_000);
  clock.advance(999);
  expect(runs()).toBe(0);
  clock.advance(1);
  expect(runs()).toBe(1);
  clock.advance(5_000);
  expect(runs()).toBe(1);
});

// The answer arrived during the stall. If the timer ran first, a live peer would be reported as silent.
test.each([0, 200, 990])("a stall after %i ms does not end a timer of running time", (before) => {
  const { clock, runs } = startTimer(1_000);
  clock.advance(before);
  clock.stall(30_000);
  expect(runs()).toBe(0);
  clock.advance(1_000);
  expect(runs()).toBe(1);
});

// An overloaded process would otherwise never notice that a peer has failed.
test("a timer of running time ends in a process that is always late", () => {
  const { clock, runs } = startTimer(1_000);
  for (let stalls = 0; stalls < 8; stalls++) clock.stall(700);
  expect(runs()).toBe(1);
});

test("a closed timer of running time does not run", () => {
  const clock = createStallingClock();
  let runs = 0;
  const timer = afterRunningTime(clock, 1_000, () => runs++);
  clock.advance(600);
  timer.close();
  clock.advance(5_000);
  expect(runs).toBe(0);
});

test("a call that is not answered ends with an error that names its step", async () => {
  const clock = createStallingClock();
  const answer = withTimeout(clock, new Promise(() => undefined), { limit: 100, step: "probe e1" });
  const ended = expect(answer).rejects.toThrow("Timed out after 100 ms: probe e1.");
  clock.advance(100);
  await ended;
});
