import { isWorkerSilent, silenceLimit } from "../decision/index.ts";
import type { AnswerExpectation } from "../decision/index.ts";
import type { ResponseHead, Exchange } from "../interface/index.ts";
import type { WorkerRun, CandidateWorker } from "./routed_context.ts";

/** One attempt to run a request at one worker. */
export interface Attempt {
  readonly worker: CandidateWorker;
  readonly run: WorkerRun;
  /** In the clock's milliseconds. */
  readonly startedAt: number;
  /** Expected time to the first token, in milliseconds. */
  readonly expectedWait: number;
  /** The HTTP exchange; undefined until the request is sent. */
  exchange: Exchange | undefined;
  /** The head of the response; undefined until it arrives. */
  head: ResponseHead | undefined;
  /** Buffered body of a response that is not streamed. */
  readonly chunks: Buffer[];
  /** Number of bytes in it. */
  bufferedBytes: number;
  /** Whether the response that isn't streamed is forwarded before its end. */
  isForwarded: boolean;
  /** Whether the response is forwarded to the caller as a stream of events. */
  isStreaming: boolean;
  /** Time of the last data from the worker, or of the last resume, in the clock's milliseconds. */
  lastReceivedAt: number;
  /** Whether the last check left the request here, because several workers were silent that may have stopped together. */
  wasMoveDeferred: boolean;
  /** When the first complete event arrived, in the clock's milliseconds; undefined until then. */
  firstEventAt: number | undefined;
  /** Whether reading from the worker is paused because the caller reads too slowly. */
  isPaused: boolean;
  /** When the last pause began, in the clock's milliseconds. */
  pausedAt: number;
  /** Milliseconds of all pauses that have ended. */
  pausedFor: number;
  /** Longest time between two pieces of events while they were read, in milliseconds. */
  longestSilence: number;
}

/** Creates an attempt. Its exchange is set when the request is sent. */
export function createAttempt(
  worker: CandidateWorker,
  { run, now: startedAt, wait }: { run: WorkerRun; now: number; wait: number },
): Attempt {
  return {
    worker,
    run,
    startedAt,
    expectedWait: wait,
    exchange: undefined,
    head: undefined,
    chunks: [],
    bufferedBytes: 0,
    isForwarded: false,
    isStreaming: false,
    lastReceivedAt: startedAt,
    wasMoveDeferred: false,
    firstEventAt: undefined,
    isPaused: false,
    pausedAt: startedAt,
    pausedFor: 0,
    longestSilence: 0,
  };
}

/** The properties of a route from which the expected time of its answers follows. */
export interface RouteTiming {
  /** Whether the route delivers a stream of events. */
  readonly isStream: boolean;
  /** Maximum time to the first event for which the answer is on time, in milliseconds. */
  readonly target: number;
}

/** Inputs for the check of an attempt. */
export interface AttemptCheck extends RouteTiming {
  /** Current time, in the clock's milliseconds. */
  readonly now: number;
  /** Time at which the worker last sent anything; undefined if it has sent nothing. */
  readonly workerLastReceivedAt: number | undefined;
}

/**
 * Whether the worker has sent nothing for so long that it counts as hung. Nothing is expected of a
 * worker while the caller reads too slowly.
 */
export function isHungAttempt(attempt: Attempt, check: AttemptCheck): boolean {
  const { now, workerLastReceivedAt = attempt.startedAt } = check;
  if (attempt.isPaused) return false;
  return isWorkerSilent({
    ...expectationOf(attempt, check),
    silentFor: now - attempt.lastReceivedAt,
    workerSilentFor: now - workerLastReceivedAt,
  });
}

/** Returns the milliseconds after which the worker of an attempt counts as silent. */
export function silenceLimitOf(attempt: Attempt, timing: RouteTiming): number {
  return silenceLimit(expectationOf(attempt, timing));
}

function expectationOf(
  { firstEventAt, expectedWait }: Attempt,
  { isStream, target }: RouteTiming,
): AnswerExpectation {
  const hasFirstEvent = firstEventAt !== undefined;
  return { isStream, hasFirstEvent, target, expectedFirstToken: expectedWait };
}
