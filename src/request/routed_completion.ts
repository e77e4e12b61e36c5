/**
 * Handles complete responses: each one ends the request, unless it is a stream that was broken off.
 *
 * @module
 */
import { BodyFraming } from "../interface/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import { recordAnswerTime } from "./answer_record.ts";
import { RoutedRefusal } from "./caller_response.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import { complete, refuse } from "./routed_end.ts";
import { handleBroken } from "./routed_failures.ts";
import { isFailure, isSuccess } from "./routed_head.ts";
import { RepeatCause, takeRepeat } from "./routed_repeats.ts";
import { endAttempt, logStep } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** An attempt whose response is complete. */
interface CompleteAttempt {
  readonly attempt: Attempt;
  readonly head: ResponseHead;
}

/** Handles the complete response to the attempt in progress. */
export function handleCompletion(state: RoutedRunState, attempt: Attempt): void {
  const { head } = attempt;
  if (head === undefined) return;
  if (attempt.isStreaming) handleStream(state, { attempt, head });
  else if (attempt.isForwarded) handleRest(state, { attempt, head });
  else handleAnswer(state, { attempt, head });
}

function handleStream(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response, suspects } = state;
  if (isBrokenOff(state, { attempt, head })) {
    handleBroken(state, { attempt, detail: "The stream ended early." });
    return;
  }
  if (attempt.firstEventAt === undefined && leaveEmptyStream(state, attempt)) return;
  endAttempt(state, RunResult.Answered);
  if (isSuccess(head)) recordAnswerTime(state, attempt);
  suspects.recordAnswer();
  if (attempt.firstEventAt === undefined) recordStart(state, attempt);
  if (!response.hasStarted) response.start(head);
  complete(state, { status: head.status, write: () => response.end() });
}

/**
 * Leaves a worker that ended a stream without any event, although its beginning came from another one. That may be the end
 * of the stream or a fault, so another worker is asked, if that is possible. With a part of an event it is a fault.
 */
function leaveEmptyStream(state: RoutedRunState, { worker }: Attempt): boolean {
  const { response, progress, reserve } = state;
  if (reserve === undefined && !response.hasStarted) return false;
  const isFault = progress.hasPartialEvent;
  const isMoving = reserve === undefined && takeRepeat(state, RepeatCause.NotContinued);
  if (reserve === undefined && !isMoving && !isFault) return false;
  endAttempt(state, isFault ? RunResult.Failed : RunResult.Answered);
  logStep(state, "not-continued", { worker: worker.id, isFault });
  if (isMoving) state.tryNext();
  else refuse(state, { reason: RoutedRefusal.WorkerLost });
  return true;
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

/**
 * Returns what is held of a complete response and forgets it. The run may last until the caller has read its response, and
 * would hold it a second time.
 */
function takeBody({ response }: RoutedRunState, attempt: Attempt): Buffer {
  const body = Buffer.concat(attempt.chunks.splice(0));
  attempt.bufferedBytes = 0;
  response.received.hold(0);
  return body;
}

/** Handles the rest of a response whose beginning was forwarded. */
function handleRest(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response } = state;
  const body = takeBody(state, attempt);
  endAttempt(state, resultOf(head));
  if (isSuccess(head)) recordAnswerTime(state, attempt);
  const write = (): void => {
    response.write(body);
    response.end();
  };
  complete(state, { status: head.status, write });
}

function handleAnswer(state: RoutedRunState, { attempt, head }: CompleteAttempt): void {
  const { response, progress, suspects } = state;
  const body = takeBody(state, attempt);
  recordStart(state, attempt);
  suspects.recordAnswer();
  progress.hasPossiblyRun = true;
  endAttempt(state, resultOf(head));
  if (isSuccess(head)) recordAnswerTime(state, attempt);
  complete(state, { status: head.status, write: () => response.sendComplete(head, body) });
}

function resultOf(head: ResponseHead): RunResult {
  return isFailure(head) ? RunResult.Error : RunResult.Answered;
}

function recordStart({ context, admitted }: RoutedRunState, { startedAt }: Attempt): void {
  context.recordStart(admitted.arrival.account?.name, startedAt);
}
