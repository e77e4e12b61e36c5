import { afterRunningTime } from "../interface/index.ts";
import { recordDeadline } from "./answer_record.ts";
import { RoutedRefusal } from "./caller_response.ts";
import { RunResult } from "./routed_context.ts";
import type { DecisionFields } from "./routed_context.ts";
import {
  endAttempt,
  finishRun,
  logStep,
  releaseReserve,
  resumeReserve,
} from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** A refusal that ends a request. */
export interface RunRefusal {
  readonly reason: RoutedRefusal;
  /** Milliseconds after which the caller may retry. */
  readonly retryAfter?: number;
  /** The values that the decision was based on, for the log. */
  readonly inputs?: DecisionFields;
}

/** Milliseconds after the deadline for which the worker's own final response is awaited. */
const DEADLINE_GRACE = 100;
/**
 * Milliseconds after which a caller may retry if there was no worker: a part of the usual start-up
 * time of an ordered worker.
 */
export const NO_WORKER_RETRY_AFTER = 800;
/**
 * Milliseconds after which a caller may retry if workers were full: capacity is freed within some
 * hundred milliseconds.
 */
export const BUSY_RETRY_AFTER = 300;
/**
 * Milliseconds after which a caller may retry if the instance is stopping: other instances are
 * available at once.
 */
export const STOPPING_RETRY_AFTER = 50;

/**
 * Lets the request go on at the worker that it was to move away from, if that one still runs it.
 *
 * @param reason Why it ends at no other worker, for the log.
 * @returns Whether it goes on.
 */
export function continueReserve(state: RoutedRunState, reason: string): boolean {
  const kept = resumeReserve(state);
  if (kept === undefined) return false;
  logStep(state, "stays", { worker: kept.worker.id, reason });
  return true;
}

/**
 * Ends the request with a refusal, or closes the connection if a part of the answer was sent. If a worker that the
 * request was to move away from still runs it, the request goes on there instead.
 */
export function refuse(
  state: RoutedRunState,
  { reason, retryAfter, inputs = {} }: RunRefusal,
): void {
  const { context, response, progress } = state;
  if (continueReserve(state, reason)) return;
  finishRun(state);
  const after = Math.round(elapsedTime(state));
  const isCut = response.hasStarted;
  logStep(state, "refused", { reason, runs: progress.runs, after, retryAfter, isCut, ...inputs });
  if (response.isClosed) return;
  context.metrics.refused(reason);
  if (!isCut) {
    response.refuse(reason, retryAfter);
    return;
  }
  context.metrics.cut(reason);
  response.abort();
}

/**
 * Ends a request that is not sent to any further worker. If it has certainly not run, its quota is
 * refunded and it is refused with the reason; otherwise it ends as lost.
 */
export function giveUp(state: RoutedRunState, refusal: RunRefusal): void {
  if (state.progress.hasPossiblyRun) {
    refuse(state, { reason: RoutedRefusal.WorkerLost });
    return;
  }
  state.admitted.refundQuota();
  refuse(state, refusal);
}

/**
 * Ends the request with an answer.
 *
 * @param options `write` writes the answer or its end.
 */
export function complete(
  state: RoutedRunState,
  { status, write }: { readonly status: number; readonly write: () => void },
): void {
  const { context, admitted, response, progress } = state;
  finishRun(state);
  const elapsed = elapsedTime(state);
  context.metrics.answered(admitted.arrival.route.name, status, elapsed);
  const { runs, firstEventAfter: first } = progress;
  logStep(state, "answered", { status, runs, first, after: Math.round(elapsed) });
  if (!response.isClosed) write();
}

/**
 * Ends the request because the instance ends. Otherwise its caller would see its connection end without an answer, and
 * could not tell whether the request has run. If it has ended already, its caller
 * hasn't read all of the answer or hasn't closed its connection.
 */
export function endAtStop(state: RoutedRunState): void {
  if (state.isDone) {
    logStep(state, "unsent", { after: Math.round(elapsedTime(state)) });
    return;
  }
  const hasPossiblyRun = state.progress.hasPossiblyRun || state.progress.runs > 0;
  endAttempt(state, RunResult.Abandoned)?.abort();
  releaseReserve(state);
  if (hasPossiblyRun) refuse(state, { reason: RoutedRefusal.Stopped });
  else giveUp(state, { reason: RoutedRefusal.Stopping, retryAfter: STOPPING_RETRY_AFTER });
}

/** Stops whatever is running, because the caller has disconnected. */
export function abandon(state: RoutedRunState): void {
  if (state.isDone) return;
  finishRun(state);
  const after = Math.round(elapsedTime(state));
  logStep(state, "abandoned", { runs: state.progress.runs, after, sent: timeSinceSent(state) });
  endAttempt(state, RunResult.Abandoned)?.abort();
}

/** Ends the request when its deadline has passed, unless it ends before. */
export function watchDeadline(state: RoutedRunState): void {
  const { clock } = state.context;
  const timeLeft = state.admitted.arrival.deadlineAt - clock.now();
  state.deadlineTimer = clock.after(timeLeft, () => {
    // Running time, so that an answer that arrived during a stall of the process is read before.
    const end = (): void => endAtDeadline(state);
    state.deadlineTimer = afterRunningTime(clock, DEADLINE_GRACE, end, { steps: 1 });
  });
}

function endAtDeadline(state: RoutedRunState): void {
  if (state.isDone) return;
  recordDeadline(state);
  endAttempt(state, RunResult.Abandoned)?.abort();
  releaseReserve(state);
  refuse(state, { reason: RoutedRefusal.DeadlinePassed });
}

/** Returns the milliseconds since the request was written to its worker; undefined if it wasn't. */
function timeSinceSent({ context, current }: RoutedRunState): number | undefined {
  const sentAt = current?.exchange?.sentAt;
  return sentAt === undefined ? undefined : Math.round(context.clock.now() - sentAt);
}

function elapsedTime({ context, admitted }: RoutedRunState): number {
  return context.clock.now() - admitted.arrival.arrivedAt;
}
