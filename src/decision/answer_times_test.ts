import { expect, test } from "vitest";
import { createAnswerTimes } from "./answer_times.ts";
import type { AnswerTimes } from "./answer_times.ts";

const ORIGIN = { route: "drafts", service: "engines" };
/** Milliseconds. */
const TOKEN_TIME = 20;
/** Milliseconds that each answer takes beside its tokens. */
const START_TIME = 80;
/** Numbers of output tokens of answers at a steady pace. */
const STEADY_SIZES = Array.from({ length: 60 }, (_, index) => 15 + ((index * 97) % 285));
/** Milliseconds by which an expected time at a steady pace may be off. */
const MAX_ERROR = 50;

function recordSteady(times: AnswerTimes, sizes: readonly number[]): void {
  for (const outputTokens of sizes) {
    const lastEvent = outputTokens / 2;
    const duration = START_TIME + outputTokens * TOKEN_TIME;
    times.record(ORIGIN, { outputTokens, lastEvent, duration });
  }
}

test("nothing is expected of a route without answers", () => {
  const times = createAnswerTimes();
  expect(times.expected(ORIGIN, { outputTokens: 100, lastEvent: undefined })).toBeUndefined();
});

// Otherwise a stopping instance would treat a short stream like the long ones before it.
test("at a steady pace the expected time follows from the output tokens", () => {
  const times = createAnswerTimes();
  recordSteady(times, STEADY_SIZES);
  const expected = times.expected(ORIGIN, { outputTokens: 50, lastEvent: undefined }) ?? 0;
  expect(Math.abs(expected - (START_TIME + 50 * TOKEN_TIME))).toBeLessThan(MAX_ERROR);
});

test("a stream that is taken up again takes the time of its rest", () => {
  const times = createAnswerTimes();
  recordSteady(times, STEADY_SIZES);
  const expected = times.expected(ORIGIN, { outputTokens: 100, lastEvent: 40 }) ?? 0;
  expect(Math.abs(expected - (START_TIME + 100 * TOKEN_TIME) / 5)).toBeLessThan(MAX_ERROR);
});

// Otherwise the longest streams, which have more events than others, would look as if they had ended.
test("a stream with more events than usual is expected to take as long as a whole one", () => {
  const times = createAnswerTimes();
  recordSteady(times, STEADY_SIZES);
  const whole = times.expected(ORIGIN, { outputTokens: 100, lastEvent: undefined });
  expect(times.expected(ORIGIN, { outputTokens: 100, lastEvent: 90 })).toBe(whole);
});

// Otherwise answers with many tokens would be expected to take no time.
test("answers that end early don't make longer ones look shorter", () => {
  const times = createAnswerTimes();
  times.record(ORIGIN, { outputTokens: 100, lastEvent: undefined, duration: 2_000 });
  times.record(ORIGIN, { outputTokens: 150, lastEvent: undefined, duration: 1_500 });
  const rest = { outputTokens: 600, lastEvent: undefined };
  expect(times.expected(ORIGIN, rest)).toBeGreaterThan(5_000);
});

// Otherwise the first answer after a start would count like many.
test("more time is expected after one answer than the answer took", () => {
  const times = createAnswerTimes();
  const rest = { outputTokens: 100, lastEvent: undefined };
  times.record(ORIGIN, { ...rest, duration: 1_000 });
  expect(times.expected(ORIGIN, rest)).toBe(2_000);
});

// Otherwise half of the answers of an uneven pace would take longer than expected.
test("most answers of an uneven pace take no longer than expected", () => {
  const times = createAnswerTimes();
  const durations = Array.from({ length: 400 }, (_, index) => 1_000 + ((index * 617) % 1_000));
  let late = 0;
  for (const duration of durations) {
    const expected = times.expected(ORIGIN, { outputTokens: undefined, lastEvent: undefined });
    if (expected !== undefined && duration > expected) late++;
    times.record(ORIGIN, { outputTokens: undefined, lastEvent: undefined, duration });
  }
  expect(late / durations.length).toBeLessThan(0.1);
});

test("answers with declared tokens say nothing about those without", () => {
  const times = createAnswerTimes();
  recordSteady(times, [100]);
  expect(times.expected(ORIGIN, { outputTokens: undefined, lastEvent: undefined })).toBeUndefined();
});

// Otherwise nothing would be known of a route's first answers, although the same workers produced others.
test("a route without answers takes the times of its service", () => {
  const times = createAnswerTimes();
  recordSteady(times, STEADY_SIZES);
  const rest = { outputTokens: 50, lastEvent: undefined };
  const sameService = { ...ORIGIN, route: "questions" };
  expect(times.expected(sameService, rest)).toBe(times.expected(ORIGIN, rest));
  expect(times.expected({ ...ORIGIN, service: "others" }, rest)).toBe(times.expected(ORIGIN, rest));
  expect(times.expected({ route: "questions", service: "others" }, rest)).toBeUndefined();
});

/** Number of answers after which an instance knows the pace of a route. */
const FEW = 20;

// Otherwise the deviation that is assumed of the first answer would count for long, and a stopping instance would refuse
// streams that end in time.
test.each([15, 100, 290])(
  "a few answers at a steady pace suffice for the expected time (first of %d tokens)",
  (first) => {
    const times = createAnswerTimes();
    recordSteady(times, [first, ...STEADY_SIZES.slice(1, FEW)]);
    const expected = times.expected(ORIGIN, { outputTokens: 235, lastEvent: undefined }) ?? 0;
    const error = expected - (START_TIME + 235 * TOKEN_TIME);
    expect(error).toBeGreaterThanOrEqual(0);
    expect(error).toBeLessThan(MAX_ERROR);
  },
);

// Otherwise an instance would keep the averages of every route and service that any configuration has had.
test("answers of routes and services that are gone are forgotten", () => {
  const times = createAnswerTimes();
  recordSteady(times, STEADY_SIZES);
  const rest = { outputTokens: 50, lastEvent: undefined };
  times.retain({ routes: new Set(["questions"]), services: new Set([ORIGIN.service]) });
  expect(times.expected(ORIGIN, rest)).toBeDefined();
  times.retain({ routes: new Set([ORIGIN.route]), services: new Set() });
  expect(times.expected(ORIGIN, rest)).toBeUndefined();
});
