/**
 * Decides what to do after an attempt without a complete response.
 *
 * @module
 */
import { findSilentWorkers } from "../decision/index.ts";
import { DialFailure } from "../interface/index.ts";
import type { ExchangeEnd } from "../interface/index.ts";
import { RoutedRefusal } from "./caller_response.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import { giveUp, NO_WORKER_RETRY_AFTER } from "./routed_end.ts";
import { NO_WORKERS, recordNoPath } from "./routed_progress.ts";
import { canMove, hasOtherWorker, moveElsewhere, RepeatCause, retry } from "./routed_repeats.ts";
import { countUnanswered, endAttempt, logStep, swapReserve } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** The end of an exchange without a complete response. */
type ExchangeFailure = Exclude<ExchangeEnd, { readonly kind: "complete" }>;

/** Maximum number of times that a request is sent again because no path to the workers was found. */
const MAX_LOST_PATHS = 3;
/** Milliseconds until it is sent again; another path is usually found within a round trip or two. */
const LOST_PATH_DELAY = 30;
/** What a connection that could not be opened says about the worker. */
const RESULT_OF_FAILURE: Readonly<Record<DialFailure, RunResult>> = {
  [DialFailure.Refused]: RunResult.Unreachable,
  [DialFailure.Unanswered]: RunResult.Failed,
  [DialFailure.NoPath]: RunResult.Abandoned,
};

/** Handles an exchange of the attempt in progress that ended without a complete response. */
export function handleFailure(
  state: RoutedRunState,
  { attempt, failure }: { readonly attempt: Attempt; readonly failure: ExchangeFailure },
): void {
  if (failure.kind === "broken") {
    handleBroken(state, { attempt, ...failure });
    return;
  }
  const { detail } = failure;
  const { id: worker } = attempt.worker;
  logStep(state, "not-sent", { worker, detail });
  if (failure.kind === "replaced") handleReplaced(state);
  else handleNotSent(state, { worker, cause: failure.cause });
}

/** Handles a response that is missing or incomplete. */
export function handleBroken(
  state: RoutedRunState,
  {
    attempt,
    detail,
    isRelayFault = false,
  }: { readonly attempt: Attempt; readonly detail: string; readonly isRelayFault?: boolean },
): void {
  logStep(state, "broken", {
    worker: attempt.worker.id,
    detail,
    framing: attempt.head?.framing,
    hasEvent: attempt.firstEventAt !== undefined,
  });
  state.progress.hasPossiblyRun = true;
  if (isRelayFault) endAttempt(state, RunResult.Abandoned);
  else state.suspects.reportBrokenConnection(attempt);
  countUnanswered(state, attempt);
  retry(state, RepeatCause.WorkerLost);
}

/**
 * Moves the request away from a worker that hangs, if it may move and there is another one. If it has moved before, it
 * goes back to the worker that was kept.
 *
 * @param options `limit` is the time after which the worker counts as silent, in milliseconds.
 * @returns Whether the request has moved.
 */
export function handleSilence(
  state: RoutedRunState,
  { attempt, limit }: { readonly attempt: Attempt; readonly limit: number },
): boolean {
  const { progress } = state;
  const silent = findSilent(state, { attempt, limit });
  const wasShared = attempt.wasMoveDeferred;
  attempt.wasMoveDeferred = silent === undefined;
  // After the first answer of another worker, its own has until the next check. Otherwise all requests would move as
  // soon as one of the workers goes on.
  if (silent === undefined || wasShared) return false;
  progress.avoided = silent;
  // With no other worker, one that has yet to answer is better than one that hangs: its request may be a long one.
  if (!hasOtherWorker(state)) progress.avoided = NO_WORKERS;
  const isMoving = canMove(state);
  if (isMoving) {
    const { id: worker } = attempt.worker;
    logStep(state, "silent", { worker, others: silent.size - (silent.has(worker) ? 1 : 0) });
    moveElsewhere(state, { result: RunResult.Failed, cause: RepeatCause.WorkerSilent });
  }
  progress.avoided = NO_WORKERS;
  return isMoving || swapReserve(state);
}

function findSilent(
  { context: { clock, connections, workerLoads }, admitted }: RoutedRunState,
  { attempt, limit }: { readonly attempt: Attempt; readonly limit: number },
): ReadonlySet<string> | undefined {
  const { lastReceivedAt: silentSince } = attempt;
  const workers = workerLoads
    .candidates(admitted.service)
    .map(({ id }) => ({ id, activity: connections.activity(id) }));
  return findSilentWorkers(workers, { silentSince, now: clock.now(), limit });
}

/** Tries another worker. Nothing has reached the first one, so this is not a repeat. */
function handleNotSent(
  state: RoutedRunState,
  { worker, cause }: { readonly worker: string; readonly cause: DialFailure },
): void {
  const { context, progress } = state;
  progress.runs--;
  endAttempt(state, RESULT_OF_FAILURE[cause]);
  context.metrics.repeated(RepeatCause.NotSent);
  if (cause === DialFailure.NoPath) recordNoPath(progress, worker);
  if (progress.lostPaths > MAX_LOST_PATHS)
    giveUp(state, { reason: RoutedRefusal.NoWorker, retryAfter: NO_WORKER_RETRY_AFTER });
  else if (cause === DialFailure.NoPath)
    state.pathTimer = context.clock.after(LOST_PATH_DELAY, state.tryNext);
  else state.tryNext();
}

/** Tries another worker: another process has the id of this one. */
function handleReplaced(state: RoutedRunState): void {
  state.progress.runs--;
  endAttempt(state, RunResult.Replaced);
  state.context.metrics.repeated(RepeatCause.Replaced);
  state.tryNext();
}
