/**
 * HTTP callers of the soak test.
 *
 * Callers resolve instance addresses as a client library does, send requests, retry refused ones and record every
 * answer. Open-loop callers send at a fixed rate, whatever the answers, to overload an account or to crash backend
 * servers.
 *
 * @module
 */
import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { RequestKind, wallNow } from "./observation.ts";
import type { ObservedRequest } from "./observation.ts";
import {
  BREAK_RATIO,
  EVENTS_BEFORE_BREAK,
  isOfOneVersion,
  partAfter,
  resumptionHeaders,
} from "./stream_callers.ts";
import type { StreamPart } from "./stream_callers.ts";

/** `Host` header of all requests; all routes of the configuration have it. */
export const HOST = "desk.example";
/** API key of the client account that exceeds its quota. */
export const HOT_ACCOUNT_KEY = "key-of-the-regatta";
/** Request body that crashes each backend server that runs it. */
export const CRASHING_BODY = "a list that no worker survives";

/** Options of a caller. */
export interface CallerOptions {
  /** Addresses at which the instances serve address resolution. */
  readonly resolvers: readonly string[];
  readonly random: Random;
  /** Called with each request when its answer has ended. */
  readonly onRequest: (request: ObservedRequest) => void;
  /** Returns whether the caller continues. */
  readonly isActive: () => boolean;
}

/** A request to send. */
export interface SentRequest {
  readonly id: string;
  /** Address of the instance. */
  readonly instance: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** API key. */
  readonly key: string;
  readonly agent: Agent;
  /** Headers in addition to those of all requests. */
  readonly extraHeaders?: Readonly<Record<string, string>>;
  /** Number of events after which the caller closes the connection; by default it reads to the end. */
  readonly maxEvents?: number;
}

/** An answer, or the part of it that the caller received. */
export interface CallerResponse {
  /** HTTP status; 0 if no status was received. */
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
  /** Whether the caller gave up after its timeout. */
  readonly isGivenUp: boolean;
  /** Whether the caller closed the connection after `maxEvents` events. */
  readonly hasLeft: boolean;
}

/** Deadline that a caller sends with a request, in milliseconds. */
const DEADLINE = 2_000;
/** Time after which a caller gives up; somewhat more than the deadline, in milliseconds. */
const CLIENT_TIMEOUT = DEADLINE + 700;
/** Timeout of an address resolution or a readiness probe, in milliseconds. */
const RESOLVE_TIMEOUT = 1_000;
/** Maximum number of instances that are tried for one address resolution. */
const MAX_RESOLVE_ATTEMPTS = 3;
/** Maximum pause between two requests of a caller, in milliseconds. */
const MAX_PAUSE = 110;
/** Share of the requests for which a caller opens a new connection. */
const NEW_CONNECTION_RATIO = 0.1;
/** Maximum time for which a caller respects `Retry-After`, in milliseconds. */
const MAX_RETRY_AFTER = 700;
const MILLISECONDS_PER_SECOND = 1_000;
const SUCCESS = 200;
const PATHS: Readonly<Record<RequestKind, string>> = {
  [RequestKind.Safe]: "/safe/",
  [RequestKind.Once]: "/once/",
  [RequestKind.Stream]: "/stream/",
  [RequestKind.Crashing]: "/safe/list",
  [RequestKind.Hot]: "/once/",
};
const REGULAR_KINDS = [RequestKind.Safe, RequestKind.Once, RequestKind.Stream];
/** Statuses of a refusal that a caller retries. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/**
 * Sends one request after the other while `isActive` returns true.
 *
 * The caller caches resolved addresses for their time to live. It keeps its connection, even if the instance is no
 * longer resolved, until a request receives no status or the caller opens a new connection at random. A refused request
 * is retried once under another id.
 */
