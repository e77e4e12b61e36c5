import { performance } from "node:perf_hooks";
import type { Clock } from "../interface/index.ts";

/** Clock of the operating system. `now` is monotonic, in milliseconds. */
export const systemClock: Clock = {
  now: () => performance.now(),
  date: () => new Date(),
  after: (milliseconds, run) => {
    const timer = setTimeout(run, milliseconds);
    return { close: () => clearTimeout(timer) };
  },
};
