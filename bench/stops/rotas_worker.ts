/**
 * Workers of the row `rotas`: engines that answer streams, and plain ones with a few slots. Both are sound.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { reserveLoopbackAddress } from "../../src/connection/testing/loopback_address.ts";
import { endWithConnection } from "../../platform/testing/framed_response.ts";
import type { Random } from "../../src/interface/index.ts";
import { wallNow } from "../soak/observation.ts";
import type { PacedRun } from "./paced_worker.ts";
import { createEngine } from "./rotas_engine.ts";
import type { Engine, EngineRun } from "./rotas_engine.ts";
import { drawSize } from "./rotas_load.ts";
import { ENGINE, PLAIN, ROTA_ROUTES, RotaService } from "./rotas_site.ts";

/** A run of a request at a worker. */
export interface RotaRun extends PacedRun {
  readonly service: RotaService;
  /** Port of the instance's end of the connection. */
  readonly peerPort: number | undefined;
  readonly isUnframed: boolean;
  /** Whether the worker closes its connection after the answer. */
  readonly isLast: boolean;
  eventsSent: number;
  /** Whether the worker itself broke off the answer. */
  isBrokenOff: boolean;
}

/** Place and kind of a worker. */
export interface RotaWorkerPlace {
  readonly id: string;
  readonly service: RotaService;
  readonly zone: string;
  /** Factor of the times of an engine. */
  readonly slowness: number;
}

/** A worker. */
export interface RotaWorker extends RotaWorkerPlace {
  readonly address: string;
  /** Whether it answers nothing; its answers go on once this is reset. */
  isSilent: boolean;
  /** Whether its answers announce that it leaves. */
  isLeaving: boolean;
  /** Number of requests that it is working on. */
  readonly running: number;
  /** Returns its entry in the store. */
  entry(overrides?: object): object;
  close(): Promise<void>;
}

/** Dependencies of {@linkcode startRotaWorker}. */
export interface RotaWorkerParts {
  readonly random: Random;
  readonly onRun: (run: RotaRun) => void;
}

/** Share of the answers that have neither a length nor chunks. */
const UNFRAMED_RATIO = 0.04;
/** Share of the answers after which the worker closes the connection. */
const LAST_RATIO = 0.02;
const STARTED_AT = 1_000;
const IDLE_TIMEOUT = 20_000;
/** Bytes of the data of an event. */
const EVENT_BYTES = 50;
/** Interval of the check whether a silent worker goes on, in milliseconds. */
const SILENCE_POLL_INTERVAL = 20;
const FAILED = 500;
const MISDIRECTED = 421;
const FULL = 503;

interface WorkerState {
  isSilent: boolean;
  isLeaving: boolean;
  running: number;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: Record<string, string>;
  readonly run: RotaRun;
}

/** Starts a worker at a free loopback address. */
export async function startRotaWorker(
  place: RotaWorkerPlace,
  { random, onRun }: RotaWorkerParts,
): Promise<RotaWorker> {
  const state: WorkerState = { isSilent: false, isLeaving: false, running: 0 };
  const engine = createEngine(place.slowness);
  const answer =
    place.service === RotaService.Engine
      ? (exchange: Exchange) => sendStream(engine, exchange)
      : createPlainAnswers(random, () => engine.isSilent);
  const open = new Set<RotaRun>();
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    request.resume();
    // The caller may leave before its body has arrived.
    await Promise.race([once(request, "end"), once(response, "close")]);
    if (response.destroyed) return;
    if (request.url === "/report") {
      setTimeout(() => response.end(JSON.stringify(reportOf(engine))), ENGINE.reportLag);
      return;
    }
    const id = String(request.headers["x-request-id"]);
    if (request.headers["x-expect-instance"] !== place.id) {
      const headers = { "X-Request-Id": id, "X-Not-Executed": "1" };
      response.writeHead(MISDIRECTED, headers).end();
      return;
    }
    const run: RotaRun = {
      id,
      worker: place.id,
      service: place.service,
      peerPort: request.socket.remotePort,
      startedAt: wallNow(),
      endedAt: Infinity,
      isWhole: false,
      isUnframed: random.next() < UNFRAMED_RATIO,
      isLast: state.isLeaving || random.next() < LAST_RATIO,
      eventsSent: 0,
      isBrokenOff: false,
    };
    if (run.isUnframed) endWithConnection(response);
    if (run.isLast) response.shouldKeepAlive = false;
    const headers = {
      "X-Request-Id": id,
      "X-Response-Signature": `${place.id}.${id}`,
      ...(state.isLeaving ? { "Server-Leaving": "1" } : {}),
    };
    if (!answer({ request, response, headers, run })) {
      response.writeHead(FULL, { "X-Request-Id": id, "X-Not-Executed": "1" }).end();
      return;
    }
    onRun(run);
    open.add(run);
    state.running++;
    response.on("close", () => {
      state.running--;
      open.delete(run);
      run.endedAt = wallNow();
      run.isWhole = response.writableFinished;
    });
  };
  const server = createServer({ keepAliveTimeout: IDLE_TIMEOUT }, (request, response) => {
    void serve(request, response);
  });
  const address = reserveLoopbackAddress();
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return Object.defineProperties(state as unknown as RotaWorker, {
    ...constants({ ...place, address }),
    isSilent: {
      get: () => engine.isSilent,
      set: (isSilent: boolean) => {
        engine.isSilent = isSilent;
      },
    },
    entry: { value: (overrides: object = {}) => entryOf({ ...place, address }, overrides) },
    close: {
      value: async () => {
        for (const run of open) run.isBrokenOff = true;
        engine.close();
        await closeServer(server);
      },
    },
  });
}

