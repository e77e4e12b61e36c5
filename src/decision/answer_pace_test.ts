import { expect, test } from "vitest";
import { createAnswerPace } from "./answer_pace.ts";
import type { AnswerPace } from "./answer_pace.ts";
import { createAnswerTimes } from "./answer_times.ts";

const SERVICE = "engines";
const ORIGIN = { route: "drafts", service: SERVICE };
/** Milliseconds. */
const TOKEN_TIME = 20;
const REPORT_INTERVAL = 2_000;

/** Returns the paces of an instance that has served answers, and of one that gets its totals. */
function startPair(sizes: readonly number[]): { served: AnswerPace; started: AnswerPace } {
  const served = createAnswerPace();
  for (const outputTokens of sizes)
    served.record(SERVICE, { outputTokens, time: outputTokens * TOKEN_TIME });
  const started = createAnswerPace((key) => served.ownTotals(0).get(key));
  return { served, started };
}

// Guards against an instance that refuses all long streams in a stop because it has just started.
test("an instance without answers takes the pace that others report", () => {
  const { started } = startPair(Array.from({ length: 20 }, (_, index) => 50 + index * 10));
  const times = createAnswerTimes(started);
  const expected = times.expected(ORIGIN, { outputTokens: 235, lastEvent: undefined }) ?? 0;
  expect(expected).toBeGreaterThanOrEqual(235 * TOKEN_TIME);
  expect(expected).toBeLessThan(235 * TOKEN_TIME * 1.02);
});

// Guards against long answers that are accepted because of a few short ones.
test("answers that are few for the expected one say nothing", () => {
  const { started } = startPair([50, 100, 150]);
  expect(started.expected(SERVICE, 235)).toBeUndefined();
  expect(started.expected("others", 1)).toBeUndefined();
});

test("an instance with answers of the route takes its own", () => {
  const { started } = startPair([1_000, 1_000, 1_000]);
  const times = createAnswerTimes(started);
  const rest = { outputTokens: 100, lastEvent: undefined };
  for (let index = 0; index < 8; index++) times.record(ORIGIN, { ...rest, duration: 500 });
  expect(times.expected(ORIGIN, rest)).toBe(500);
});

// Guards against digests that contain all totals each time.
test("totals change at intervals and end with their service", () => {
  const { served } = startPair([100]);
  const before = served.ownTotals(0);
  served.record(SERVICE, { outputTokens: 100, time: 2_000 });
  expect(served.ownTotals(REPORT_INTERVAL - 1)).toBe(before);
  expect([...served.ownTotals(REPORT_INTERVAL).values()]).toEqual([{ runs: 40, failures: 20 }]);
  served.retainServices(new Set());
  expect(served.ownTotals(2 * REPORT_INTERVAL).size).toBe(0);
});
