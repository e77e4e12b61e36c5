import type { Polka } from "polka";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import { callerOf, isRejection } from "./caller_account.ts";
import { firstTokenWanted } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { streamChat, wholeChat } from "./chat_answer.ts";
import type { EntryInstanceParts } from "./entry_parts.ts";
import { guarded } from "./guarded_route.ts";
import type { RoutedRequest } from "./guarded_route.ts";
import { sendJson } from "./http_body.ts";
import { routeParameter } from "./route_parameter.ts";

const SECOND = 1_000;

/** Adds the routes with which a caller looks up, cancels or follows one of its requests by id. */
export function addRequestRoutes(app: Polka, parts: EntryInstanceParts): void {
  const { requests, configuration, clock } = parts;
  const named = (request: RoutedRequest): { id: string; account: string } | undefined => {
    const caller = callerOf(request, configuration.revision());
    if (isRejection(caller)) return undefined;
    return { id: routeParameter(request, "id"), account: caller.account };
  };
  const unauthenticated = (
    request: RoutedRequest,
    response: Parameters<typeof sendRejection>[0],
  ): void => {
    const caller = callerOf(request, configuration.revision());
    if (!isRejection(caller)) return;
    parts.counters.refused(caller.reason);
    sendRejection(response, caller);
  };
  const answerWith =
    (look: (id: string, account: string) => ReturnType<EntryInstanceParts["requests"]["find"]>) =>
    async (
      request: RoutedRequest,
      response: Parameters<typeof sendRejection>[0],
    ): Promise<void> => {
      const name = named(request);
      if (name === undefined) {
        unauthenticated(request, response);
        return;
      }
      const found = await look(name.id, name.account);
      if (isRejection(found)) sendRejection(response, found);
      else sendJson(response, viewOf(found));
    };
  app.get(
    "/v1/requests/:id",
    guarded(
      parts,
      answerWith((id, account) => requests.find(id, account)),
    ),
  );
  app.post(
    "/v1/requests/:id/cancel",
    guarded(
      parts,
      answerWith((id, account) => requests.cancel(id, account)),
    ),
  );
  app.get(
    "/v1/requests/:id/stream",
    guarded(parts, async (request, response) => {
      const name = named(request);
      if (name === undefined) {
        unauthenticated(request, response);
        return;
      }
      const ending = new AbortController();
      response.on("close", () => ending.abort(new Error("The caller disconnected.")));
      const fromToken = firstTokenWanted(request);
      const { account, id } = name;
      const events = requests.follow(id, { account, fromToken, signal: ending.signal });
      const created = Math.floor(clock.date().getTime() / SECOND);
      const answer = { model: "", created, promptTokens: 0, usage: false };
      await streamChat(response, events, { ...answer, fromStart: fromToken === 0 });
    }),
  );
}

/** Returns the response body for a request: its state, and the result once it is complete. */
function viewOf(record: RequestRecord): object {
  const { id, state, reason, detail, service, tokens, acceptedAt } = record;
  const view = { id, state, service, reason, not_run: state === RequestState.NotRun };
  if (state !== RequestState.Complete) {
    return { ...view, tokens: tokens.length, ...(detail === "" ? {} : { detail }) };
  }
  if (record.path.startsWith("/")) {
    const created = Math.floor(acceptedAt / SECOND);
    const answer = { model: service, created, promptTokens: 0, usage: true, fromStart: true };
    return { ...view, tokens: tokens.length, answer: wholeChat(record, answer) };
  }
  return { ...view, answer: JSON.parse(detail) as unknown };
}
