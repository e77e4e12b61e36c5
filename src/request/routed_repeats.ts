/**
 * Sends a request to another worker after a failure, if that is allowed. The number of sends is
 * limited for each request by its route, and for all requests of a service by the repeat budget.
 *
 * @module
 */
import { RoutedRefusal } from "./caller_response.ts";
import { isEligible } from "./placement_request.ts";
import { RunResult } from "./routed_context.ts";
import { BUSY_RETRY_AFTER, giveUp, refuse } from "./routed_end.ts";
import { isRepeatable } from "./routed_request.ts";
import { endAttempt, logStep, reserveAttempt } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Why a request is sent to another worker. */
export enum RepeatCause {
  /** No byte of it was sent to the worker. */
  NotSent = "not-sent",
  /** Another process has the id of the worker. */
  Replaced = "replaced",
  /** The worker stated that it hasn't run the request. */
  RefusedByWorker = "refused-by-worker",
  /** The worker doesn't continue a stream of which the caller has the beginning. */
  NotContinued = "not-continued",
  /** The worker answered with an internal error. */
  WorkerError = "worker-error",
  /** The response is missing or incomplete. */
  WorkerLost = "worker-lost",
  /** The response isn't the stream of events that it should be. */
  WorkerGarbled = "worker-garbled",
  /** The worker hangs. */
  WorkerSilent = "worker-silent",
  /** The worker is about to leave. */
  WorkerLeaving = "worker-leaving",
}

/** Whether the request may be sent again although it may have run. */
export function canRepeat(state: RoutedRunState): boolean {
  const { route } = state.admitted.arrival;
  return isRepeatable(route) && state.progress.runs < route.maxAttempts && canContinue(state);
}

/** Whether the request may be sent again and there is another worker for it. */
export function canMove(state: RoutedRunState): boolean {
  return canRepeat(state) && hasOtherWorker(state);
}

/** Aborts an attempt that failed after it may have run, and repeats the request if that is allowed. */
export function retry(state: RoutedRunState, cause: RepeatCause): void {
  state.progress.hasPossiblyRun = true;
  endAttempt(state, RunResult.Failed)?.abort();
  if (canRepeat(state)) retryElsewhere(state, cause);
  else refuse(state, { reason: RoutedRefusal.WorkerLost });
}

/**
 * Moves the request to another worker although its own may still answer. Until another one has answered, its own keeps
 * it. Requires {@linkcode canMove}.
 */
export function moveElsewhere(
  state: RoutedRunState,
  { result, cause }: { readonly result: RunResult; readonly cause: RepeatCause },
): void {
  state.progress.hasPossiblyRun = true;
  reserveAttempt(state, result);
  retryElsewhere(state, cause);
}

/** Moves the request to another worker because its own is about to leave. */
export function leaveWorker(state: RoutedRunState): void {
  if (!canMove(state)) return;
  logStep(state, "leaving", { worker: state.current?.worker.id });
  moveElsewhere(state, { result: RunResult.Abandoned, cause: RepeatCause.WorkerLeaving });
}

/** Sends the request to another worker after the attempt was refused or aborted. */
export function retryElsewhere(state: RoutedRunState, cause: RepeatCause): void {
  const { context, admitted, progress } = state;
  endAttempt(state, RunResult.Failed);
  if (progress.runs >= admitted.arrival.route.maxAttempts || !takeFromBudget(state)) {
    giveUp(state, { reason: RoutedRefusal.Refused, retryAfter: BUSY_RETRY_AFTER });
    return;
  }
  context.metrics.repeated(cause);
  state.tryNext();
}

/**
 * Takes a repeat from the budget if the request may be sent again and there is another worker for it.
 *
 * @returns Whether it may be sent there now.
 */
export function takeRepeat(state: RoutedRunState, cause: RepeatCause): boolean {
  if (!canMove(state) || !takeFromBudget(state)) return false;
  state.context.metrics.repeated(cause);
  return true;
}

/** Whether nothing was sent to the caller, or a worker can continue after what was. */
function canContinue({ response, splitter }: RoutedRunState): boolean {
  return !response.hasStarted || splitter.lastId !== undefined;
}

/** Whether there is a worker that may get the request besides those that were tried. */
export function hasOtherWorker({ context, admitted, progress }: RoutedRunState): boolean {
  const candidates = context.workerLoads.candidates(admitted.service);
  return candidates.some((worker) => isEligible(worker, progress));
}

function takeFromBudget({ context, admitted }: RoutedRunState): boolean {
  return context.repeats.take(admitted.service.name, context.clock.now());
}
