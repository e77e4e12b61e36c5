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

test("a lookup whose worker hangs is sought elsewhere long before its deadline", () => {
  expect(isSilent({ ...WHOLE, quietFor: 150 })).toBe(false);
  expect(isSilent({ ...WHOLE, quietFor: 300 })).toBe(true);
});

// A prompt of 65,000 tokens takes more than a second to read. Its worker sends nothing meanwhile to an instance that
// has only this request there; given up, the prompt would be read twice.
test("a long prompt is given the time that it was expected to take, and more", () => {
  const long = { ...STREAM, expected: 1_124, quietFor: 2_600, workerQuietFor: 2_600 };
  expect(isSilent(long)).toBe(false);
  expect(isSilent({ ...long, quietFor: 3_500, workerQuietFor: 3_500 })).toBe(true);
});

test("a stream that pauses while its worker serves others isn't given up", () => {
  const begun = { ...STREAM, hasBegun: true, quietFor: 1_500 };
  expect(isSilent({ ...begun, workerQuietFor: 20 })).toBe(false);
  expect(isSilent({ ...begun, workerQuietFor: 1_500 })).toBe(true);
});
