import { isSilent } from "../decision/index.ts";
import type { AnswerHead, Exchange } from "../interface/index.ts";
import type { BoardRun, BoardWorker } from "./routed_context.ts";

/** One attempt to run a request at one worker. */
export interface Attempt {
  readonly worker: BoardWorker;
  readonly run: BoardRun;
  readonly startedAt: number;
  /** Expected time to the first token, in milliseconds. */
  readonly expectedWait: number;
  exchange: Exchange | undefined;
  head: AnswerHead | undefined;
  readonly chunks: Buffer[];
  size: number;
  /** Whether the response is forwarded to the caller as a stream of events. */
  isStreaming: boolean;
  lastReceivedAt: number;
  hasEvent: boolean;
  /** Whether reading from the worker is paused because the caller reads too slowly. */
  isPaused: boolean;
}

/** Creates an attempt. Its exchange is set when the request is sent. */
export function createAttempt(
  worker: BoardWorker,
  { run, now, wait }: { run: BoardRun; now: number; wait: number },
): Attempt {
  return {
    worker,
    run,
    startedAt: now,
    expectedWait: wait,
    exchange: undefined,
    head: undefined,
    chunks: [],
    size: 0,
    isStreaming: false,
    lastReceivedAt: now,
    hasEvent: false,
    isPaused: false,
  };
}

/** Inputs for the check of an attempt. */
export interface AttemptCheck {
  /** Current time, in the clock's milliseconds. */
  readonly now: number;
  /** Time at which the worker last sent anything; undefined if it has sent nothing. */
  readonly workerLastReceivedAt: number | undefined;
  readonly isStream: boolean;
  /** Maximum time to the first event for which the answer is on time, in milliseconds. */
  readonly target: number;
}

/**
 * Whether the worker has sent nothing for so long that it counts as hung. Nothing is expected of a
 * worker while the caller reads too slowly.
 */
export function isHungAttempt(
  { isPaused, hasEvent, lastReceivedAt, startedAt, expectedWait }: Attempt,
  { now, workerLastReceivedAt = startedAt, isStream, target }: AttemptCheck,
): boolean {
  if (isPaused) return false;
  return isSilent({
    isStream,
    hasBegun: hasEvent,
    quietFor: now - lastReceivedAt,
    workerQuietFor: now - workerLastReceivedAt,
    target,
    expected: expectedWait,
  });
}
