import type { Clock } from "../../interface/index.ts";

/** A clock on which a process can stall: timers that become due meanwhile run late, at its end. */
export interface StallingClock extends Clock {
  /** Lets time pass in a process that runs. */
  advance(milliseconds: number): void;
  /** Lets time pass without any timer running. */
  stall(milliseconds: number): void;
}

/** Creates a clock that starts at 0. */
export function createStallingClock(): StallingClock {
  let now = 0;
  let timers: { at: number; run: () => void }[] = [];
  const runDueTimers = (): void => {
    const due = timers.filter(({ at }) => at <= now);
    timers = timers.filter(({ at }) => at > now);
    for (const { run } of due) run();
  };
  return {
    now: () => now,
    date: () => new Date(now),
    after: (milliseconds, run) => {
      const timer = { at: now + milliseconds, run };
      timers.push(timer);
      return {
        close: () => {
          timers = timers.filter((open) => open !== timer);
        },
      };
    },
    advance: (milliseconds) => {
      for (let passed = 0; passed < milliseconds; passed++) {
        now++;
        runDueTimers();
      }
    },
    stall: (milliseconds) => {
      now += milliseconds;
      runDueTimers();
    },
  };
}
