import type { Job } from "../../decision/index.ts";
import { RetryCause } from "../../interface/index.ts";
import type { GroupMeasurements } from "./measurements.ts";
import type { TraceArrival } from "./trace.ts";

/** The state of a request of the trace in an entry instance. */
export interface TrackedRequest {
  readonly arrival: TraceArrival;
  readonly group: GroupMeasurements;
  /** The job that the scheduler uses, with the number of tokens that the caller has. */
  job: Job;
  /** Tokens that the caller has received. */
  deliveredTokens: number;
  /** Milliseconds from the arrival to the first token; 0 before it. */
  firstTokenTime: number;
  /** Time at which the caller received the last token. */
  lastTokenAt: number;
  /** Prompt and answer tokens that at least one engine has computed. */
  computedTokens: number;
  /** Tokens of KV cache that the next run imports. */
  importedTokens: number;
  /** Cause of the next run, if it isn't the first. */
  retryCause: RetryCause;
  /** Number of runs so far. */
  attempts: number;
  /** Runs in progress, by worker. */
  readonly runs: Map<string, Run>;
  /** Workers on which the request failed or from which it was moved. */
  readonly avoidedWorkers: Set<string>;
  hasEnded: boolean;
}

/** One run of a request on one worker. */
export interface Run {
  /** Id of the run in the worker's engine. */
  readonly id: string;
  readonly request: TrackedRequest;
  /** Number of the run within the request, starting at 1. */
  readonly attempt: number;
  readonly worker: string;
  readonly dispatchedAt: number;
  readonly cause: RetryCause;
  /** Whether the worker has received the request. From then on it may have run. */
  isDelivered: boolean;
  /** Number of times that the engine has started the run; more than 1 after a preemption. */
  startCount: number;
  firstTokenAt: number | undefined;
  /** Tokens that this run has produced. */
  tokenCount: number;
  lastTokenAt: number;
  hasEnded: boolean;
}

/** Creates the state of an admitted request. */
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

/** Creates another run of a request. */
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
