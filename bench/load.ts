import { build } from "hdr-histogram-js";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import type { Dispatch } from "../src/interface/index.ts";
import { BENCH_KEY, BenchService } from "./deployment.ts";
import type { Quantiles } from "./decision_cost.ts";

/** Server that answers requests with a stream of tokens. */
export interface Target {
  /** `http://IP:PORT`. */
  readonly origin: string;
  /** Builds a request; `number` makes its id unique, `tokens` is the length of the answer. */
  readonly createRequest: (number: number, tokens: number) => RequestParts;
}

interface RequestParts {
  readonly path: string;
  readonly body: string;
}

/** Returns the target for the public API of an entry instance at `IP:PORT`. */
export function entryTarget(address: string, service = BenchService.Quick): Target {
  return {
    origin: `http://${address}`,
    createRequest: (_number, tokens) => ({
      path: "/v1/chat/completions",
      body: JSON.stringify(chatBody(service, tokens)),
    }),
  };
}

/** Returns the target for a backend server stand-in, called with the protocol of an entry instance. */
export function directTarget(origin: string): Target {
  return {
    origin,
    createRequest: (number, tokens) => {
      const dispatch: Dispatch = {
        id: `direct-${process.pid}-${number}`,
        attempt: 1,
        service: BenchService.Quick,
        path: "/v1/chat/completions",
        body: JSON.stringify(chatBody(BenchService.Quick, tokens)),
        tokens: [],
        priority: 0,
        timeLeft: 60_000,
      };
      return { path: "/engine/run", body: JSON.stringify(dispatch) };
    },
  };
}

function chatBody(service: BenchService, tokens: number): object {
  const messages = [{ role: "user", content: "Is chip 1107 in class D21? ".repeat(8) }];
  return { model: service, stream: true, max_tokens: tokens, messages };
}

/** Status, timing and body size of one response. */
export interface ResponseTiming {
  /** HTTP status. */
  readonly status: number;
  /** Milliseconds until the first bytes of the body; 0 for an empty body. */
  readonly timeToFirstByte: number;
  /** Milliseconds until the end of the body. */
  readonly totalTime: number;
  /** Size of the body. */
  readonly bytes: number;
}

let nextNumber = 0;

/**
 * Sends one request and reads its answer to the end.
 *
 * @throws If the connection fails or `signal` is aborted.
 */
export async function sendRequest(
  target: Target,
  { agent, tokens, signal }: { agent: Dispatcher; tokens: number; signal?: AbortSignal },
): Promise<ResponseTiming> {
  const { path, body } = target.createRequest(nextNumber++, tokens);
  const startedAt = performance.now();
  const response = await agent.request({
    origin: target.origin,
    path,
    method: "POST",
    headers: { "content-type": "application/json", authorization: `Bearer ${BENCH_KEY}` },
    body,
    ...(signal === undefined ? {} : { signal }),
  });
  let timeToFirstByte = 0;
  let bytes = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    if (timeToFirstByte === 0) timeToFirstByte = performance.now() - startedAt;
    bytes += chunk.length;
  }
  return {
    status: response.statusCode,
    timeToFirstByte,
    totalTime: performance.now() - startedAt,
    bytes,
  };
}

/** Creates an HTTP client with unlimited keep-alive connections and no timeouts. */
export function createAgent(): Agent {
  return new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0, pipelining: 1 });
}

/** Result of a steady load. */
export interface SteadyLoadResult {
  /** Number of requests answered with status 200. */
  readonly answered: number;
  /** Number of other requests. */
  readonly failed: number;
  /** Time until the end of the answer, in milliseconds. */
  readonly totalTime: Quantiles;
}

/** The histogram records microseconds; the result states milliseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Sends requests at a steady rate, without waiting for earlier answers.
 *
 * @param rate Requests per second.
 * @param length Duration in milliseconds.
 */
export async function runSteadyLoad(
  target: Target,
  { rate, length, tokens }: { rate: number; length: number; tokens: number },
): Promise<SteadyLoadResult> {
  const agent = createAgent();
  const latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9 });
  const pending: Promise<void>[] = [];
  let failed = 0;
  const startedAt = performance.now();
  const sendOne = async (): Promise<void> => {
    const { status, totalTime } = await sendRequest(target, { agent, tokens });
    if (status === 200) latencies.recordValue(Math.round(totalTime * MICROSECONDS_PER_MILLISECOND));
    else failed++;
  };
  const count = (rate * length) / 1_000;
  for (let sent = 0; sent < count; sent++) {
    const wait = startedAt + (sent * 1_000) / rate - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    const countFailure = (): void => {
      failed++;
    };
    pending.push(sendOne().catch(countFailure));
  }
  await Promise.all(pending);
  await agent.close();
  const quantile = (percent: number): number =>
    latencies.getValueAtPercentile(percent) / MICROSECONDS_PER_MILLISECOND;
  const mean = Math.round(latencies.mean) / MICROSECONDS_PER_MILLISECOND;
  return {
    answered: latencies.totalCount,
    failed,
    totalTime: { p50: quantile(50), p99: quantile(99), mean },
  };
}

/** Result of a streaming load. */
export interface StreamLoadResult {
  /** Tokens of all whole answers. */
  readonly tokens: number;
  /** Number of failed requests. */
  readonly failed: number;
  /** Time from the start until the last answer ended. */
  readonly milliseconds: number;
}

/** Runs `streams` concurrent streams, each of `tokens` tokens, for `length` milliseconds. */
export async function runStreamLoad(
  target: Target,
  { streams, length, tokens }: { streams: number; length: number; tokens: number },
): Promise<StreamLoadResult> {
  const agent = createAgent();
  const startedAt = performance.now();
  let answered = 0;
  let failed = 0;
  const runStream = async (): Promise<void> => {
    while (performance.now() - startedAt < length) {
      const { status } = await sendRequest(target, { agent, tokens });
      if (status === 200) answered++;
      else failed++;
    }
  };
  await Promise.all(Array.from({ length: streams }, runStream));
  await agent.close();
  return { tokens: answered * tokens, failed, milliseconds: performance.now() - startedAt };
}
