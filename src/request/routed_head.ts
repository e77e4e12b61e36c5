/**
 * Decides from the head of a worker's response whether its body is for the caller.
 *
 * The caller gets one response. If a stream has moved, or was to move, the next worker may answer with something else than the
 * rest of that stream: it is full, fails, or begins another answer. None of it may reach the caller, whatever its size, and
 * the stream goes on without waiting for its end.
 *
 * @module
 */
import type { HeaderNames, ResponseHead } from "../interface/index.ts";
import { silenceLimitOf } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import { continueReserve } from "./routed_end.ts";
import { RepeatCause, retry, retryElsewhere, takeRepeat } from "./routed_repeats.ts";
import { deliversEvents } from "./routed_request.ts";
import { endAttempt, logStep } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { parseWorkerTolerance } from "./worker_statement.ts";

/** An attempt and the head of its response. */
interface ReceivedHead {
  readonly attempt: Attempt;
  readonly head: ResponseHead;
}

const SUCCESS = 200;
const REDIRECTION = 300;
const MISDIRECTED_REQUEST = 421;
const SERVER_ERROR = 500;
const GATEWAY_TIMEOUT = 504;
const EVENT_STREAM = "text/event-stream";

/** Handles the head of a worker's response. */
export function receiveHead(state: RoutedRunState, received: ReceivedHead): void {
  const { attempt, head } = received;
  const { context, response, admitted } = state;
  if (state.current !== attempt) return;
  recordSilence(state, attempt);
  attempt.lastReceivedAt = context.clock.now();
  attempt.head = head;
  attempt.run.recordResponse(parseWorkerTolerance(head, context.names));
  if (statesNotRun(head, context.names)) handleNotRun(state, received);
  else if (response.hasStarted) handleContinuation(state, received);
  else if (!deliversEvents(admitted.arrival.route) || !isSuccess(head))
    handleAnswer(state, received);
  else if (isEventStream(head)) attempt.isStreaming = true;
  else handleOtherContent(state, received);
}

/** Whether the worker failed for another reason than that the deadline passed. */
export function isFailure({ status }: ResponseHead): boolean {
  return status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT;
}

/** Records how long the worker has stood still, so that it doesn't count as the usual time of a run. */
function recordSilence(state: RoutedRunState, attempt: Attempt): void {
  const { context, admitted, reserve } = state;
  const { route } = admitted.arrival;
  const options = { isStream: deliversEvents(route), target: route.latencyTarget };
  const now = context.clock.now();
  const silence = now - attempt.lastReceivedAt;
  const excess = silence - silenceLimitOf(attempt, options);
  if (excess <= 0) return;
  attempt.run.recordSilence(excess);
  if (reserve === undefined) return;
  // The worker that the request moved to was about as silent as the one before it.
  const isSilenceShared = 2 * silence >= now - reserve.attempt.lastReceivedAt;
  state.reserve = { ...reserve, isSilenceShared };
}

/** Sends the request to another worker, because this one states that it hasn't run it. */
function handleNotRun(
  state: RoutedRunState,
  { attempt: { worker }, head: { status } }: ReceivedHead,
): void {
  state.progress.runs--;
  const isReplaced = status === MISDIRECTED_REQUEST;
  endAttempt(state, isReplaced ? RunResult.Replaced : RunResult.Refused)?.discard();
  logStep(state, "not-run", { worker: worker.id, status });
  retryElsewhere(state, RepeatCause.RefusedByWorker);
}

/** Handles the response of a worker that was to continue a stream of which the caller has the beginning. */
function handleContinuation(state: RoutedRunState, { attempt, head }: ReceivedHead): void {
  if (head.status === state.streamHead?.status && isEventStream(head)) {
    attempt.isStreaming = true;
    return;
  }
  endAttempt(state, isFailure(head) ? RunResult.Error : RunResult.Answered)?.discard();
  logStep(state, "not-continued", { worker: attempt.worker.id, status: head.status });
  retryElsewhere(state, RepeatCause.NotContinued);
}

/**
 * Leaves a worker that failed if the request can go to another one, or goes on at the one that it was to move away from.
 * Otherwise the failure is the answer, and its body follows.
 */
function handleAnswer(state: RoutedRunState, { attempt, head }: ReceivedHead): void {
  const { context, admitted, progress, reserve, suspects } = state;
  const isFailed = isFailure(head);
  const isInsteadOfStream = deliversEvents(admitted.arrival.route) && reserve !== undefined;
  if (!isFailed && !isInsteadOfStream) return;
  const isMoving = isFailed && takeRepeat(state, RepeatCause.WorkerError);
  if (!isMoving && reserve === undefined) return;
  context.recordStart(admitted.arrival.account?.name, attempt.startedAt);
  suspects.recordAnswer();
  progress.hasPossiblyRun = true;
  endAttempt(state, isFailed ? RunResult.Error : RunResult.Answered)?.discard();
  if (isMoving) state.tryNext();
  else continueReserve(state, RepeatCause.WorkerError);
}

/** Leaves a worker whose successful response isn't the stream of events that it should be. */
function handleOtherContent(state: RoutedRunState, { attempt, head }: ReceivedHead): void {
  logStep(state, "no-events", { worker: attempt.worker.id, content: mediaType(head) });
  retry(state, RepeatCause.WorkerGarbled);
}

/** Whether the worker states that it hasn't run the request. */
function statesNotRun({ byName, status }: ResponseHead, { notRun }: HeaderNames): boolean {
  return byName.has(notRun) || status === MISDIRECTED_REQUEST;
}

/** Whether a response is a success. */
export function isSuccess({ status }: ResponseHead): boolean {
  return status >= SUCCESS && status < REDIRECTION;
}

/** Whether the content may be a stream of events; a worker need not state its type. */
function isEventStream(head: ResponseHead): boolean {
  const type = mediaType(head);
  return type === undefined || type === EVENT_STREAM;
}

/** Returns the content type without its parameters, in lower case. */
function mediaType({ byName }: ResponseHead): string | undefined {
  return byName.get("content-type")?.split(";", 1)[0]?.trim().toLowerCase();
}