export async function runCaller(name: string, options: CallerOptions): Promise<void> {
  const { random, isActive } = options;
  const addresses = createAddressCache(options);
  let agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let instance: string | undefined;
  for (let count = 0; isActive(); count++) {
    if (instance === undefined || random.next() < NEW_CONNECTION_RATIO) {
      agent.destroy();
      agent = new Agent({ keepAlive: true, maxSockets: 1 });
      instance = await addresses.choose();
    }
    if (instance === undefined) continue;
    const kind = pickRandom(REGULAR_KINDS, random);
    const body = kind === RequestKind.Once ? `body ${name} ${count}` : "";
    const requestData = { id: `${name}-${count}`, kind, body, instance, agent };
    const breaks = kind === RequestKind.Stream && random.next() < BREAK_RATIO;
    const answer = await sendObserved(
      { ...requestData, ...(breaks ? { maxEvents: EVENTS_BEFORE_BREAK } : {}) },
      options.onRequest,
    );
    const { status, headers, part } = answer;
    if (part !== undefined && !answer.isWhole) {
      instance = await addresses.choose();
      if (instance === undefined) continue;
      const resumed = { ...requestData, id: `${name}-${count}-rest`, instance, previous: part };
      const rest = await sendObserved(resumed, options.onRequest);
      if (rest.status === 0) instance = undefined;
    } else if (status === 0) instance = undefined;
    else if (REFUSAL_STATUSES.has(status)) {
      const retryAfter = Number(headers["retry-after"] ?? 0) * MILLISECONDS_PER_SECOND;
      await sleep(systemClock, Math.min(retryAfter, MAX_RETRY_AFTER));
      const retry = await sendObserved(
        { ...requestData, id: `${name}-${count}-again` },
        options.onRequest,
      );
      if (retry.status === 0) instance = undefined;
    }
    await sleep(systemClock, random.next() * MAX_PAUSE);
  }
  agent.destroy();
}

/** Sends requests of one kind at a fixed rate, whatever their answers, each on a new connection. */
export async function runOpenLoopCaller(
  name: string,
  {
    kind,
    pause,
    ...options
  }: CallerOptions & { readonly kind: RequestKind; readonly pause: number },
): Promise<void> {
  const addresses = createAddressCache(options);
  const requests: Promise<unknown>[] = [];
  for (let count = 0; options.isActive(); count++) {
    const instance = await addresses.choose();
    if (instance === undefined) continue;
    const agent = new Agent();
    const body = kind === RequestKind.Crashing ? CRASHING_BODY : `body ${name} ${count}`;
    const answer = sendObserved(
      { id: `${name}-${count}`, kind, body, instance, agent },
      options.onRequest,
    );
    requests.push(answer.then(() => agent.destroy()));
    await sleep(systemClock, pause);
  }
  await Promise.all(requests);
}

/** A request whose answer is checked. */
interface CheckedRequest extends Pick<ObservedRequest, "id" | "kind" | "body" | "instance"> {
  readonly agent: Agent;
  /** The part of a stream that the caller already has. */
  readonly previous?: StreamPart;
  /** Number of events after which the caller closes the connection. */
  readonly maxEvents?: number;
}

/** Sends a request, checks its answer and reports both to `onRequest`. Returns the part of a stream that arrived. */
async function sendObserved(
  details: CheckedRequest,
  onRequest: (request: ObservedRequest) => void,
): Promise<CallerResponse & { readonly part: StreamPart | undefined }> {
  const { id, kind, body, instance, agent, previous, maxEvents } = details;
  const method = body === "" ? "GET" : "POST";
  const suffix = kind === RequestKind.Crashing ? "" : id;
  const path = `${PATHS[kind]}${suffix}`;
  const key = kind === RequestKind.Hot ? HOT_ACCOUNT_KEY : CLIENT_KEY;
  const sentAt = wallNow();
  const extraHeaders = resumptionHeaders(previous);
  const answer = await sendRequest({
    ...{ id, instance, method, path, body, key, agent, extraHeaders },
    ...(maxEvents === undefined ? {} : { maxEvents }),
  });
  const { status, headers, isWhole, isGivenUp, hasLeft } = answer;
  const isStream = kind === RequestKind.Stream && status === SUCCESS;
  const isRight =
    headers["x-request-id"] === id &&
    (isStream
      ? isOfOneVersion((previous?.text ?? "") + answer.body, { isWhole })
      : isAnswer(answer, `${method} ${path} ${body}`));
  onRequest({
    ...{
      id,
      kind,
      body,
      instance,
      sentAt,
      endedAt: wallNow(),
      status,
      isWhole,
      isRight,
      isGivenUp,
    },
    hasLeft,
    isResumed: previous !== undefined,
  });
  return { ...answer, part: isStream ? partAfter({ id, body: answer.body }, previous) : previous };
}

