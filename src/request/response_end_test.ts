import { expect, test } from "vitest";
import { ResponseEnd, responseEndOf } from "./response_end.ts";

// Guards against an answer that the process still holds and that is logged as if its caller could have it.
test.each([
  [{ headersSent: true, writableEnded: true, writableFinished: true }, ResponseEnd.Written],
  [{ headersSent: true, writableEnded: true, writableFinished: false }, ResponseEnd.Unwritten],
  [{ headersSent: true, writableEnded: false, writableFinished: false }, ResponseEnd.Partial],
  [{ headersSent: false, writableEnded: false, writableFinished: false }, ResponseEnd.Unanswered],
])("a closed response with %o is %s", (response, end) => {
  expect(responseEndOf(response)).toBe(end);
});
