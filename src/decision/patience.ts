/**
 * How long a worker may be silent before a request that may be repeated is sought elsewhere.
 *
 * Load that it answers: a worker that hangs or falls mute. Its connection stays open, its health check may be good,
 * and no error ever comes; without a limit the caller waits until its deadline. With one that is too short, a burst
 * or a long prompt looks like a worker that hangs, and sending its requests elsewhere makes the burst worse.
 *
 * - A whole answer is sought elsewhere after two and a half times its target: one in a hundred takes that long by
 *   itself.
 * - A stream's first event after three times its target, or three times what it was expected to take: a prompt of
 *   60,000 tokens takes a second to read, and is read again from its beginning elsewhere.
 * - A stream that has begun only if its worker has sent nothing to anybody for 0.9 s: engines make tokens for all
 *   their requests in turn, so one stream alone is never silent for long. Callers give a stream up after two seconds
 *   or more.
 *
 * @module
 */

/** What is known of a try; times in milliseconds. */
export interface Wait {
  readonly isStream: boolean;
  /** Whether any event has come. */
  readonly hasBegun: boolean;
  /** Since anything came of this try. */
  readonly quietFor: number;
  /** Since the worker sent anything to this instance. */
  readonly workerQuietFor: number;
  /** The route's target. */
  readonly target: number;
  /** How long the first token was expected to take. */
  readonly expected: number;
}

const WHOLE_ANSWER_FACTOR = 2.5;
const STREAM_FACTOR = 3;
const EXPECTED_FACTOR = 3;
/** Shorter silences are the way there and back and a busy process. */
const MIN_SILENCE = 200;
const STREAM_SILENCE = 900;

/** Says whether the worker counts as silent. */
export function isSilent(wait: Wait): boolean {
  const { isStream, hasBegun, quietFor, workerQuietFor, target, expected } = wait;
  if (hasBegun) return quietFor > STREAM_SILENCE && workerQuietFor > STREAM_SILENCE;
  const targetFactor = isStream ? STREAM_FACTOR : WHOLE_ANSWER_FACTOR;
  return quietFor > Math.max(MIN_SILENCE, targetFactor * target, EXPECTED_FACTOR * expected);
}
