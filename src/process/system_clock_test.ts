import { expect, test, vi } from "vitest";
import { sleep } from "../interface/index.ts";
import { systemClock } from "./system_clock.ts";

// Node.js runs a timer after one millisecond if its delay doesn't fit into 32 bits. A worker that says that it ends in a
// long time would lose its runs at once.
test.each([2 ** 31, 1e300, Infinity])("a timer of %d ms doesn't run at once", async (delay) => {
  const run = vi.fn();
  const timer = systemClock.after(delay, run);
  await sleep(systemClock, 30);
  timer.close();
  expect(run).not.toHaveBeenCalled();
});
