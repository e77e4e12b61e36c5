import { expect, test } from "vitest";
import { createStallingClock } from "../standin/memory/index.ts";
import { createStallMonitor } from "./stall_monitor.ts";

// Nothing else in the log shows that an instance, and not its workers, was silent.
test("a time without processor time is reported once, with its duration", () => {
  const clock = createStallingClock();
  const stalls: number[] = [];
  const monitor = createStallMonitor({ clock, onStall: (duration) => stalls.push(duration) });
  monitor.start();
  clock.advance(1_000);
  clock.stall(1_500);
  clock.advance(1_000);
  expect(stalls).toEqual([1_250]);
  monitor.close();
  clock.stall(1_500);
  expect(stalls).toHaveLength(1);
});
