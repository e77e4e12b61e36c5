import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import { z } from "zod";
import { RequestState } from "../interface/index.ts";
import type { RequestRecord } from "../interface/index.ts";
import { openRequestMemory } from "../request/index.ts";
import type { RequestMemory, Submission } from "../request/index.ts";
import { authenticateCaller, isRejection, checkServiceAccess } from "./caller_authentication.ts";
import { parseCallerOptions } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { rejectionFromRecord } from "./chat_response.ts";
import type { CallerRouteContext } from "./route_context.ts";
import { MAX_BODY_BYTES, readBody, sendJson } from "./http_body.ts";
import { guardRoute } from "./guarded_route.ts";
import { routeParameter } from "./route_parameter.ts";

/** Methods that HTTP defines as idempotent: their requests are repeatable unless the caller opts out. */
const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]);

const METHODS = ["get", "head", "put", "delete", "post", "patch", "options"] as const;

/** The response of a plain service, stored as JSON in the `detail` of a completed record. */
export const plainResponseSchema = z.object({
  status: z.number().int().min(100).max(599),
  type: z.string(),
  body: z.string(),
});

/** Adds the route that forwards `/services/NAME/…` to a backend server of a plain service. */
export function addServiceRoutes(app: Polka, context: CallerRouteContext): void {
  const handle = guardRoute(context, async (request, response) => {
    await handlePlainRequest(context, {
      request,
      response,
      service: routeParameter(request, "service"),
    });
  });
  for (const method of METHODS) app[method]("/services/:service/*", handle);
}

async function handlePlainRequest(
  context: CallerRouteContext,
  call: { request: IncomingMessage; response: ServerResponse; service: string },
): Promise<void> {
  const { request, response, service } = call;
  const memory = openRequestMemory(context.callerMemory, request, response);
  const submission = await parsePlainRequest(context, { request, memory, service });
  if (isRejection(submission)) {
    context.counters.refused(submission.reason);
    sendRejection(response, submission);
    return;
  }
  const abortController = new AbortController();
  response.on("close", () => abortController.abort(new Error("The caller disconnected.")));
  for await (const event of context.requests.submit(submission, abortController.signal)) {
    if (event.kind === "rejected") sendRejection(response, event.rejection);
    else if (event.kind === "ended") sendPlainResponse(response, event.record);
    else if (event.kind === "accepted" && submission.detached) {
      sendAccepted(response, event.id);
      return;
    }
  }
}

async function parsePlainRequest(
  context: CallerRouteContext,
  call: {
    readonly request: IncomingMessage;
    readonly memory: RequestMemory;
    readonly service: string;
  },
): Promise<Submission | Parameters<typeof sendRejection>[1]> {
  const { request, memory, service } = call;
  const caller = authenticateCaller(request, context.configuration.revision());
  if (isRejection(caller)) return caller;
  const rejection = checkServiceAccess(caller, { service, model: "", kind: "plain" });
  if (rejection !== undefined) return rejection;
  const options = parseCallerOptions(request);
  if (isRejection(options)) return options;
  const method = request.method ?? "GET";
  const rest = (request.url ?? "").slice(`/services/${service}`.length);
  memory.setAccount(caller.account);
  const body = await readBody(request, MAX_BODY_BYTES, { clock: context.clock, memory });
  const methodDefaults = IDEMPOTENT_METHODS.has(method) ? { repeatable: true } : {};
  const { account } = caller;
  return {
    ...methodDefaults,
    ...options,
    account,
    service,
    model: "",
    path: `${method} ${rest}`,
    body,
    fromToken: 0,
  };
}

function sendPlainResponse(response: ServerResponse, record: RequestRecord): void {
  if (record.state !== RequestState.Complete) {
    sendRejection(response, rejectionFromRecord(record));
    return;
  }
  const { status, type, body } = plainResponseSchema.parse(JSON.parse(record.detail));
  response.writeHead(status, { "content-type": type, "x-request-id": record.id });
  response.end(body);
}

/** Sends status 202 with the id and the status URL of a request whose caller doesn't wait for it. */
export function sendAccepted(response: ServerResponse, id: string): void {
  const url = `/v1/requests/${id}`;
  const headers = { location: url, "x-request-id": id, "preference-applied": "respond-async" };
  sendJson(response, { id, state: RequestState.Accepted, url }, { status: 202, headers });
}