function constants(values: object): PropertyDescriptorMap {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]): [string, PropertyDescriptor] => [
      name,
      { value: value as unknown },
    ]),
  );
}

/** Creates a function that answers after a time of work in one of a few slots; it returns false if all are taken. */
function createPlainAnswers(
  random: Random,
  isSilent: () => boolean,
): (exchange: Exchange) => boolean {
  const waiting: (() => void)[] = [];
  let busy = 0;
  const startNext = (): void => {
    if (busy >= PLAIN.slots) return;
    const next = waiting.shift();
    if (next === undefined) return;
    busy++;
    next();
  };
  return (exchange) => {
    if (busy >= PLAIN.slots && waiting.length >= PLAIN.queue) return false;
    const work = drawSize(random, PLAIN.workTime);
    const end = (): void => {
      if (isSilent()) {
        setTimeout(end, SILENCE_POLL_INTERVAL);
        return;
      }
      sendPlain(exchange, random);
      busy--;
      startNext();
    };
    waiting.push(() => void setTimeout(end, work));
    startNext();
    return true;
  };
}

function sendPlain({ request, response, headers }: Exchange, random: Random): void {
  if (response.destroyed) return;
  const route = ROTA_ROUTES.find(({ name }) => request.url?.startsWith(`/${name}/`));
  const isFailed = random.next() < (route?.errorShare ?? 0);
  const body = "x".repeat(drawSize(random, PLAIN.answerBytes));
  response.writeHead(isFailed ? FAILED : 200, headers);
  response.end(body);
}

/** Answers with a stream at the pace of the engine; returns false if the engine is full. */
function sendStream(engine: Engine, { request, response, headers, run }: Exchange): boolean {
  const declared = Number(String(request.headers["x-token-usage"]).split(",")[1]);
  const last = Math.max(1, Math.round(declared / ENGINE.tokensPerEvent));
  let next = Number(request.headers["last-event-id"] ?? 0);
  const engineRun: EngineRun = {
    prefix: String(request.headers["x-prompt-prefix"]),
    events: last - next,
    onEvent: (isLast) => {
      if (response.destroyed) return;
      if (!response.headersSent) {
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
      }
      next++;
      run.eventsSent++;
      const text = `id: ${next}\ndata: ${"x".repeat(EVENT_BYTES)}\n\n`;
      if (isLast) response.end(text);
      else response.write(text);
    },
  };
  if (!engine.add(engineRun)) return false;
  response.on("close", () => engine.remove(engineRun));
  return true;
}

function reportOf({ load: { running, waiting, usedTokens } }: Engine): object {
  return {
    stage: "unified",
    models: [{ name: "m", version: 1, adapters: [] }],
    busy: false,
    sequence: 0,
    waiting,
    running,
    kv_used: usedTokens,
    kv_total: ENGINE.memoryTokens,
    handles: 0,
    born: STARTED_AT,
  };
}

function entryOf(
  { service, zone, address }: RotaWorkerPlace & { readonly address: string },
  overrides: object,
): object {
  return {
    service,
    address,
    zone,
    version: "v1",
    slots: service === RotaService.Engine ? ENGINE.slots : PLAIN.slots,
    state: "ready",
    cold_remaining_ms: 0,
    stage: "unified",
    models: [{ name: "m", version: 1, adapters: [] }],
    sequence: 1,
    born: STARTED_AT,
    ...overrides,
  };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
