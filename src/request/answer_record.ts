/**
 * Records how long answers take, for the estimates of a stop.
 *
 * @module
 */
import type { AnswerOrigin } from "../decision/index.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { AdmittedRequest } from "./routed_request.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Part of an answer's duration in which its caller read too slowly, above which the duration isn't the worker's. */
const MAX_PAUSE_RATIO = 1 / 20;
/** Part of an answer's duration that its longest silence took, above which the worker stood still. */
const MAX_SILENCE_RATIO = 1 / 4;
/** Duration of a silence below which it is no standstill, in milliseconds. */
const MIN_STANDSTILL = 1_000;

/** Minimum ratio of the number of the last event to that of the first one. */
const MIN_SPAN = 8;

/** Records how long a successful answer took, for later estimates. */
export function recordAnswerTime(state: RoutedRunState, attempt: Attempt): void {
  const { context, admitted, splitter } = state;
  const { arrival } = admitted;
  if (arrival.resumption !== undefined) return;
  const duration = context.clock.now() - beginOf(state, attempt);
  if (wasHeldUp(attempt, duration)) return;
  context.answerTimes.record(originOf(admitted), {
    outputTokens: arrival.outputTokens,
    lastEvent: eventCount(splitter),
    duration,
  });
}

/** Records the time until the deadline of a request whose answer wasn't complete by then. */
export function recordDeadline(state: RoutedRunState): void {
  const { context, admitted, current } = state;
  const { arrival } = admitted;
  if (current?.head === undefined || arrival.resumption !== undefined) return;
  const duration = context.clock.now() - beginOf(state, current);
  if (current.isPaused || wasHeldUp(current, duration)) return;
  const { outputTokens } = arrival;
  context.answerTimes.recordUnfinished(originOf(admitted), { outputTokens, duration });
}

/** Whether the duration of an answer says little about the worker, since its caller was slow or it stood still once. */
function wasHeldUp({ pausedFor, longestSilence }: Attempt, duration: number): boolean {
  const hasStoodStill =
    longestSilence >= MIN_STANDSTILL && longestSilence > duration * MAX_SILENCE_RATIO;
  return hasStoodStill || pausedFor > duration * MAX_PAUSE_RATIO;
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

/** Returns the route and service whose answers a request's answer is compared with. */
export function originOf({ arrival, service }: AdmittedRequest): AnswerOrigin {
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
export function eventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,9}$/.test(id) ? Number(id) : undefined;
}
