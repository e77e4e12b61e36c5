import { expect, test } from "vitest";
import { isWorkerSilent } from "./attempt_silence.ts";
import type { AttemptProgress } from "./attempt_silence.ts";

const LOOKUP: AttemptProgress = {
  isStream: false,
  hasFirstEvent: false,
  silentFor: 0,
  workerSilentFor: 0,
  target: 100,
  expectedFirstToken: 0,
};
const STREAM: AttemptProgress = { ...LOOKUP, isStream: true, target: 800, expectedFirstToken: 100 };

test("gives up a hanging worker of a lookup long before the deadline", () => {
  expect(isWorkerSilent({ ...LOOKUP, silentFor: 150 })).toBe(false);
  expect(isWorkerSilent({ ...LOOKUP, silentFor: 300 })).toBe(true);
});

// A prompt of 65,000 tokens takes more than a second to process. Meanwhile its worker sends nothing
// to an instance that has no other request there. If the attempt were abandoned, the prompt would
// be processed twice.
test("waits at least for the expected time of a long prompt", () => {
  const long = { ...STREAM, expectedFirstToken: 1_124, silentFor: 2_600, workerSilentFor: 2_600 };
  expect(isWorkerSilent(long)).toBe(false);
  expect(isWorkerSilent({ ...long, silentFor: 3_500, workerSilentFor: 3_500 })).toBe(true);
});

test("doesn't give up a stream that pauses while its worker serves others", () => {
  const streaming = { ...STREAM, hasFirstEvent: true, silentFor: 1_500 };
  expect(isWorkerSilent({ ...streaming, workerSilentFor: 20 })).toBe(false);
  expect(isWorkerSilent({ ...streaming, workerSilentFor: 1_500 })).toBe(true);
});
