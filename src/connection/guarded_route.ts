import type { IncomingMessage, ServerResponse } from "node:http";
import { Refusal } from "../interface/index.ts";
import type { Rejection } from "../request/index.ts";
import { sendRejection } from "./caller_refusal.ts";
import type { CallerRouteContext } from "./route_context.ts";
import { BodyGivenUp, BodyTooLarge, BodyTooSlow } from "./http_body.ts";

/** A request with the parameters of its route's path. */
export type ParameterizedRequest = IncomingMessage & {
  params: Readonly<Record<string, string | string[]>>;
};

/** Milliseconds after which a caller may retry whose request was given up for others. */
const GIVEN_UP_RETRY_AFTER = 1_000;

type Route = (request: ParameterizedRequest, response: ServerResponse) => Promise<void>;

/**
 * Wraps a route so that an error in it is counted and sent to the caller as a typed error response. If the
 * headers were already sent, the connection is closed instead. Without the wrapper, an error in an
 * asynchronous route would leave the caller without a response and end the process.
 */
export function guardRoute(context: Pick<CallerRouteContext, "counters">, route: Route): Route {
  return async (request, response) => {
    try {
      await route(request, response);
    } catch (error) {
      const rejection = rejectionFromError(error);
      context.counters.refused(rejection.reason);
      // The rest of a body that was given up isn't read.
      if (error instanceof BodyGivenUp) response.shouldKeepAlive = false;
      if (response.headersSent) response.destroy();
      else sendRejection(response, rejection);
      // The rest of a body that timed out isn't read: the connection closes after the response.
      if (error instanceof BodyTooSlow) response.on("finish", () => request.destroy());
    }
  };
}

function rejectionFromError(error: unknown): Rejection {
  const detail = error instanceof Error ? error.message : String(error);
  if (error instanceof BodyTooLarge) return { reason: Refusal.TooLarge, notRun: true, detail };
  if (error instanceof BodyGivenUp) {
    return {
      reason: Refusal.EntryOverloaded,
      notRun: true,
      retryAfter: GIVEN_UP_RETRY_AFTER,
      detail,
    };
  }
  if (error instanceof BodyTooSlow) return { reason: Refusal.BadRequest, notRun: true, detail };
  if (error instanceof SyntaxError) {
    return {
      reason: Refusal.BadRequest,
      notRun: true,
      detail: `The body isn't valid JSON: ${detail}.`,
    };
  }
  return { reason: Refusal.BackendFailed, notRun: false, detail };
}
