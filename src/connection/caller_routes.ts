import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import { resolveAddresses } from "../decision/index.ts";
import { Refusal } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import {
  chatRequestSchema,
  openRequestMemory,
  requestIdForKey,
  splitModel,
} from "../request/index.ts";
import type { ChatRequest, Rejection, RequestMemory, Submission } from "../request/index.ts";
import { assignmentOf } from "../version/index.ts";
import { authenticateCaller, isRejection, checkServiceAccess } from "./caller_authentication.ts";
import type { Caller } from "./caller_authentication.ts";
import { parseCallerOptions, firstRequestedToken } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { sendChat, streamChat } from "./chat_response.ts";
import type { ChatFormat } from "./chat_response.ts";
import type { CallerRouteContext } from "./route_context.ts";
import { guardRoute } from "./guarded_route.ts";
import { MAX_BODY_BYTES, readBody, sendJson } from "./http_body.ts";
import { addRequestRoutes } from "./request_routes.ts";
import { addServiceRoutes, sendAccepted } from "./service_routes.ts";

const SECOND = 1_000;
/** Characters per token, to estimate the prompt's tokens, which the engine doesn't report. */
const CHARACTERS_PER_TOKEN = 4;

/**
 * Adds the routes for callers: address resolution, the list of models, chat completions, the requests
 * of an account, and plain services.
 */
export function addCallerRoutes(app: Polka, context: CallerRouteContext): void {
  app.get("/v1/resolve", (request, response) => {
    handleResolve(context, request, response);
  });
  app.get("/v1/models", (request, response) => {
    const caller = authenticateCaller(request, context.configuration.revision());
    if (isRejection(caller)) countAndReject(context, response, caller);
    else sendJson(response, { object: "list", data: listModels(caller) });
  });
  app.post(
    "/v1/chat/completions",
    guardRoute(context, (request, response) => handleChat(context, request, response)),
  );
  addRequestRoutes(app, context);
  addServiceRoutes(app, context);
}

/** Counts a rejection and sends it. */
function countAndReject(
  { counters }: CallerRouteContext,
  response: ServerResponse,
  rejection: Rejection,
): void {
  counters.refused(rejection.reason);
  sendRejection(response, rejection);
}

function handleResolve(
  context: CallerRouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { members, random, requests } = context;
  const query = new URL(request.url ?? "/", "http://localhost").searchParams;
  const caller = authenticateCaller(request, context.configuration.revision());
  const key = query.get("key");
  if (key !== null && isRejection(caller)) {
    countAndReject(context, response, caller);
    return;
  }
  const account = isRejection(caller) ? "" : caller.account;
  const owner = key === null ? undefined : ownerOfKey(context, account, key);
  const load = new Map([[members.self.id, requests.inProgress()]]);
  const zone = query.get("zone");
  const view = { alive: members.alive(), owner, load, account };
  sendJson(response, resolveAddresses(zone === null ? view : { ...view, zone }, random));
}

/** The primary of the slot of an idempotency key; undefined if it isn't a known member. */
function ownerOfKey(
  { configuration, members }: CallerRouteContext,
  account: string,
  key: string,
): Member | undefined {
  const { slot } = requestIdForKey(account, key);
  return members.find(assignmentOf(configuration.slotMap(), slot).primary);
}

/** The entries of `GET /v1/models`: each service, and each of its models and adapters. */
function listModels({ deployment, settings }: Caller): object[] {
  return settings.services.flatMap((name) => {
    const service = deployment.services[name];
    if (service?.kind !== "model") return [];
    const models = service.models.flatMap((model) => [
      model.name,
      ...model.adapters.map((adapter) => `${model.name}+${adapter}`),
    ]);
    const ids = [name, ...models.map((model) => `${name}/${model}`)];
    return ids.map((id) => ({ id, object: "model", created: 0, owned_by: name }));
  });
}

/** A validated chat completion request. */
interface ParsedChatRequest {
  readonly submission: Submission;
  readonly chat: ChatRequest;
  readonly format: ChatFormat;
}

async function handleChat(
  context: CallerRouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const memory = openRequestMemory(context.callerMemory, request, response);
  const call = await parseChatRequest(context, { request, memory });
  if (isRejection(call)) {
    countAndReject(context, response, call);
    return;
  }
  const { submission, chat, format } = call;
  const abortController = new AbortController();
  response.on("close", () => abortController.abort(new Error("The caller disconnected.")));
  const events = context.requests.submit(submission, abortController.signal);
  if (submission.detached) await sendDetached(response, events);
  else if (chat.stream === true) await streamChat(response, events, format);
  else await sendChat(response, events, format);
}

async function sendDetached(
  response: ServerResponse,
  events: ReturnType<CallerRouteContext["requests"]["submit"]>,
): Promise<void> {
  for await (const event of events) {
    if (event.kind === "accepted") sendAccepted(response, event.id);
    else if (event.kind === "rejected") sendRejection(response, event.rejection);
    return;
  }
}

async function parseChatRequest(
  context: CallerRouteContext,
  { request, memory }: { readonly request: IncomingMessage; readonly memory: RequestMemory },
): Promise<ParsedChatRequest | Rejection> {
  const { clock, configuration } = context;
  const caller = authenticateCaller(request, configuration.revision());
  if (isRejection(caller)) return caller;
  const options = parseCallerOptions(request);
  if (isRejection(options)) return options;
  memory.setAccount(caller.account);
  const body = await readBody(request, MAX_BODY_BYTES, { clock, memory });
  const parsed = chatRequestSchema.safeParse(JSON.parse(body));
  if (!parsed.success) {
    const detail = parsed.error.issues
      .map(({ path, message }) => `${path.join(".")}: ${message}`)
      .join("; ");
    return { reason: Refusal.BadRequest, notRun: true, detail };
  }
  const chat = parsed.data;
  const { service, model } = splitModel(chat.model);
  const rejection = checkServiceAccess(caller, { service, model, kind: "model" });
  if (rejection !== undefined) return rejection;
  const path = "/v1/chat/completions";
  const { account } = caller;
  // A caller that sends the same key again resumes its stream after the last token it received.
  const isResumable = chat.stream === true && options.key !== undefined;
  const fromToken = isResumable ? firstRequestedToken(request) : 0;
  const submission = { ...options, account, service, model, path, body, fromToken };
  const format: ChatFormat = {
    model: chat.model,
    created: Math.floor(clock.date().getTime() / SECOND),
    promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
    includeUsage: chat.stream_options?.include_usage === true,
    isFromStart: fromToken === 0,
  };
  return { submission, chat, format };
}
