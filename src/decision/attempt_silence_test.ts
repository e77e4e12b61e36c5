import { expect, test } from "vitest";
import { findSilentWorkers, isWorkerSilent } from "./attempt_silence.ts";
import type { AttemptProgress, OtherWorker } from "./attempt_silence.ts";

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

const NOW = 10_000;
const SILENCE = { silentSince: 9_700, now: NOW, limit: 250 };

/** A worker with an unanswered request of this instance. */
function awaited(id: string, { sentAgo, receivedAgo }: Record<string, number>): OtherWorker {
  const lastReceivedAt = receivedAgo === undefined ? undefined : NOW - receivedAgo;
  return {
    id,
    activity: { lastSentAt: NOW - (sentAgo ?? 0), lastReceivedAt, hasPendingResponse: true },
  };
}

// Guards against requests that each take places at two silent workers when all workers stand still for a while.
test("a request stays while several workers are silent and the last one asked may still answer", () => {
  const silent = [awaited("a", { sentAgo: 300, receivedAgo: 400 }), awaited("b", { sentAgo: 280 })];
  const justAsked = awaited("c", { sentAgo: 100 });
  expect(findSilentWorkers([...silent, justAsked], SILENCE)).toBeUndefined();
  const answering = awaited("d", { sentAgo: 100, receivedAgo: 20 });
  expect(findSilentWorkers([...silent, justAsked, answering], SILENCE)).toEqual(
    new Set(["a", "b", "c"]),
  );
});

// Guards against callers that wait until their deadline although workers are idle.
test("a request moves away from silent workers if no answer is expected soon", () => {
  const silent = [awaited("a", { sentAgo: 300 }), awaited("b", { sentAgo: 300 })];
  const idle: OtherWorker = { id: "c", activity: undefined };
  expect(findSilentWorkers([...silent, idle], SILENCE)).toEqual(new Set(["a", "b"]));
});

test("a request moves at once if only its own worker is silent", () => {
  const own = awaited("a", { sentAgo: 300 });
  const justAsked = awaited("b", { sentAgo: 10 });
  expect(findSilentWorkers([own, justAsked], SILENCE)).toEqual(new Set(["a", "b"]));
});
