import { isSilent } from "../decision/index.ts";
import type { AnswerHead, Exchange } from "../interface/index.ts";
import type { BoardRun, BoardWorker } from "./routed_context.ts";

/** One try at one worker. */
export interface Attempt {
  readonly worker: BoardWorker;
  readonly run: BoardRun;
  readonly startedAt: number;
  /** How long its first token was expected to take. */
  readonly wait: number;
  exchange: Exchange | undefined;
  head: AnswerHead | undefined;
  readonly chunks: Buffer[];
  size: number;
  /** Bytes of it have gone to the caller already. */
  streaming: boolean;
  heardAt: number;
  hasEvent: boolean;
  /** The caller is slow, and nothing is read from the worker until it has caught up. */
  isPaused: boolean;
}

/** Begins a try; its exchange is set when the request is sent. */
export function beginAttempt(
  worker: BoardWorker,
  { run, now, wait }: { run: BoardRun; now: number; wait: number },
): Attempt {
  return {
    worker,
    run,
    startedAt: now,
    wait,
    exchange: undefined,
    head: undefined,
    chunks: [],
    size: 0,
    streaming: false,
    heardAt: now,
    hasEvent: false,
    isPaused: false,
  };
}

/** What a look at a try goes by. */
export interface AttemptMoment {
  /** In the clock's milliseconds. */
  readonly now: number;
  /** When anything came from the worker; undefined where nothing did. */
  readonly heardAt: number | undefined;
  readonly isStream: boolean;
  /** Longest time to the first event for which the answer is in time, in milliseconds. */
  readonly target: number;
}

/** Whether the worker has been silent for so long that it hangs; while the caller is slow, nothing is expected of it. */
export function isSilentAttempt(
  { isPaused, hasEvent, heardAt, startedAt, wait }: Attempt,
  { now, heardAt: workerHeardAt = startedAt, isStream, target }: AttemptMoment,
): boolean {
  if (isPaused) return false;
  return isSilent({
    isStream,
    hasBegun: hasEvent,
    quietFor: now - heardAt,
    workerQuietFor: now - workerHeardAt,
    target,
    expected: wait,
  });
}
