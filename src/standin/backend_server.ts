/**
 * A simulated backend server for development and tests, reached over HTTP like a real one.
 *
 * It implements the engine protocol under `/engine/`: run, attach, cancel, ask, export, report and
 * order. A dispatch to the chat-completions path runs on a simulated engine and streams the tokens
 * ` word0 word1 …` as server-sent events. Every other path belongs to a plain service, which echoes
 * the request. Both count their runs, so that a test can detect a request that ran twice.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import { z } from "zod";
import { listenHttp, readBody, sendJson } from "../connection/index.ts";
import type { Listener } from "../connection/index.ts";
import type { Clock, Dispatch, EngineEvent, DesiredEngineState } from "../interface/index.ts";
import { CHAT_PATH, formatCacheName } from "./engine_request.ts";
import type { EngineCapacity } from "./engine_model.ts";
import { createPlainService } from "./plain_service.ts";
import type { PlainService } from "./plain_service.ts";
import { createRequestTable } from "./request_table.ts";
import type { Subscriber, RequestTable, RunRefusal } from "./request_table.ts";
import { createConstantRateSource, createEngineTokenSource } from "./token_source.ts";
import type { TokenSource } from "./token_source.ts";

/** Options of a simulated backend server. */
export interface BackendServerOptions {
  /** Address and port to listen on, as `IP:PORT`. */
  readonly listen: string;
  readonly clock: Clock;
  /**
   * Milliseconds between two tokens, whatever else is in progress; 0 sends the whole answer at
   * once. If absent, the engine model determines the rate from `capacity`.
   */
  readonly tokenInterval?: number;
  /** Throughput and memory of the machine class; defaults to 900 tokens per second. */
  readonly capacity?: EngineCapacity;
  /** Factor by which the engine model runs faster than the clock; defaults to 1. */
  readonly timeScale?: number;
  /** Whether orders and dispatches with an older fencing token are refused; defaults to false. */
  readonly checksFence?: boolean;
  /** Models that are loaded when the server starts; defaults to none. */
  readonly loadedModels?: readonly string[];
  /** Worker id in load reports; defaults to the server's address. */
  readonly worker?: string;
}

/** A running simulated backend server. */
export interface BackendServer extends Listener {
  /** Number of runs of each request that started here from its beginning, by request id. */
  readonly runs: ReadonlyMap<string, number>;
  /** Returns the last order that was accepted. */
  order(): DesiredEngineState;
}

/** Maximum size of a request body in bytes. */
const MAX_BODY_BYTES = 4_000_000;
/** Capacity of an ordinary machine class. */
const DEFAULT_CAPACITY: EngineCapacity = {
  tokensPerSecond: 900,
  prefillPerSecond: 8_000,
  cacheTokens: 120_000,
};
const BAD_REQUEST = 400;
const CONFLICT = 409;
const NOT_FOUND = 404;

const dispatchSchema: z.ZodType<Dispatch> = z.object({
  id: z.string(),
  attempt: z.number().int(),
  service: z.string(),
  path: z.string(),
  body: z.string(),
  tokens: z.array(z.string()),
  priority: z.number(),
  timeLeft: z.number(),
  fence: z.number().exactOptional(),
  cache: z.string().exactOptional(),
});
const attachSchema = z.object({ id: z.string(), fromToken: z.number().int() });
const idSchema = z.object({ id: z.string() });
const askSchema = z.object({ id: z.string(), bar: z.boolean() });
const orderSchema: z.ZodType<DesiredEngineState> = z.object({
  fence: z.number(),
  models: z.array(z.string()),
  role: z.string(),
});

/**
 * Starts a simulated backend server.
 *
 * It answers chat completions with the tokens ` word0 word1 …`, and requests of plain services with
 * an echo of what was sent.
 *
 * @param settings Options of the server.
 * @returns The server, once it is listening.
 */
