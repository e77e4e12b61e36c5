import type { Job } from "../../decision/index.ts";
import { RetryCause } from "../../interface/index.ts";
import type { GroupMeasurements } from "./measurements.ts";
import type { TraceArrival } from "./trace.ts";

/** A request of a trace on its way through an entry instance. */
export interface TrackedRequest {
  readonly arrival: TraceArrival;
  readonly group: GroupMeasurements;
  /** As the scheduler knows it, with the tokens that the caller has. */
  job: Job;
  /** Tokens that the caller has. */
  deliveredTokens: number;
  /** Milliseconds from the arrival to the first token; 0 before. */
  firstTokenTime: number;
  /** When the caller got the last token. */
  lastTokenAt: number;
  /** Prompt and answer tokens that some engine has computed for it. */
  computedTokens: number;
  /** Tokens of KV cache that the next run starts from. */
  importedTokens: number;
  /** Why the next run is another one. */
  retryCause: RetryCause;
  /** Runs so far. */
  attempts: number;
  /** Runs in progress, by worker. */
  readonly runs: Map<string, Run>;
  /** Workers that have failed it. */
  readonly avoidedWorkers: Set<string>;
  hasEnded: boolean;
}

/** One attempt at a request, on one worker. */
export interface Run {
  /** What the worker's engine knows it by. */
  readonly id: string;
  readonly request: TrackedRequest;
  /** Which of the request's runs it is, counted from 1. */
  readonly attempt: number;
  readonly worker: string;
  readonly dispatchedAt: number;
  readonly cause: RetryCause;
  /** The worker has it: from here on it may have run. */
  isDelivered: boolean;
  /** Times that the engine has begun it, more than one after preemption. */
  startCount: number;
  firstTokenAt: number | undefined;
  tokenCount: number;
  lastTokenAt: number;
  hasEnded: boolean;
}

/** Begins to track an admitted request. */
export function trackRequest(
  job: Job,
  { arrival, group }: { arrival: TraceArrival; group: GroupMeasurements },
): TrackedRequest {
  return {
    arrival,
    group,
    job,
    deliveredTokens: 0,
    firstTokenTime: 0,
    lastTokenAt: 0,
    computedTokens: 0,
    importedTokens: 0,
    retryCause: RetryCause.WorkerLost,
    attempts: 0,
    runs: new Map(),
    avoidedWorkers: new Set(),
    hasEnded: false,
  };
}

/** Begins another run of a request. */
export function createRun(
  request: TrackedRequest,
  { worker, now, cause }: { worker: string; now: number; cause: RetryCause },
): Run {
  request.attempts++;
  const run: Run = {
    id: `${request.job.id}#${request.attempts}`,
    request,
    attempt: request.attempts,
    worker,
    dispatchedAt: now,
    cause,
    isDelivered: false,
    startCount: 0,
    firstTokenAt: undefined,
    tokenCount: 0,
    lastTokenAt: now,
    hasEnded: false,
  };
  request.runs.set(worker, run);
  return run;
}
