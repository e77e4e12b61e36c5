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