function isAnswer({ body, isWhole }: CallerResponse, expected: string): boolean {
  return isWhole ? body === expected : expected.startsWith(body);
}

/** Sends a request to an instance; resolves when the answer has ended, failed or timed out. */
export function sendRequest(sentRequest: SentRequest): Promise<CallerResponse> {
  const { id, instance, method, path, body, key, agent } = sentRequest;
  const { extraHeaders = {}, maxEvents = Infinity } = sentRequest;
  const [host, port] = splitAddress(instance);
  return new Promise((resolve) => {
    let text = "";
    let isGivenUp = false;
    let hasLeft = false;
    let headers: IncomingMessage["headers"] = {};
    let status = 0;
    const end = (isWhole: boolean): void => {
      clearTimeout(timer);
      resolve({ status, headers, body: text, isWhole: isWhole && !hasLeft, isGivenUp, hasLeft });
    };
    const sent = request(
      {
        host,
        port,
        path,
        method,
        agent,
        headers: {
          Host: HOST,
          "Api-Key": key,
          "X-Request-Id": id,
          "X-Request-Deadline": String(DEADLINE),
          ...extraHeaders,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        headers = response.headers;
        response.on("data", (chunk) => {
          if (hasLeft) return;
          text += String(chunk);
          hasLeft = text.split("\n\n").length > maxEvents;
          if (hasLeft) response.destroy();
        });
        response.on("error", () => undefined);
        response.on("close", () => end(response.complete));
      },
    );
    const timer = setTimeout(() => {
      isGivenUp = true;
      sent.destroy();
    }, CLIENT_TIMEOUT);
    sent.on("error", () => {
      if (status === 0) end(false);
    });
    sent.end(body);
  });
}

/** Resolves the instance addresses at an instance; undefined if it does not answer with status 200. */
export async function resolveAt(
  resolver: string,
): Promise<{ readonly addresses: string[]; readonly ttl_s: number } | undefined> {
  const answer = await get(resolver, `/resolve?name=${HOST}&region=region&zone=zone-a`);
  if (answer?.status !== SUCCESS) return undefined;
  return JSON.parse(answer.body) as { addresses: string[]; ttl_s: number };
}

/** Returns whether an instance reports that it is ready. */
export async function isReadyAt(address: string): Promise<boolean> {
  return (await get(address, "/ready"))?.status === SUCCESS;
}

/**
 * Sends a GET request on a new connection, since a kept connection may be closed at the same moment. Resolves to
 * undefined if no complete answer arrives in time.
 */
function get(
  address: string,
  path: string,
): Promise<Pick<CallerResponse, "status" | "body"> | undefined> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(RESOLVE_TIMEOUT);
    const sent = request({ host, port, path, agent: false, signal }, (response) => {
      let body = "";
      response.on("data", (chunk) => (body += String(chunk)));
      response.on("error", () => undefined);
      response.on("close", () => {
        resolve(response.complete ? { status: response.statusCode ?? 0, body } : undefined);
      });
    });
    // The instance is disturbed or has ended.
    sent.on("error", () => resolve(undefined));
    sent.end();
  });
}

/** Creates a cache of the resolved addresses. Expired addresses stay in use while no instance resolves new ones. */
function createAddressCache({ resolvers, random }: CallerOptions): {
  choose(): Promise<string | undefined>;
} {
  let cached: readonly string[] = [];
  let expiresAt = 0;
  return {
    choose: async () => {
      for (let attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS && wallNow() >= expiresAt; attempt++) {
        const resolved = await resolveAt(pickRandom(resolvers, random));
        if (resolved === undefined) continue;
        cached = resolved.addresses;
        expiresAt = wallNow() + resolved.ttl_s * MILLISECONDS_PER_SECOND;
      }
      return cached.length === 0 ? undefined : pickRandom(cached, random);
    },
  };
}

function pickRandom<T>(values: readonly T[], random: Random): T {
  const value = values[Math.floor(random.next() * values.length)];
  if (value === undefined) throw new Error("cannot pick from an empty list");
  return value;
}
