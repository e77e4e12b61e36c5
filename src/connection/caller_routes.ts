import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import { resolve } from "../decision/index.ts";
import { Refusal } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import { chatRequestSchema, keyedId, splitModel } from "../request/index.ts";
import type { ChatRequest, Rejection, Submission } from "../request/index.ts";
import { assignmentOf } from "../version/index.ts";
import { callerOf, isRejection, serviceRefusal } from "./caller_account.ts";
import type { Caller } from "./caller_account.ts";
import { callerWishes, firstTokenWanted } from "./caller_headers.ts";
import { sendRejection } from "./caller_refusal.ts";
import { sendWholeChat, streamChat } from "./chat_answer.ts";
import type { ChatAnswer } from "./chat_answer.ts";
import type { EntryInstanceParts } from "./entry_parts.ts";
import { guarded } from "./guarded_route.ts";
import { BODY_LIMIT, readBody, sendJson } from "./http_body.ts";
import { addRequestRoutes } from "./request_routes.ts";
import { addServiceRoutes, sendAccepted } from "./service_routes.ts";

const SECOND = 1_000;
/** Characters per token, to estimate the prompt's tokens, which the engine doesn't report. */
const TOKEN_CHARACTERS = 4;

/**
 * Adds the routes for callers: address resolution, the list of models, chat completions, the requests
 * of an account, and plain services.
 */
export function addCallerRoutes(app: Polka, parts: EntryInstanceParts): void {
  app.get("/v1/resolve", (request, response) => {
    answerResolve(parts, request, response);
  });
  app.get("/v1/models", (request, response) => {
    const caller = callerOf(request, parts.configuration.revision());
    if (isRejection(caller)) reject(parts, response, caller);
    else sendJson(response, { object: "list", data: modelsOf(caller) });
  });
  app.post(
    "/v1/chat/completions",
    guarded(parts, (request, response) => answerChat(parts, request, response)),
  );
  addRequestRoutes(app, parts);
  addServiceRoutes(app, parts);
}

/** Counts a rejection and sends it. */
function reject(
  { counters }: EntryInstanceParts,
  response: ServerResponse,
  rejection: Rejection,
): void {
  counters.refused(rejection.reason);
  sendRejection(response, rejection);
}

function answerResolve(
  parts: EntryInstanceParts,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { members, random, requests } = parts;
  const query = new URL(request.url ?? "/", "http://localhost").searchParams;
  const caller = callerOf(request, parts.configuration.revision());
  const key = query.get("key");
  if (key !== null && isRejection(caller)) {
    reject(parts, response, caller);
    return;
  }
  const account = isRejection(caller) ? "" : caller.account;
  const owner = key === null ? undefined : ownerOfKey(parts, account, key);
  const load = new Map([[members.self.id, requests.inProgress()]]);
  const zone = query.get("zone");
  const view = { alive: members.alive(), owner, load, account };
  sendJson(response, resolve(zone === null ? view : { ...view, zone }, random));
}

/** The primary of the slot of an idempotency key; undefined if it isn't a known member. */
function ownerOfKey(
  { configuration, members }: EntryInstanceParts,
  account: string,
  key: string,
): Member | undefined {
  const { slot } = keyedId(account, key);
  return members.find(assignmentOf(configuration.slotMap(), slot).primary);
}

/** The entries of `GET /v1/models`: each service, and each of its models and adapters. */
function modelsOf({ deployment, settings }: Caller): object[] {
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
interface ChatCall {
  readonly submission: Submission;
  readonly chat: ChatRequest;
  readonly answer: ChatAnswer;
}

async function answerChat(
  parts: EntryInstanceParts,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const call = await chatCall(parts, request);
  if (isRejection(call)) {
    reject(parts, response, call);
    return;
  }
  const { submission, chat, answer } = call;
  const ending = new AbortController();
  response.on("close", () => ending.abort(new Error("The caller disconnected.")));
  const events = parts.requests.submit(submission, ending.signal);
  if (submission.detached) await answerDetached(response, events);
  else if (chat.stream === true) await streamChat(response, events, answer);
  else await sendWholeChat(response, events, answer);
}

async function answerDetached(
  response: ServerResponse,
  events: ReturnType<EntryInstanceParts["requests"]["submit"]>,
): Promise<void> {
  for await (const event of events) {
    if (event.kind === "accepted") sendAccepted(response, event.id);
    else if (event.kind === "rejected") sendRejection(response, event.rejection);
    return;
  }
}

async function chatCall(
  parts: EntryInstanceParts,
  request: IncomingMessage,
): Promise<ChatCall | Rejection> {
  const { clock, configuration } = parts;
  const caller = callerOf(request, configuration.revision());
  if (isRejection(caller)) return caller;
  const wishes = callerWishes(request);
  if (isRejection(wishes)) return wishes;
  const body = await readBody(request, BODY_LIMIT, { clock });
  const parsed = chatRequestSchema.safeParse(JSON.parse(body));
  if (!parsed.success) {
    const detail = parsed.error.issues
      .map(({ path, message }) => `${path.join(".")}: ${message}`)
      .join("; ");
    return { reason: Refusal.BadRequest, notRun: true, detail };
  }
  const chat = parsed.data;
  const { service, model } = splitModel(chat.model);
  const refusal = serviceRefusal(caller, { service, model, kind: "model" });
  if (refusal !== undefined) return refusal;
  const path = "/v1/chat/completions";
  const { account } = caller;
  // A caller that sends the same key again resumes its stream after the last token it received.
  const isResumable = chat.stream === true && wishes.key !== undefined;
  const fromToken = isResumable ? firstTokenWanted(request) : 0;
  const submission = { ...wishes, account, service, model, path, body, fromToken };
  const answer: ChatAnswer = {
    model: chat.model,
    created: Math.floor(clock.date().getTime() / SECOND),
    promptTokens: Math.ceil(body.length / TOKEN_CHARACTERS),
    usage: chat.stream_options?.include_usage === true,
    fromStart: fromToken === 0,
  };
  return { submission, chat, answer };
}
