/**
 * Decides whether a stopping instance accepts a request.
 *
 * @module
 */
import type { RankedChoice } from "../decision/index.ts";
import { eventNumber, originOf } from "./answer_record.ts";
import type { CandidateWorker, DecisionFields } from "./routed_context.ts";
import { deliversEvents } from "./routed_request.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Why a request isn't sent to a worker by a stopping instance; times are in milliseconds. */
interface StopConflict extends DecisionFields {
  /** Expected time until the end of the answer. */
  readonly expected: number;
  /** Time until the instance ends all answers. */
  readonly left: number;
}

/**
 * Finds out whether the stop of the instance would, or late in it could, cut the answer to a request that is to be sent,
 * for the first time or again. Another instance can serve it whole.
 *
 * @returns Undefined if the request is accepted or the instance isn't stopping.
 */
export function findStopConflict(
  { context, admitted, progress, reserve, response }: RoutedRunState,
  choice: RankedChoice<CandidateWorker>,
): StopConflict | undefined {
  const stop = context.stopTimes();
  if (stop === undefined) return undefined;
  // What the caller has of a stream, or may still get from a kept attempt, is worth more than an early end.
  if (reserve !== undefined || response.hasStarted) return undefined;
  const { arrival } = admitted;
  const now = context.clock.now();
  const left = stop.answersEndAt - now;
  const longest = arrival.deadlineAt - now;
  if (longest <= left) return undefined;
  const rest = expectedRest({ context, admitted });
  if (rest === undefined && progress.hasPossiblyRun) return undefined;
  const expected = rest === undefined ? longest : choice.wait + rest;
  // An expected time doesn't bound the answer: its worker may become slower.
  const isLate = !progress.hasPossiblyRun && now > stop.acceptsLongUntil;
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
