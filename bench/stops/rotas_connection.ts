/**
 * One kept connection of a client of the row `rotas`, and the requests on it.
 *
 * @module
 */
import { Agent, request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { wallNow } from "../soak/observation.ts";
import type { RotaRequest } from "./rotas_load.ts";
import { ROTA_HOST } from "./rotas_site.ts";

/** Why a request ended before its answer was complete. */
export enum EarlyEnd {
  /** Its client left as planned. */
  Left = "left",
  /** The deadline passed, or no event came for too long. */
  GaveUp = "gave up",
  /** The connection couldn't be opened. */
  NotConnected = "not connected",
}

/** What a client observed of a request. Times are in milliseconds since 1970. */
export interface ObservedAnswer {
  readonly id: string;
  /** `IP:PORT` of the instance. */
  readonly address: string;
  readonly route: string;
  /** Kind of client or load that sent it. */
  readonly source: string;
  readonly sentAt: number;
  readonly events: number;
  readonly bodyBytes: number;
  /** Number of requests on the connection before it. */
  readonly before: number;
  localPort: number | undefined;
  /** When the last byte of the request was handed to the system. */
  bodySentAt: number | undefined;
  headAt: number | undefined;
  lastByteAt: number | undefined;
  endedAt: number;
  status: number;
  /** Whether the connection ended as the framing of the answer says, with all events. */
  isWhole: boolean;
  isUnframed: boolean;
  lastEvent: number;
  receivedBytes: number;
  earlyEnd: EarlyEnd | undefined;
  /** Code of the connection's error. */
  error: string | undefined;
  /** Value of `Retry-After` in milliseconds. */
  retryAfter: number | undefined;
}

/** How a request is sent. Times are in milliseconds. */
export interface Sending {
  readonly id: string;
  readonly request: RotaRequest;
  readonly source: string;
  /** Time that the client takes to send the body. */
  readonly bodyTime: number;
  /** Time after which the client leaves; undefined if it waits. */
  readonly leavesAfter: number | undefined;
  /** Remaining time until the client's deadline. */
  readonly timeLeft: number;
  /** Id of the last event that the client has of an earlier attempt. */
  readonly lastEventId: number;
  readonly resumes: string | undefined;
}

/** A connection that is kept open between requests. */
export interface KeptConnection {
  readonly address: string;
  readonly isBusy: boolean;
  /** Whether it is open and idle. */
  readonly isIdle: boolean;
  send(sending: Sending): Promise<ObservedAnswer>;
  close(): void;
}

/** Time within which a connection must be open, in milliseconds. */
const CONNECT_TIMEOUT = 1_000;
/** Longest gap between two events, and before the first one, in milliseconds. */
const GAP_TIMEOUT = 3_200;
const BODY_PIECES = 8;
const MILLISECONDS_PER_SECOND = 1_000;
const EVENT = /^id: (\d+)\ndata: [^\n]*\n\n/gm;
/** Characters of a stream that contain its last complete event. */
const TAIL_LENGTH = 400;
const SUCCESS = 200;

/** Creates a connection, which its first request opens. */
export function createConnection(address: string): KeptConnection {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let isBusy = false;
  let count = 0;
  return {
    address,
    get isBusy() {
      return isBusy;
    },
    get isIdle() {
      return !isBusy && Object.keys(agent.freeSockets).length > 0;
    },
    send: async (sending) => {
      isBusy = true;
      const answer = await send({ agent, address, before: count }, sending);
      count++;
      isBusy = false;
      return answer;
    },
    close: () => agent.destroy(),
  };
}

interface Link {
  readonly agent: Agent;
  readonly address: string;
  readonly before: number;
}

function send({ agent, address, before }: Link, sending: Sending): Promise<ObservedAnswer> {
  const { id, source, timeLeft, leavesAfter } = sending;
  const { route, bodyBytes, events } = sending.request;
  const [host, port] = splitAddress(address);
  const observed: ObservedAnswer = {
    id,
    address,
    route: route.name,
    source,
    sentAt: wallNow(),
    events,
    bodyBytes,
    before,
    localPort: undefined,
    bodySentAt: undefined,
    headAt: undefined,
    lastByteAt: undefined,
    endedAt: 0,
    status: 0,
    isWhole: false,
    isUnframed: false,
    lastEvent: sending.lastEventId,
    receivedBytes: 0,
    earlyEnd: undefined,
    error: undefined,
    retryAfter: undefined,
  };
  return new Promise((resolve) => {
    const timers: NodeJS.Timeout[] = [];
    let hasEnded = false;
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      for (const timer of timers) clearTimeout(timer);
      clearTimeout(gapTimer);
      observed.endedAt = wallNow();
      resolve(observed);
    };
    const sent = request({
      host,
      port,
      agent,
      method: route.method,
      path: `/${route.name}/x`,
      headers: headersOf(sending),
    });
    const leave = (reason: EarlyEnd): void => {
      observed.earlyEnd ??= reason;
      sent.destroy();
      end();
    };
    let gapTimer: NodeJS.Timeout | undefined;
    const restartGapTimer = (): void => {
      clearTimeout(gapTimer);
      if (events > 0) gapTimer = setTimeout(() => leave(EarlyEnd.GaveUp), GAP_TIMEOUT);
    };
    timers.push(setTimeout(() => leave(EarlyEnd.GaveUp), timeLeft));
    if (leavesAfter !== undefined) {
      timers.push(setTimeout(() => leave(EarlyEnd.Left), leavesAfter));
    }
    sent.on("socket", (socket) => {
      observed.localPort = socket.localPort;
      if (!socket.connecting) return;
      const timer = setTimeout(() => leave(EarlyEnd.NotConnected), CONNECT_TIMEOUT);
      timers.push(timer);
      socket.once("connect", () => {
        clearTimeout(timer);
        observed.localPort = socket.localPort;
      });
    });
    sent.on("finish", () => {
      observed.bodySentAt = wallNow();
      restartGapTimer();
    });
    sent.on("error", (error: NodeJS.ErrnoException) => {
      observed.error ??= error.code ?? error.message;
      if (error.code === "ECONNREFUSED") observed.earlyEnd ??= EarlyEnd.NotConnected;
      if (observed.status === 0) end();
    });
    sent.on("response", (response) => {
      readAnswer(response, { observed, onEvent: restartGapTimer, onEnd: end });
    });
    void sendBody(sent, sending);
  });
}

