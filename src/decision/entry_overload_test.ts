import { expect, test } from "vitest";
import { entryStance, EntryStance } from "./entry_overload.ts";

function stances(readings: readonly { loopDelay: number; memory?: number }[]): EntryStance[] {
  let stance = EntryStance.Open;
  return readings.map(({ loopDelay, memory = 100 }) => {
    stance = entryStance({ loopDelay, memory, memoryLimit: 1_000, inProgress: 1 }, stance);
    return stance;
  });
}

test("scripts are turned away first, then all new work, and it comes back step by step", () => {
  // Twice the usual callers: the event loop lags by 60 ms, then by 250. If everything were taken, the
  // heartbeats would be late as well and the instance's slots would move while it lives.
  const delays = [10, 60, 250, 150, 90, 90, 40, 20].map((loopDelay) => ({ loopDelay }));
  expect(stances(delays)).toEqual([
    EntryStance.Open,
    EntryStance.LookupsOnly,
    EntryStance.ControlOnly,
    EntryStance.ControlOnly,
    EntryStance.LookupsOnly,
    EntryStance.LookupsOnly,
    EntryStance.LookupsOnly,
    EntryStance.Open,
  ]);
});

test("memory near its limit turns work away before the process dies", () => {
  // Large bodies fill the memory while the loop is quick. Without a bound the process is killed, with all
  // requests that it has accepted.
  const readings = [850, 950, 820, 750, 650].map((memory) => ({ loopDelay: 1, memory }));
  expect(stances(readings)).toEqual([
    EntryStance.LookupsOnly,
    EntryStance.ControlOnly,
    EntryStance.ControlOnly,
    EntryStance.LookupsOnly,
    EntryStance.Open,
  ]);
});
