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
 * Workers that stand still together, such as those of a machine or a service that is paused, look
 * like hanging ones too. A request that moves between them takes a place at each, and soon all
 * places seem taken. So a request moves only to workers that aren't silent, and it stays if several
 * are and the next answer to this instance will show whether all are.
 *
 * @module
 */
import type { WorkerActivity } from "../interface/index.ts";

/** What is expected next of the worker of an attempt; times are in milliseconds. */
export interface AnswerExpectation {
  /** Whether the answer is streamed. */
  readonly isStream: boolean;
  /** Whether any event has been received. */
  readonly hasFirstEvent: boolean;
  /** The latency target of the route. */
  readonly target: number;
  /** The expected time to the first token. */
  readonly expectedFirstToken: number;
}

/** The progress of an attempt; times are in milliseconds. */
export interface AttemptProgress extends AnswerExpectation {
  /** Time since data of this attempt was received. */
  readonly silentFor: number;
  /** Time since the worker sent anything to this instance. */
  readonly workerSilentFor: number;
}

/** A worker of the service of a request that waits for a silent worker. */
export interface OtherWorker {
  readonly id: string;
  /** What this instance has exchanged with it lately. */
  readonly activity: WorkerActivity | undefined;
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
  const { hasFirstEvent, silentFor, workerSilentFor } = wait;
  const limit = silenceLimit(wait);
  return silentFor > limit && (!hasFirstEvent || workerSilentFor > limit);
}

/** Returns the milliseconds after which a worker counts as silent. */
export function silenceLimit({
  isStream,
  hasFirstEvent,
  target,
  expectedFirstToken,
}: AnswerExpectation): number {
  if (hasFirstEvent) return STREAM_SILENCE;
  const targetFactor = isStream ? STREAM_FACTOR : WHOLE_ANSWER_FACTOR;
  return Math.max(MIN_SILENCE, targetFactor * target, EXPECTED_FACTOR * expectedFirstToken);
}

/**
 * Returns the workers that a request must not move to as it leaves a silent one, because they have sent nothing in
 * the second half of its silence, either.
 *
 * @param workers All workers of the service, its own included.
 * @param options `silentSince` is when its own worker last sent any of its answer, `limit` the milliseconds after which
 * a worker counts as silent.
 * @returns Their ids; undefined if several workers are silent, none has answered since, and one was asked so recently
 * that its answer will show whether they all are.
 */
export function findSilentWorkers(
  workers: readonly OtherWorker[],
  options: { readonly silentSince: number; readonly now: number; readonly limit: number },
): ReadonlySet<string> | undefined {
  const { silentSince, now, limit } = options;
  // Workers that stop together have not all sent their last data at the same moment.
  const answeredAfter = silentSince + (now - silentSince) / 2;
  const hasAnswered = ({ activity }: OtherWorker): boolean =>
    (activity?.lastReceivedAt ?? -Infinity) > answeredAfter;
  const hasPendingResponse = ({ activity }: OtherWorker): boolean =>
    activity?.hasPendingResponse ?? false;
  const wasJustAsked = ({ activity }: OtherWorker): boolean =>
    now - (activity?.lastSentAt ?? -Infinity) < limit;
  const unanswered = workers.filter((worker) => hasPendingResponse(worker) && !hasAnswered(worker));
  const justAsked = unanswered.filter(wasJustAsked);
  const silentCount = unanswered.length - justAsked.length;
  if (silentCount > 1 && justAsked.length > 0 && !workers.some(hasAnswered)) return undefined;
  return new Set(unanswered.map(({ id }) => id));
}
