/**
 * Decides whether a stopping instance accepts a request.
 *
 * @module
 */
import type { AnswerOrigin, RankedChoice } from "../decision/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { CandidateWorker, DecisionFields } from "./routed_context.ts";
import { isSuccess } from "./routed_head.ts";
import { deliversEvents } from "./routed_request.ts";
import type { AdmittedRequest } from "./routed_request.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Minimum ratio of the number of the last event to that of the first one. */
const MIN_SPAN = 8;

/** Maximum part of an answer's duration in which its caller read too slowly, if the duration is that of the worker. */
const MAX_PAUSE = 1 / 20;
/** The same for the longest time between two events, unless it is shorter than a standstill, in milliseconds. */
const MAX_SILENCE = 1 / 4;
const MIN_STANDSTILL = 1_000;

/** Why a request isn't sent to a worker by a stopping instance; times are in milliseconds. */
interface StopConflict extends DecisionFields {
  /** Expected time until the end of the answer. */
  readonly expected: number;
  /** Time until the instance ends all answers. */
  readonly left: number;
}

/**
 * Finds out whether the stop of the instance would cut the answer to a request that was not sent yet. Another
 * instance can serve it whole.
 *
 * @returns Undefined if the answer is expected to end in time or the instance isn't stopping.
 */
export function findStopConflict(
  { context, admitted, progress, reserve, response }: RoutedRunState,
  choice: RankedChoice<CandidateWorker>,
): StopConflict | undefined {
  const endAt = context.answersEndAt();
  if (endAt === undefined) return undefined;
  if (progress.hasPossiblyRun || reserve !== undefined || response.hasStarted) return undefined;
  const { arrival } = admitted;
  const now = context.clock.now();
  if (arrival.deadlineAt <= endAt) return undefined;
  const rest = expectedRest({ context, admitted });
  const expected = rest === undefined ? arrival.deadlineAt - now : choice.wait + rest;
  if (now + expected <= endAt) return undefined;
  return { expected: Math.round(expected), left: Math.round(endAt - now) };
}

/** Returns the milliseconds that the answer takes beyond the wait for its first token; undefined if nothing is known. */
function expectedRest({
  context,
  admitted,
}: Pick<RoutedRunState, "context" | "admitted">): number | undefined {
  const { arrival, service } = admitted;
  const { outputTokens, resumption, route } = arrival;
  const lastEvent = eventNumber(resumption?.lastEventId);
  const known = context.answerTimes.expected(originOf(admitted), { outputTokens, lastEvent });
  if (known !== undefined) return known;
  // Calls of plain services are short. A stream of which nothing is known may take until its deadline, and its caller
  // loses less by a refusal than by a cut.
  const isShort = service.engine === undefined && !deliversEvents(route);
  return isShort ? context.workerLoads.timing(service).runTime : undefined;
}

/** Records how long an answer took, for later estimates. */
export function recordAnswerTime(
  state: RoutedRunState,
  { attempt, head }: { readonly attempt: Attempt; readonly head: ResponseHead },
): void {
  const { context, admitted, splitter } = state;
  const { arrival } = admitted;
  if (!isSuccess(head) || arrival.resumption !== undefined) return;
  const duration = context.clock.now() - beginOf(state, attempt);
  if (wasHeldUp(attempt, duration)) return;
  context.answerTimes.record(originOf(admitted), {
    outputTokens: arrival.outputTokens,
    lastEvent: eventCount(splitter),
    duration,
  });
}

/** Whether the duration of an answer says little about the worker, since its caller was slow or it stood still once. */
function wasHeldUp({ pausedFor, longestSilence }: Attempt, duration: number): boolean {
  const hasStoodStill = longestSilence >= MIN_STANDSTILL && longestSilence > duration * MAX_SILENCE;
  return hasStoodStill || pausedFor > duration * MAX_PAUSE;
}

/**
 * Returns the time at which the first token of an answer was expected, in the clock's milliseconds; that of its first
 * event if another worker has sent its beginning.
 */
function beginOf({ admitted, progress }: RoutedRunState, attempt: Attempt): number {
  const { startedAt, expectedWait, exchange } = attempt;
  const firstEventAt = admitted.arrival.arrivedAt + (progress.firstEventAfter ?? Infinity);
  if (firstEventAt < startedAt) return firstEventAt;
  // Later requests find open connections, so the time to open one would only make answers look longer.
  return (exchange?.sentAt ?? startedAt) + expectedWait;
}

function originOf({ arrival, service }: AdmittedRequest): AnswerOrigin {
  return { route: arrival.route.name, service: service.name };
}

/**
 * Returns the number of a stream's last event if its numbers begin near 0. Otherwise a part of the numbers would say nothing
 * about the part of the stream, and the rest of a stream would look short.
 */
function eventCount({ firstId, lastId }: EventSplitter): number | undefined {
  const first = eventNumber(firstId);
  const last = eventNumber(lastId);
  if (first === undefined || last === undefined) return undefined;
  return first <= 1 || first * MIN_SPAN <= last ? last : undefined;
}

/** Returns the number that an event's id is; undefined if there is none. */
function eventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,9}$/.test(id) ? Number(id) : undefined;
}
