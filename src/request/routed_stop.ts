/**
 * Decides whether a stopping instance accepts a request.
 *
 * @module
 */
import type { AnswerOrigin, RankedChoice } from "../decision/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { CandidateWorker, DecisionFields } from "./routed_context.ts";
import { isSuccess } from "./routed_head.ts";
import { deliversEvents } from "./routed_request.ts";
import type { AdmittedRequest } from "./routed_request.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Why a request isn't sent to a worker by a stopping instance; times are in milliseconds. */
interface StopConflict extends DecisionFields {
  /** Expected time until the end of the answer. */
  readonly expected: number;
  /** Time until the instance ends all answers. */
  readonly left: number;
}

/**
 * Finds out whether the stop of the instance would, or late in it could, cut the answer to a request that was not sent
 * yet. Another instance can serve it whole.
 *
 * @returns Undefined if the request is accepted or the instance isn't stopping.
 */
export function findStopConflict(
  { context, admitted, progress, reserve, response }: RoutedRunState,
  choice: RankedChoice<CandidateWorker>,
): StopConflict | undefined {
  const stop = context.plannedStop();
  if (stop === undefined) return undefined;
  if (progress.hasPossiblyRun || reserve !== undefined || response.hasStarted) return undefined;
  const { arrival } = admitted;
  const now = context.clock.now();
  const left = stop.answersEndAt - now;
  const longest = arrival.deadlineAt - now;
  if (longest <= left) return undefined;
  const rest = expectedRest({ context, admitted });
  const expected = rest === undefined ? longest : choice.wait + rest;
  // An expected time doesn't bound the answer: its worker may become slower.
  const isLate = now > stop.acceptsLongUntil;
  if (expected <= left && !isLate) return undefined;
  return { expected: Math.round(expected), left: Math.round(left) };
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

/** Records how long the answer of a request's only run took, for later estimates. */
export function recordAnswerTime(
  { context, admitted, progress, splitter }: RoutedRunState,
  { attempt, head }: { readonly attempt: Attempt; readonly head: ResponseHead },
): void {
  const { arrival } = admitted;
  if (!isSuccess(head) || progress.runs !== 1 || arrival.resumption !== undefined) return;
  const { startedAt, expectedWait } = attempt;
  context.answerTimes.record(originOf(admitted), {
    outputTokens: arrival.outputTokens,
    lastEvent: eventNumber(splitter.lastId),
    duration: context.clock.now() - startedAt - expectedWait,
  });
}

function originOf({ arrival, service }: AdmittedRequest): AnswerOrigin {
  return { route: arrival.route.name, service: service.name };
}

/** Returns the number that an event's id is; undefined if there is none. */
function eventNumber(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,9}$/.test(id) ? Number(id) : undefined;
}
