import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { reserveLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";
import { endWithConnection } from "../../platform/testing/framed_response.ts";
import { wallNow } from "../soak/observation.ts";

/** Milliseconds that a worker takes for one token of an answer. */
export const TOKEN_TIME = 20;
/** Path prefix of the requests that are answered with a stream of events. */
export const STREAM_PATH = "/stream/";

/** Header in which a request states the bytes of padding of each event of its stream, or of its whole answer. */
export const PADDING_HEADER = "x-padding";

const TOKENS_PER_EVENT = 4;
const STARTED_AT = 1_000;
const SLOTS = 64;

/** A run of a request at a worker. */
export interface PacedRun {
  readonly id: string;
  readonly worker: string;
  readonly startedAt: number;
  /** Infinity while it is in progress. */
  endedAt: number;
  /** Whether its answer was written completely. */
  isWhole: boolean;
}

/** A sound worker whose answers take a fixed time per declared output token. */
export interface PacedWorker {
  readonly id: string;
  readonly address: string;
  /** Whether it writes nothing; its answers go on once this is reset. */
  isSilent: boolean;
  /** Whether its answers have no length and end with their connections. */
  isUnframed: boolean;
  /** Bytes of padding in each event; a request may state another size. */
  padding: number;
  /** Returns its entry in the store. */
  entry(overrides?: object): object;
  close(): Promise<void>;
}

/** Starts a worker at a free loopback address; `onRun` is called at the start of each run. */
export async function startPacedWorker(
  id: string,
  service: string,
  onRun: (run: PacedRun) => void,
): Promise<PacedWorker> {
  const state = { isSilent: false, isUnframed: false, padding: 0 };
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    request.resume();
    await once(request, "end");
    if (request.url === "/report") {
      response.end(JSON.stringify({ stage: "unified", born: STARTED_AT }));
      return;
    }
    const requestId = String(request.headers["x-request-id"]);
    if (request.headers["x-expect-instance"] !== id) {
      response.writeHead(421, { "X-Request-Id": requestId, "X-Not-Executed": "1" }).end();
      return;
    }
    const run = {
      id: requestId,
      worker: id,
      startedAt: wallNow(),
      endedAt: Infinity,
      isWhole: false,
    };
    onRun(run);
    response.on("close", () => {
      run.endedAt = wallNow();
      run.isWhole = response.writableFinished;
    });
    sendAnswer({ request, response, state, headers: answerHeaders(id, requestId) });
  };
  const server = createServer((request, response) => void serve(request, response));
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return Object.assign(state, {
    id,
    address,
    entry: (overrides = {}) => ({
      service,
      address,
      zone: "zone-a",
      version: "v1",
      slots: SLOTS,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: 1,
      born: STARTED_AT,
      ...overrides,
    }),
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  });
}

function answerHeaders(worker: string, requestId: string): Record<string, string> {
  return { "X-Request-Id": requestId, "X-Response-Signature": worker };
}

/** Sends an answer at the pace of its tokens: a stream event by event, any other at its end. */
function sendAnswer({
  request,
  response,
  state,
  headers,
}: {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly state: Pick<PacedWorker, "isSilent" | "isUnframed" | "padding">;
  readonly headers: Record<string, string>;
}): void {
  const tokens = outputTokens(request);
  const padding = Number(request.headers[PADDING_HEADER] ?? state.padding);
  const isStream = request.url?.startsWith(STREAM_PATH) === true;
  if (state.isUnframed) endWithConnection(response);
  if (isStream) response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
  const startedAt = performance.now();
  let sent = 0;
  let silence = 0;
  const sendNext = (): void => {
    if (response.destroyed) return;
    if (state.isSilent) {
      silence += TOKEN_TIME;
      setTimeout(sendNext, TOKEN_TIME);
      return;
    }
    sent = Math.min(tokens, sent + TOKENS_PER_EVENT);
    if (isStream) response.write(eventText(sent, padding));
    if (sent < tokens) {
      scheduleNext();
      return;
    }
    if (isStream) response.end();
    else
      response
        .writeHead(200, headers)
        .end(`${request.method} ${request.url}${"x".repeat(padding)}`);
  };
  const scheduleNext = (): void => {
    const dueAt = startedAt + silence + Math.min(tokens, sent + TOKENS_PER_EVENT) * TOKEN_TIME;
    setTimeout(sendNext, dueAt - performance.now());
  };
  scheduleNext();
}

function eventText(tokens: number, padding: number): string {
  const comment = padding === 0 ? "" : `: ${"x".repeat(padding)}\n`;
  return `${comment}id: ${tokens}\ndata: ${tokens} tokens\n\n`;
}

function outputTokens({ headers }: IncomingMessage): number {
  const tokens = Number(String(headers["x-token-usage"]).split(",")[1]);
  return Number.isFinite(tokens) && tokens > 0 ? tokens : 1;
}
