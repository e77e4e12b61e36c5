import { setImmediate } from "node:timers/promises";
import { expect, test } from "vitest";
import { createReadingTurns } from "./reading_turns.ts";
import type { ReadingTurns } from "./reading_turns.ts";

/** Turns with requests that are named by numbers, a clock that only passes in requests, and what was done. */
interface Reading {
  readonly turns: ReadingTurns<number>;
  readonly begun: number[];
  readonly refused: number[];
  now: number;
  isLate: boolean;
  isAccepting: boolean;
  /** Milliseconds that each request takes. */
  cost: number;
}

function createReading(): Reading {
  const begun: number[] = [];
  const refused: number[] = [];
  const state = { now: 0, isLate: false, isAccepting: false, cost: 1 };
  const turns = createReadingTurns<number>({
    clock: { now: () => state.now },
    isLate: () => state.isLate,
    isAccepting: () => state.isAccepting,
    spentOn: (item) => -item,
    proceed: (request) => {
      begun.push(request);
      state.now += state.cost;
    },
    refuse: (request) => void refused.push(request),
  });
  return Object.assign(state, { turns, begun, refused });
}

async function passTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) await setImmediate();
}

function numbers(first: number, last: number): number[] {
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

// Guards against answers that are later than before in an instance that is in time.
test("a request doesn't wait if the process is in time", () => {
  const { turns } = createReading();
  expect(turns.isBehind()).toBe(false);
});

test.each(["isLate", "isAccepting"] as const)("a request waits if %s", (cause) => {
  const reading = createReading();
  reading[cause] = true;
  expect(reading.turns.isBehind()).toBe(true);
});

// Guards against a request that is begun before its caller's end, which lay behind it, is read.
test("a request that waits is begun after all connections were read once more", async () => {
  const { turns, begun } = createReading();
  turns.addRequest(1);
  await passTurns(1);
  expect(begun).toEqual([]);
  await passTurns(2);
  expect(begun).toEqual([1]);
});

// Guards against requests that are never begun before a crowd of callers that only connect.
test("requests are begun after 20 ms although connections still wait to be accepted", async () => {
  const reading = createReading();
  reading.isAccepting = true;
  reading.turns.addRequest(1);
  await passTurns(5);
  expect(reading.begun).toEqual([]);
  reading.now = 20;
  await passTurns(1);
  expect(reading.begun).toEqual([1]);
});

test("requests that waited for a short time are begun in order", async () => {
  const { turns, begun } = createReading();
  for (const request of numbers(1, 20)) turns.addRequest(request);
  await passTurns(30);
  expect(begun).toEqual(numbers(1, 20));
});

// Guards against requests that are each begun when their callers are about to leave.
test("the newest request is begun first if others have waited for long", async () => {
  const reading = createReading();
  const { turns, begun } = reading;
  reading.cost = 20;
  for (const request of numbers(1, 20)) turns.addRequest(request);
  // One is begun in each turn, so those that were added last have waited for over 100 ms after six.
  await passTurns(20);
  const order = begun.slice(0, 20);
  expect(order.slice(0, 4)).toEqual([1, 2, 3, 4]);
  expect(order.at(-1)).toBeLessThan(10);
  expect(order).toContain(20);
});

// Guards against requests that are held until their deadlines by an instance that can't begin them.
test("a request that can't be begun within 500 ms is refused, and a stall doesn't count", async () => {
  const reading = createReading();
  reading.cost = 25;
  for (const request of numbers(1, 100)) reading.turns.addRequest(request);
  reading.now += 2_000;
  await passTurns(200);
  expect(reading.begun.length + reading.refused.length).toBe(100);
  expect(reading.begun.slice(0, 2)).toEqual([1, 2]);
  expect(reading.begun.length).toBeGreaterThanOrEqual(18);
  expect(reading.begun.length).toBeLessThanOrEqual(22);
});

test("the parts of bodies get half of the time beside requests", async () => {
  const reading = createReading();
  const { turns, begun } = reading;
  for (const item of numbers(1, 10)) turns.addRequest(item);
  for (const item of numbers(101, 110)) turns.addPart(item);
  await passTurns(2);
  expect(begun.some((item) => item <= 10)).toBe(true);
  expect(begun.some((item) => item > 100)).toBe(true);
});

// Guards against an ordinary body that waits behind many that are expensive to parse.
test("the part of the cheapest request is continued first", async () => {
  const { turns, begun } = createReading();
  for (const item of numbers(101, 110)) turns.addPart(item);
  await passTurns(2);
  expect(begun[0]).toBe(110);
});
