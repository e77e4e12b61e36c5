/**
 * Decides when a repeatable request moves from a silent worker to another one.
 *
 * Load: a worker that hangs or stops responding. Its connection stays open, its health check may
 * succeed, and no error occurs; without a limit the caller waits until its deadline. With a limit
 * that is too short, a burst or a long prompt looks like a hanging worker, and sending its requests
 * elsewhere makes the burst worse.
 *
 * - A complete answer is requested elsewhere after two and a half times its target; one in a
 *   hundred takes that long in ordinary operation.
 * - The first event of a stream is requested elsewhere after three times its target or three times
 *   its expected time, whichever is longer: a prompt of 60,000 tokens takes a second to process,
 *   and would be processed from the beginning elsewhere.
 * - A stream that has begun moves only if its worker has sent nothing on any stream for
 *   0.9 s: engines generate tokens for all their requests in turn, so one stream alone is not
 *   silent for long. Callers give up on a stream after two seconds or more.
 *
 * @module
 */

/** The progress of an attempt; times are in milliseconds. */
export interface AttemptProgress {
  /** Whether the answer is streamed. */
  readonly isStream: boolean;
  /** Whether any event has been received. */
  readonly hasFirstEvent: boolean;
  /** Time since data of this attempt was received. */
  readonly silentFor: number;
  /** Time since the worker sent anything to this instance. */
  readonly workerSilentFor: number;
  /** The latency target of the route. */
  readonly target: number;
  /** The expected time to the first token. */
  readonly expectedFirstToken: number;
}

/** Factor on the target of a complete answer. */
const WHOLE_ANSWER_FACTOR = 2.5;
/** Factor on the target of a stream's first event. */
const STREAM_FACTOR = 3;
/** Factor on the expected time to the first token. */
const EXPECTED_FACTOR = 3;
/** Milliseconds. A shorter silence is explained by the round trip and a busy process. */
const MIN_SILENCE = 200;
/** Milliseconds after which a worker that sends nothing on any stream counts as silent. */
const STREAM_SILENCE = 900;

/** Returns whether the worker counts as silent. */
export function isWorkerSilent(wait: AttemptProgress): boolean {
  const { isStream, hasFirstEvent, silentFor, workerSilentFor, target, expectedFirstToken } = wait;
  if (hasFirstEvent) return silentFor > STREAM_SILENCE && workerSilentFor > STREAM_SILENCE;
  const targetFactor = isStream ? STREAM_FACTOR : WHOLE_ANSWER_FACTOR;
  return (
    silentFor > Math.max(MIN_SILENCE, targetFactor * target, EXPECTED_FACTOR * expectedFirstToken)
  );
}
