/**
 * Handles complete responses: each one ends the request, or the request is sent to another worker
 * because this one failed or refused it.
 *
 * @module
 */
import { BodyFraming } from "../interface/index.ts";
import type { HeaderNames, ResponseHead } from "../interface/index.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import { complete, continueReserve } from "./routed_end.ts";
import { handleBroken } from "./routed_failures.ts";
import { RepeatCause, retryElsewhere, retryOrElse } from "./routed_repeats.ts";
import { deliversEvents } from "./routed_request.ts";
import { endAttempt, logStep } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** An attempt whose response is complete. */
interface CompleteAttempt {
  readonly attempt: Attempt;
  readonly head: ResponseHead;
}

const SERVER_ERROR = 500;
const MISDIRECTED_REQUEST = 421;
const GATEWAY_TIMEOUT = 504;

/** Handles the complete response to the attempt in progress. */
export function handleCompletion(state: RoutedRunState, attempt: Attempt): void {
  const { head } = attempt;
  if (head === undefined) return;
  if (attempt.isStreaming) handleStream(state, { attempt, head });
  else if (state.response.hasStarted) handleRest(state, { attempt, head });
  else if (statesNotRun(head, state.context.names)) handleNotRun(state, { attempt, head });
  else handleAnswer(state, { attempt, head });
}

function handleStream(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response, suspects } = state;
  if (isBrokenOff(state, { attempt, head })) {
    handleBroken(state, { attempt, detail: "The stream ended early." });
    return;
  }
  endAttempt(state, RunResult.Answered);
  suspects.recordAnswer();
  if (attempt.firstEventAt === undefined) recordStart(state, attempt);
  if (!response.hasStarted) response.start(head);
  complete(state, { status: head.status, write: () => response.end() });
}

/**
 * Whether a stream ended early although its framing is complete. The end of the connection is the
 * end of a stream without a length, also if its worker broke it off.
 */
function isBrokenOff(
  { response, splitter }: RoutedRunState,
  { attempt, head }: CompleteAttempt,
): boolean {
  if (splitter.partialEvent.length > 0) return true;
  const hasBegun = attempt.firstEventAt !== undefined || response.hasStarted;
  return head.framing === BodyFraming.Connection && !hasBegun;
}

/** Handles the rest of a response whose beginning was forwarded. */
function handleRest(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response, admitted } = state;
  const body = Buffer.concat(attempt.chunks);
  endAttempt(state, RunResult.Answered);
  // A worker refused or failed to continue a stream of which the caller has the beginning.
  if (deliversEvents(admitted.arrival.route)) {
    handleRefusedContinuation(state, { attempt, head });
    return;
  }
  const write = (): void => {
    response.write(body);
    response.end();
  };
  complete(state, { status: head.status, write });
}

function handleRefusedContinuation(
  state: RoutedRunState,
  { attempt, head }: CompleteAttempt,
): void {
  if (head.byName.has(state.context.names.notRun)) state.progress.runs--;
  logStep(state, "not-continued", { worker: attempt.worker.id, status: head.status });
  retryElsewhere(state, RepeatCause.NotContinued);
}

function handleNotRun(
  state: RoutedRunState,
  { attempt: { worker }, head: { status } }: CompleteAttempt,
): void {
  state.progress.runs--;
  const isReplaced = status === MISDIRECTED_REQUEST;
  endAttempt(state, isReplaced ? RunResult.Replaced : RunResult.Refused);
  logStep(state, "not-run", { worker: worker.id, status });
  retryElsewhere(state, RepeatCause.RefusedByWorker);
}

function handleAnswer(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response, progress, suspects } = state;
  const body = Buffer.concat(attempt.chunks);
  recordStart(state, attempt);
  suspects.recordAnswer();
  progress.hasPossiblyRun = true;
  const isFailed = isFailure(head);
  endAttempt(state, isFailed ? RunResult.Error : RunResult.Answered);
  const send = (): void => {
    complete(state, { status: head.status, write: () => response.sendComplete(head, body) });
  };
  const cause = RepeatCause.WorkerError;
  // The worker that the request was to move away from may still answer it well.
  const stayOrSend = (): void => {
    if (!continueReserve(state, cause)) send();
  };
  if (isFailed) retryOrElse(state, { cause, fallback: stayOrSend });
  else send();
}

function recordStart({ context, admitted }: RoutedRunState, { startedAt }: Attempt): void {
  context.recordStart(admitted.arrival.account?.name, startedAt);
}

/** Whether the worker states that it hasn't run the request. */
function statesNotRun({ byName, status }: ResponseHead, { notRun }: HeaderNames): boolean {
  return byName.has(notRun) || status === MISDIRECTED_REQUEST;
}

/** Whether the worker failed for another reason than that the deadline passed. */
function isFailure({ status }: ResponseHead): boolean {
  return status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT;
}
