import { performance } from "node:perf_hooks";
import type { Clock } from "../interface/index.ts";

/** Longest delay of a timer in Node.js, in milliseconds; a longer one runs at once. */
export const MAX_TIMER_DELAY = 2 ** 31 - 1;

/** Clock of the operating system. `now` is monotonic, in milliseconds. */
export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  after: (milliseconds, run) => {
    const timer = setTimeout(run, Math.min(milliseconds, MAX_TIMER_DELAY));
    return { close: () => clearTimeout(timer) };
  },
};
