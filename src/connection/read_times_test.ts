import { expect, test } from "vitest";
import { createReadTimes } from "./read_times.ts";

// Guards against a deadline that begins when a request is parsed, long after it was read.
test("the time of the last byte that is taken counts", () => {
  const times = createReadTimes();
  times.add(100, 0);
  times.add(50, 200);
  expect(times.take(60)).toBe(0);
  expect(times.take(40)).toBe(0);
  expect(times.take(1)).toBe(200);
});

// Guards against a caller whose earlier bytes wait, and whose new request would count as old as they are.
test("bytes that are read after others were taken have their own time", () => {
  const times = createReadTimes();
  times.add(10, 0);
  times.take(10);
  times.add(10, 500);
  expect(times.take(10)).toBe(500);
});

test("single bytes that are read in quick succession count as read with the first of them", () => {
  const times = createReadTimes();
  for (let at = 0; at < 10; at++) times.add(1, at);
  expect(times.take(10)).toBe(0);
});
