import { expect, test } from "vitest";
import { entryStance, EntryStance } from "./entry_overload.ts";

function stances(readings: readonly { loopDelay: number; memory?: number }[]): EntryStance[] {
  let stance = EntryStance.Open;
  return readings.map(({ loopDelay, memory = 100 }) => {
    stance = entryStance({ loopDelay, memory, memoryLimit: 1_000, inProgress: 1 }, stance);
    return stance;
  });
}

test("refuses scripts first, then all new work, and accepts them again step by step", () => {
  // Twice the usual number of callers: the event loop lags by 60 ms, then by 250 ms. If all
  // requests were accepted, heartbeats would be late and the instance's slots would move while it
  // is alive.
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

test("refuses work before memory reaches its limit", () => {
  // Large bodies fill the memory while the event loop is fast. Without this the process is killed
  // with all requests that it has accepted.
  const readings = [850, 950, 820, 750, 650].map((memory) => ({ loopDelay: 1, memory }));
  expect(stances(readings)).toEqual([
    EntryStance.LookupsOnly,
    EntryStance.ControlOnly,
    EntryStance.ControlOnly,
    EntryStance.LookupsOnly,
    EntryStance.Open,
  ]);
});
