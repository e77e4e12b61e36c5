import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import { z } from "zod";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import type { Submission } from "../request/index.ts";
import { callerOf, isRejection, serviceRefusal } from "./caller_account.ts";
import { callerWishes } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { rejectionOf } from "./chat_answer.ts";
import type { EntryInstanceParts } from "./entry_parts.ts";
import { BODY_LIMIT, readBody, sendJson } from "./http_body.ts";
import { guarded } from "./guarded_route.ts";
import { routeParameter } from "./route_parameter.ts";

/** Methods that HTTP defines as idempotent: their requests are repeatable unless the caller opts out. */
const IDEMPOTENT = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]);

const METHODS = ["get", "head", "put", "delete", "post", "patch", "options"] as const;

/** The response of a plain service, stored as JSON in the `detail` of a completed record. */
export const plainAnswer = z.object({
  status: z.number().int().min(100).max(599),
  type: z.string(),
  body: z.string(),
});

/** Adds the route that forwards `/services/NAME/…` to a backend server of a plain service. */
export function addServiceRoutes(app: Polka, parts: EntryInstanceParts): void {
  const handle = guarded(parts, async (request, response) => {
    await answerPlain(parts, { request, response, service: routeParameter(request, "service") });
  });
  for (const method of METHODS) app[method]("/services/:service/*", handle);
}

async function answerPlain(
  parts: EntryInstanceParts,
  call: { request: IncomingMessage; response: ServerResponse; service: string },
): Promise<void> {
  const { request, response, service } = call;
  const submission = await plainSubmission(parts, request, service);
  if (isRejection(submission)) {
    parts.counters.refused(submission.reason);
    sendRejection(response, submission);
    return;
  }
  const ending = new AbortController();
  response.on("close", () => ending.abort(new Error("The caller disconnected.")));
  for await (const event of parts.requests.submit(submission, ending.signal)) {
    if (event.kind === "rejected") sendRejection(response, event.rejection);
    else if (event.kind === "ended") sendPlain(response, event.record);
    else if (event.kind === "accepted" && submission.detached) {
      sendAccepted(response, event.id);
      return;
    }
  }
}

async function plainSubmission(
  parts: EntryInstanceParts,
  request: IncomingMessage,
  service: string,
): Promise<Submission | Parameters<typeof sendRejection>[1]> {
  const caller = callerOf(request, parts.configuration.revision());
  if (isRejection(caller)) return caller;
  const refusal = serviceRefusal(caller, { service, model: "", kind: "plain" });
  if (refusal !== undefined) return refusal;
  const wishes = callerWishes(request);
  if (isRejection(wishes)) return wishes;
  const method = request.method ?? "GET";
  const rest = (request.url ?? "").slice(`/services/${service}`.length);
  const body = await readBody(request, BODY_LIMIT, { clock: parts.clock });
  const asMethod = IDEMPOTENT.has(method) ? { repeatable: true } : {};
  const { account } = caller;
  return {
    ...asMethod,
    ...wishes,
    account,
    service,
    model: "",
    path: `${method} ${rest}`,
    body,
    fromToken: 0,
  };
}

function sendPlain(response: ServerResponse, record: RequestRecord): void {
  if (record.state !== RequestState.Complete) {
    sendRejection(response, rejectionOf(record));
    return;
  }
  const { status, type, body } = plainAnswer.parse(JSON.parse(record.detail));
  response.writeHead(status, { "content-type": type, "x-request-id": record.id });
  response.end(body);
}

/** Sends status 202 with the id and the status URL of a request whose caller doesn't wait for it. */
export function sendAccepted(response: ServerResponse, id: string): void {
  const url = `/v1/requests/${id}`;
  const headers = { location: url, "x-request-id": id, "preference-applied": "respond-async" };
  sendJson(response, { id, state: RequestState.Accepted, url }, { status: 202, headers });
}
