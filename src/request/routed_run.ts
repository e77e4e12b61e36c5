import type { CallerResponse } from "./caller_response.ts";
import type { Attempt } from "./routed_attempt.ts";
import type { RoutedContext } from "./routed_context.ts";
import { abandon, endAtStop, watchDeadline } from "./routed_end.ts";
import { resumeReading } from "./routed_forwarding.ts";
import { placeRequest } from "./routed_placement.ts";
import type { AdmittedRequest } from "./routed_request.ts";
import { createRunState } from "./routed_run_state.ts";
import { watchSilence } from "./routed_silence.ts";

/** A run of a request that can be abandoned from outside. */
export interface RoutedRun {
  /** Stops whatever is running, because the caller has disconnected. */
  abandon(): void;
  /** Gives the request its final answer, because the instance ends. */
  endAtStop(): void;
}

/**
 * Serves a request: sends it to a worker, forwards the response, and tries another worker if the
 * first one fails and the request may run again.
 *
 * If the route of a request doesn't allow a second run, the request is sent again only if no byte
 * of it was accepted or the worker reported that it didn't run it. Statuses that guarantee "not
 * run" are sent under the same conditions.
 *
 * The placement chooses a worker and the sending begins an attempt there. The forwarding, the
 * completion, the failures and the detection of silence handle what comes of the attempt. They lead
 * to the end of the request, or to a repeat and thereby to the placement again. Each of these is a
 * module `routed_*.ts`.
 *
 * @param admitted The request.
 * @param response The response to write to.
 */
export function startRoutedRun(
  context: RoutedContext,
  admitted: AdmittedRequest,
  response: CallerResponse,
): RoutedRun {
  const tryNext = (): void => placeRequest(state);
  const watch = (attempt: Attempt): void => watchSilence(state, attempt);
  const state = createRunState(context, { admitted, response, tryNext, watch });
  watchDeadline(state);
  response.onDrain(() => resumeReading(state));
  context.repeats.recordRequest(admitted.service.name, context.clock.now());
  placeRequest(state);
  return { abandon: () => abandon(state), endAtStop: () => endAtStop(state) };
}
