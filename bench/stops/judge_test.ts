import { expect, test } from "vitest";
import { Fate, judge } from "./judge.ts";
import type { StopRequest } from "./judge.ts";

const STOP = { pid: 1, at: 10_000 };

function brokenRequest(sentAfter: number, endedAfter: number): StopRequest {
  return {
    id: "r",
    pid: STOP.pid,
    sentAt: STOP.at + sentAfter,
    endedAt: STOP.at + endedAfter,
    length: 5_000,
    status: 200,
    isWhole: false,
  };
}

function runUntil(endedAfter: number) {
  const endedAt = STOP.at + endedAfter;
  return { id: "r", worker: "w", startedAt: STOP.at, endedAt, isWhole: false };
}

// Without the excuse, every long request at the end of a stop would count as lost.
test("a request sent early and worked on at the end of the stop is excused", () => {
  const judged = judge(brokenRequest(2_900, 7_300), { runs: [runUntil(7_300)], stop: STOP });
  expect(judged).toMatchObject({ fate: Fate.BrokenOff, isLost: false });
});

// Otherwise the harness would miss the losses that it looks for.
test.each([
  ["sent too late", 3_100, 7_300],
  ["not worked on at the end", 100, 5_000],
])("a broken-off request that was %s is lost", (_, sentAfter, endedAfter) => {
  const request = brokenRequest(sentAfter, endedAfter);
  expect(judge(request, { runs: [runUntil(endedAfter)], stop: STOP }).isLost).toBe(true);
});

// A request that crosses the close of its connection isn't lost, and one that waited for an answer is.
test.each([
  [100, Fate.Unread, false],
  [400, Fate.BrokenOff, true],
])("a connection that ends after %i ms without a run leads to: %s", (wait, fate, isLost) => {
  const request = { ...brokenRequest(1_000, 1_000 + wait), status: 0 };
  expect(judge(request, { runs: [], stop: STOP })).toMatchObject({ fate, isLost });
});

// The refusals that the fix of the acceptance may not add.
test.each([
  [2_300, true],
  [2_400, false],
])("a refusal %i ms after SIGTERM is needless: %s", (sentAfter, isNeedlesslyRefused) => {
  const request = { ...brokenRequest(sentAfter, sentAfter), status: 503, isWhole: true };
  expect(judge(request, { runs: [], stop: STOP }).isNeedlesslyRefused).toBe(isNeedlesslyRefused);
});