function headersOf({ id, request, timeLeft, lastEventId, resumes }: Sending) {
  const { account, usage, prefix, bodyBytes } = request;
  return {
    Host: ROTA_HOST,
    "Api-Key": account.key,
    "X-Request-Id": id,
    "X-Request-Deadline": String(Math.max(1, Math.round(timeLeft))),
    ...(bodyBytes > 0 ? { "Content-Length": String(bodyBytes) } : {}),
    ...(usage === undefined ? {} : { "X-Model": "m", "X-Token-Usage": usage }),
    ...(prefix === undefined ? {} : { "X-Prompt-Prefix": prefix }),
    ...(lastEventId > 0 ? { "Last-Event-Id": String(lastEventId) } : {}),
    ...(resumes === undefined ? {} : { Resumes: resumes }),
  };
}

/** Sends the body in pieces if the client takes time for it. */
async function sendBody(
  sent: ClientRequest,
  { request: { bodyBytes }, bodyTime }: Sending,
): Promise<void> {
  if (bodyBytes === 0 || bodyTime === 0) {
    sent.end(Buffer.alloc(bodyBytes, "x"));
    return;
  }
  const piece = Math.ceil(bodyBytes / BODY_PIECES);
  for (let from = 0; from < bodyBytes && !sent.destroyed; from += piece) {
    sent.write(Buffer.alloc(Math.min(piece, bodyBytes - from), "x"));
    await sleep(systemClock, bodyTime / BODY_PIECES);
  }
  sent.end();
}

/** Reads an answer to its end. */
function readAnswer(
  response: IncomingMessage,
  {
    observed,
    onEvent,
    onEnd,
  }: {
    readonly observed: ObservedAnswer;
    readonly onEvent: () => void;
    readonly onEnd: () => void;
  },
): void {
  const { headers } = response;
  observed.headAt = wallNow();
  observed.status = response.statusCode ?? 0;
  const retryAfter = Number(headers["retry-after"]);
  if (Number.isFinite(retryAfter)) observed.retryAfter = retryAfter * MILLISECONDS_PER_SECOND;
  observed.isUnframed =
    headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
  let tail = "";
  response.setEncoding("latin1");
  response.on("data", (text: string) => {
    observed.receivedBytes += text.length;
    observed.lastByteAt = wallNow();
    tail = (tail + text).slice(-TAIL_LENGTH);
    const last = [...tail.matchAll(EVENT)].at(-1)?.[1];
    if (observed.status === SUCCESS && last !== undefined) observed.lastEvent = Number(last);
    onEvent();
  });
  response.on("error", (error: NodeJS.ErrnoException) => {
    observed.error ??= error.code ?? error.message;
  });
  response.on("close", () => {
    const hasAllEvents = observed.status !== SUCCESS || observed.lastEvent >= observed.events;
    observed.isWhole = response.complete && hasAllEvents;
    onEnd();
  });
}