export async function startBackendServer(settings: BackendServerOptions): Promise<BackendServer> {
  const source = createTokenSource(settings);
  const checksFence = settings.checksFence ?? false;
  const requests = createRequestTable(source, { checksFence });
  const plain = createPlainService();
  let order: DesiredEngineState = { fence: 0, models: settings.loadedModels ?? [], role: "serve" };
  let address = settings.listen;
  const app = polka({
    onNoMatch: (request, response) => {
      void answerPlainCall(plain, request, response);
    },
  });
  const route = <T>(
    path: string,
    schema: z.ZodType<T>,
    handle: (body: T, response: ServerResponse) => void,
  ): void => {
    app.post(`/engine/${path}`, async (request, response) => {
      const body = await readJsonBody(request, schema);
      if (body === undefined) sendJson(response, { error: "bad body" }, { status: BAD_REQUEST });
      else handle(body, response);
    });
  };
  route("run", dispatchSchema, (dispatch, response) => {
    if (dispatch.path === CHAT_PATH) startModelRun(requests, dispatch, response);
    else runPlainRequest(plain, dispatch, response);
  });
  route("attach", attachSchema, ({ id, fromToken }, response) => {
    const subscriber = createSubscriber(response, requests, id);
    if (requests.attach(id, fromToken, subscriber)) return;
    sendJson(response, { error: `Request ${id} not found.` }, { status: NOT_FOUND });
  });
  route("cancel", idSchema, ({ id }, response) => {
    requests.cancel(id);
    sendJson(response, {});
  });
  route("ask", askSchema, ({ id, bar }, response) => {
    sendJson(response, { knowledge: plain.query(id, bar) ?? requests.query(id, bar) });
  });
  route("export", idSchema, ({ id }, response) => {
    const tokens = source.exportableTokens(id);
    if (tokens === undefined)
      sendJson(response, { error: "The request is not running." }, { status: NOT_FOUND });
    else sendJson(response, { cache: formatCacheName(address, id, tokens) });
  });
  route("report", z.unknown(), (_body, response) => {
    const worker = settings.worker ?? address;
    const takenAt = settings.clock.now();
    sendJson(response, { worker, takenAt, ...source.load(), loaded: order.models });
  });
  route("order", orderSchema, (newOrder, response) => {
    if (checksFence && newOrder.fence < order.fence) {
      const error = `Fencing number ${newOrder.fence} is older than ${order.fence}.`;
      sendJson(response, { error }, { status: CONFLICT });
      return;
    }
    order = newOrder;
    sendJson(response, {});
  });
  const listener = await listenHttp(settings.listen, (request, response) => {
    app.handler(request as polka.Request, response);
  });
  address = listener.address;
  return {
    ...listener,
    runs: requests.runs,
    order: () => order,
    close: async () => {
      source.close();
      await listener.close();
    },
  };
}

/**
 * Creates a token source with the configured token interval, or else one that runs the engine
 * model.
 */
function createTokenSource(settings: BackendServerOptions): TokenSource {
  const { clock, tokenInterval, capacity = DEFAULT_CAPACITY, timeScale = 1 } = settings;
  return tokenInterval === undefined
    ? createEngineTokenSource(clock, { capacity, timeScale })
    : createConstantRateSource(clock, tokenInterval);
}

/**
 * Reads a JSON body. Returns undefined if it is too long, not JSON, or doesn't match the schema.
 */
async function readJsonBody<T>(
  request: IncomingMessage,
  schema: z.ZodType<T>,
): Promise<T | undefined> {
  try {
    return schema.parse(JSON.parse(await readBody(request, MAX_BODY_BYTES)));
  } catch {
    return undefined;
  }
}

function startModelRun(requests: RequestTable, dispatch: Dispatch, response: ServerResponse): void {
  const refusal = requests.run(dispatch, createSubscriber(response, requests, dispatch.id));
  if (refusal !== undefined)
    sendJson(response, { error: refusal }, { status: httpStatusOf(refusal) });
}

function runPlainRequest(plain: PlainService, dispatch: Dispatch, response: ServerResponse): void {
  const answer = plain.run(dispatch);
  if (answer === undefined) sendJson(response, { error: "barred" }, { status: CONFLICT });
  else sendEvents(response, [{ kind: "finished", reason: "stop", body: answer }]);
}

/**
 * Answers an ordinary HTTP call to a plain service. The `x-request-id` header identifies
 * duplicates.
 */
async function answerPlainCall(
  plain: PlainService,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { method = "GET", url = "/", headers } = request;
  try {
    const body = await readBody(request, MAX_BODY_BYTES);
    const id = String(headers["x-request-id"] ?? randomUUID());
    const answer = plain.run({ id, service: "", path: `${method} ${url}`, body });
    if (answer === undefined) sendJson(response, { error: "barred" }, { status: CONFLICT });
    else sendJson(response, JSON.parse(answer));
  } catch (error) {
    sendJson(response, { error: String(error) }, { status: BAD_REQUEST });
  }
}

function httpStatusOf(refusal: RunRefusal): number {
  switch (refusal) {
    case "bad body":
      return BAD_REQUEST;
    case "too large":
      return 413;
    case "barred":
    case "old attempt":
    case "old fencing number":
      return CONFLICT;
  }
}

/**
 * Creates a subscriber that streams a request's events to the response until the connection closes.
 */
function createSubscriber(
  response: ServerResponse,
  requests: RequestTable,
  id: string,
): Subscriber {
  const subscriber: Subscriber = (events) => {
    sendEvents(response, events);
  };
  response.on("close", () => requests.unsubscribe(id, subscriber));
  return subscriber;
}

/** Writes events in one call, and ends the response after the final event. */
function sendEvents(response: ServerResponse, events: readonly EngineEvent[]): void {
  if (events.length === 0) return;
  if (!response.headersSent) response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(events.map((event) => `data: ${JSON.stringify(event)}\n\n`).join(""));
  if (events.some(({ kind }) => kind === "finished")) response.end();
}
