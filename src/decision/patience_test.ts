import { expect, test } from "vitest";
import { isSilent } from "./patience.ts";
import type { Wait } from "./patience.ts";

const WHOLE: Wait = {
  isStream: false,
  hasBegun: false,
  quietFor: 0,
  workerQuietFor: 0,
  target: 100,
  expected: 0,
};
const STREAM: Wait = { ...WHOLE, isStream: true, target: 800, expected: 100 };

test("gives up a hanging worker of a lookup long before the deadline", () => {
  expect(isSilent({ ...WHOLE, quietFor: 150 })).toBe(false);
  expect(isSilent({ ...WHOLE, quietFor: 300 })).toBe(true);
});

// A prompt of 65,000 tokens takes more than a second to process. Meanwhile its worker sends nothing
// to an instance that has no other request there. If it were given up, the prompt would be
// processed twice.
test("waits at least for the expected time of a long prompt", () => {
  const long = { ...STREAM, expected: 1_124, quietFor: 2_600, workerQuietFor: 2_600 };
  expect(isSilent(long)).toBe(false);
  expect(isSilent({ ...long, quietFor: 3_500, workerQuietFor: 3_500 })).toBe(true);
});

test("doesn't give up a stream that pauses while its worker serves others", () => {
  const begun = { ...STREAM, hasBegun: true, quietFor: 1_500 };
  expect(isSilent({ ...begun, workerQuietFor: 20 })).toBe(false);
  expect(isSilent({ ...begun, workerQuietFor: 1_500 })).toBe(true);
});
