import { expect, test } from "vitest";
import { exceededLimit, ReadingLimit, ReadingState } from "./reading_limit.ts";

const MAX_BODY = 4_194_304;

test.each([
  ["a body in chunks of one byte with padded sizes", ReadingState.WithinBody, 16, MAX_BODY],
  ["trailers of the size of a head", ReadingState.WithinBody, 0, 0, 16_384],
  ["a refused body inside the limit", ReadingState.Refused, 0, MAX_BODY],
  ["a head of the largest size", ReadingState.BetweenRequests, 0, 0, 131_072],
])("%s exceeds no limit", (_title, state, framing, body, more = 0) => {
  const passed = body * (1 + framing) + more;
  expect(exceededLimit({ state, passed, body }, MAX_BODY)).toBeUndefined();
});

// Guards against bytes without end that are read at the cost of other callers.
test.each([
  [ReadingLimit.Framing, ReadingState.WithinBody, 16_000 * 10, 10],
  [ReadingLimit.Refused, ReadingState.Refused, 2 * MAX_BODY, 0],
  [ReadingLimit.Gap, ReadingState.BetweenRequests, 300_000, 0],
])("the limit %s is exceeded", (limit, state, passed, body) => {
  expect(exceededLimit({ state, passed, body }, MAX_BODY)).toBe(limit);
});
