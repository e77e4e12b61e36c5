import { expect, test } from "vitest";
import { chooseEntryMode, EntryMode } from "./entry_overload.ts";

function modesAfter(readings: readonly { loopDelay: number; memory?: number }[]): EntryMode[] {
  let mode = EntryMode.Open;
  return readings.map(({ loopDelay, memory = 100 }) => {
    mode = chooseEntryMode({ loopDelay, memory, memoryLimit: 1_000, inProgress: 1 }, mode);
    return mode;
  });
}

test("refuses scripts first, then all new work, and accepts them again step by step", () => {
  // Twice the usual number of callers: the event loop lags by 60 ms, then by 250 ms. If all
  // requests were accepted, heartbeats would be late and the instance's slots would move while it
  // is alive.
  const delays = [10, 60, 250, 150, 90, 90, 40, 20].map((loopDelay) => ({ loopDelay }));
  expect(modesAfter(delays)).toEqual([
    EntryMode.Open,
    EntryMode.LookupsOnly,
    EntryMode.ControlOnly,
    EntryMode.ControlOnly,
    EntryMode.LookupsOnly,
    EntryMode.LookupsOnly,
    EntryMode.LookupsOnly,
    EntryMode.Open,
  ]);
});

test("refuses work before memory reaches its limit", () => {
  // Large bodies fill the memory while the event loop is fast. Without this the process is killed
  // with all requests that it has accepted.
  const readings = [850, 950, 820, 750, 650].map((memory) => ({ loopDelay: 1, memory }));
  expect(modesAfter(readings)).toEqual([
    EntryMode.LookupsOnly,
    EntryMode.ControlOnly,
    EntryMode.ControlOnly,
    EntryMode.LookupsOnly,
    EntryMode.Open,
  ]);
});
