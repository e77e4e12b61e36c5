import type { Polka } from "polka";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import { authenticateCaller, isRejection } from "./caller_authentication.ts";
import { firstRequestedToken } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { streamChat, completionBody } from "./chat_response.ts";
import type { CallerRouteContext } from "./route_context.ts";
import { guardRoute } from "./guarded_route.ts";
import type { ParameterizedRequest } from "./guarded_route.ts";
import { sendJson } from "./http_body.ts";
import { routeParameter } from "./route_parameter.ts";

const SECOND = 1_000;

/** Adds the routes with which a caller looks up, cancels or follows one of its requests by id. */
export function addRequestRoutes(app: Polka, context: CallerRouteContext): void {
  const { requests, configuration, clock } = context;
  const identify = (request: ParameterizedRequest): { id: string; account: string } | undefined => {
    const caller = authenticateCaller(request, configuration.revision());
    if (isRejection(caller)) return undefined;
    return { id: routeParameter(request, "id"), account: caller.account };
  };
  const rejectUnauthenticated = (
    request: ParameterizedRequest,
    response: Parameters<typeof sendRejection>[0],
  ): void => {
    const caller = authenticateCaller(request, configuration.revision());
    if (!isRejection(caller)) return;
    context.counters.refused(caller.reason);
    sendRejection(response, caller);
  };
  /** Returns a route that authenticates the caller and sends the request that `lookUp` finds. */
  const respondWith =
    (lookUp: (id: string, account: string) => ReturnType<CallerRouteContext["requests"]["find"]>) =>
    async (
      request: ParameterizedRequest,
      response: Parameters<typeof sendRejection>[0],
    ): Promise<void> => {
      const caller = identify(request);
      if (caller === undefined) {
        rejectUnauthenticated(request, response);
        return;
      }
      const found = await lookUp(caller.id, caller.account);
      if (isRejection(found)) sendRejection(response, found);
      else sendJson(response, requestView(found));
    };
  app.get(
    "/v1/requests/:id",
    guardRoute(
      context,
      respondWith((id, account) => requests.find(id, account)),
    ),
  );
  app.post(
    "/v1/requests/:id/cancel",
    guardRoute(
      context,
      respondWith((id, account) => requests.cancel(id, account)),
    ),
  );
  app.get(
    "/v1/requests/:id/stream",
    guardRoute(context, async (request, response) => {
      const caller = identify(request);
      if (caller === undefined) {
        rejectUnauthenticated(request, response);
        return;
      }
      const abortController = new AbortController();
      response.on("close", () => abortController.abort(new Error("The caller disconnected.")));
      const fromToken = firstRequestedToken(request);
      const { account, id } = caller;
      const events = requests.follow(id, { account, fromToken, signal: abortController.signal });
      const created = Math.floor(clock.date().getTime() / SECOND);
      const format = { model: "", created, promptTokens: 0, includeUsage: false };
      await streamChat(response, events, { ...format, isFromStart: fromToken === 0 });
    }),
  );
}

/** Returns the response body for a request: its state, and the result once it is complete. */
function requestView(record: RequestRecord): object {
  const { id, state, reason, detail, service, tokens, acceptedAt } = record;
  const view = { id, state, service, reason, not_run: state === RequestState.NotRun };
  if (state !== RequestState.Complete) {
    return { ...view, tokens: tokens.length, ...(detail === "" ? {} : { detail }) };
  }
  if (record.path.startsWith("/")) {
    const created = Math.floor(acceptedAt / SECOND);
    const format = {
      model: service,
      created,
      promptTokens: 0,
      includeUsage: true,
      isFromStart: true,
    };
    return { ...view, tokens: tokens.length, answer: completionBody(record, format) };
  }
  return { ...view, answer: JSON.parse(detail) as unknown };
}
