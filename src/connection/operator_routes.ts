import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import { request as send } from "undici";
import type { z } from "zod";
import { Refusal } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import type { Change } from "../version/index.ts";
import { sendRejection } from "./caller_refusal.ts";
import { bearerToken, equalSecrets } from "./credentials.ts";
import type { OperatorRouteContext } from "./route_context.ts";
import { guardRoute } from "./guarded_route.ts";
import type { ParameterizedRequest } from "./guarded_route.ts";
import { readBody, readText, sendJson } from "./http_body.ts";
import { deploymentRequestMessage, presetRequestMessage } from "./operator_messages.ts";
import type { ChangeOutcomeMessage, DrainMessage } from "./operator_messages.ts";
import { routeParameter } from "./route_parameter.ts";

/** Maximum size of a deployment document, in bytes: the platform's limit for a stored value. */
const MAX_DOCUMENT_BYTES = 1_000_000;
/** Timeout for forwarding a drain order to another instance, in milliseconds. */
const FORWARD_TIMEOUT = 2_000;

/** The HTTP status for each outcome of a configuration change. */
const HTTP_STATUSES: Readonly<Record<ChangeOutcomeMessage["kind"], number>> = {
  accepted: 200,
  refused: 422,
  conflict: 409,
  unknown: 202,
};

type Route = (request: ParameterizedRequest, response: ServerResponse) => Promise<void> | void;

/** Adds the routes for operators. All but the health check require the operator key. */
export function addOperatorRoutes(app: Polka, context: OperatorRouteContext): void {
  const { operators } = context;
  const operatorRoute = (route: Route): ReturnType<typeof guardRoute> =>
    guardRoute(context, async (request, response) => {
      if (isOperator(request, context)) await route(request, response);
      else rejectUnauthenticated(context, response);
    });
  app.get("/v1/health", (_request, response) => sendHealth(context, response));
  app.get(
    "/metrics",
    operatorRoute((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(operators.metrics());
    }),
  );
  app.put(
    "/v1/operator/deployment",
    operatorRoute(async (request, response) => {
      const message = await parseBody(request, deploymentRequestMessage);
      const change = {
        kind: "deployment",
        id: changeIdOf(message),
        source: message.source,
      } as const;
      await applyChange(context, { change, base: message.base, request, response });
    }),
  );
  app.put(
    "/v1/operator/preset/:name",
    operatorRoute(async (request, response) => {
      const message = await parseBody(request, presetRequestMessage);
      const preset = routeParameter(request, "name");
      const change = { kind: "preset", id: changeIdOf(message), preset } as const;
      await applyChange(context, { change, base: message.base, request, response });
    }),
  );
  app.get(
    "/v1/operator/changes/:id",
    operatorRoute(async (request, response) => {
      const outcome = await operators.getChangeOutcome(routeParameter(request, "id"));
      sendJson(response, outcome, { status: HTTP_STATUSES[outcome.kind] });
    }),
  );
  app.get(
    "/v1/operator/status",
    operatorRoute(async (_request, response) => sendJson(response, await operators.status())),
  );
  app.get(
    "/v1/operator/services",
    operatorRoute((_request, response) => sendJson(response, operators.services())),
  );
  app.post(
    "/v1/operator/drain/:instance",
    operatorRoute(async (request, response) => {
      const message = await drain(context, decodeURIComponent(routeParameter(request, "instance")));
      const status = { draining: 202, "unknown-instance": 404, unreachable: 503 }[message.kind];
      sendJson(response, message, { status });
    }),
  );
  app.get(
    "/v1/operator/requests/:id",
    operatorRoute(async (request, response) => {
      const id = routeParameter(request, "id");
      const found = await operators.findRequest(id);
      if (found !== undefined) sendJson(response, found);
      else {
        const detail = `None of the instances that responded knows the request ${id}.`;
        sendRejection(response, { reason: Refusal.UnknownRequest, notRun: false, detail });
      }
    }),
  );
}

function isOperator(request: IncomingMessage, { operatorKey }: OperatorRouteContext): boolean {
  return equalSecrets(bearerToken(request.headers.authorization), operatorKey);
}

function rejectUnauthenticated({ counters }: OperatorRouteContext, response: ServerResponse): void {
  const reason = Refusal.Unauthenticated;
  counters.refused(reason);
  const detail = "This route requires the operator key.";
  sendRejection(response, { reason, notRun: true, detail });
}

/** Reports whether this instance accepts new requests, for external health checks without a key. */
function sendHealth(
  { configuration, members }: OperatorRouteContext,
  response: ServerResponse,
): void {
  const isAccepting =
    configuration.revision() !== undefined &&
    !configuration.isCutOff() &&
    members.alive().some(({ id }) => id === members.self.id);
  sendJson(response, { takesWork: isAccepting }, { status: isAccepting ? 200 : 503 });
}

/**
 * Reads and validates a JSON body; an empty one counts as `{}`.
 *
 * @throws {SyntaxError} If the body isn't JSON or doesn't match the schema.
 */
async function parseBody<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const body = await readBody(request, MAX_DOCUMENT_BYTES);
  const parsed = schema.safeParse(JSON.parse(body === "" ? "{}" : body));
  if (parsed.success) return parsed.data;
  throw new SyntaxError(parsed.error.issues.map(({ message }) => message).join("; "));
}

function changeIdOf({ change }: { readonly change?: string }): string {
  return change ?? randomUUID();
}

/** Applies a change and sends its outcome; with `?wait=1`, waits until all instances have it in force. */
async function applyChange(
  { operators }: OperatorRouteContext,
  call: {
    readonly change: Change;
    readonly base: number | undefined;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
  },
): Promise<void> {
  const { change, base, request, response } = call;
  const outcome = await operators.applyChange(change, base);
  const status = HTTP_STATUSES[outcome.kind];
  const query = new URL(request.url ?? "/", "http://localhost").searchParams;
  if (outcome.kind !== "accepted" || query.get("wait") !== "1") {
    sendJson(response, outcome, { status });
    return;
  }
  const everywhere = await operators.waitUntilInForce(outcome.revision);
  sendJson(response, { ...outcome, everywhere }, { status });
}

/** Drains this instance, or forwards the order to the named one, by member id or name. */
async function drain(context: OperatorRouteContext, instance: string): Promise<DrainMessage> {
  const { members, operators, presentMembers } = context;
  const isNamed = ({ id }: Member): boolean =>
    id === instance || id.slice(0, id.lastIndexOf("#")) === instance;
  if (isNamed(members.self)) {
    operators.drain();
    return { kind: "draining", instance: members.self.id };
  }
  const member = presentMembers().find(isNamed);
  if (member === undefined) return { kind: "unknown-instance", instance };
  try {
    const reply = await send(drainUrl(context, member), {
      method: "POST",
      headers: { authorization: `Bearer ${context.operatorKey}` },
      signal: AbortSignal.timeout(FORWARD_TIMEOUT),
    });
    const detail = await readText(reply.body);
    if (reply.statusCode === 202) return { kind: "draining", instance: member.id };
    return { kind: "unreachable", instance: member.id, detail };
  } catch (error) {
    return { kind: "unreachable", instance: member.id, detail: String(error) };
  }
}

function drainUrl({ isSecure }: OperatorRouteContext, member: Member): string {
  const scheme = isSecure ? "https" : "http";
  return `${scheme}://${member.callerAddress}/v1/operator/drain/${encodeURIComponent(member.id)}`;
}
