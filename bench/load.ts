import { build } from "hdr-histogram-js";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import type { Dispatch } from "../src/interface/index.ts";
import { BENCH_KEY, BenchService } from "./deployment.ts";
import type { Quantiles } from "./decision_cost.ts";

/** Somewhere that answers requests with a stream of tokens. */
export interface Target {
  /** `http://IP:PORT`. */
  readonly origin: string;
  readonly call: (number: number, tokens: number) => Call;
}

interface Call {
  readonly path: string;
  readonly body: string;
}

/** The entry instance's API for callers. */
export function entryTarget(address: string, service = BenchService.Quick): Target {
  return {
    origin: `http://${address}`,
    call: (_number, tokens) => ({
      path: "/v1/chat/completions",
      body: JSON.stringify(chatBody(service, tokens)),
    }),
  };
}

/** A backend server stand-in, called as an entry instance calls it. */
export function directTarget(origin: string): Target {
  return {
    origin,
    call: (number, tokens) => {
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

/** What came of one request. */
export interface Answer {
  readonly status: number;
  /** Milliseconds to the first bytes of the answer's body, and to its end. */
  readonly first: number;
  readonly whole: number;
  readonly bytes: number;
}

let number = 0;

/** Sends one request and reads its answer to the end. */
export async function ask(
  target: Target,
  { agent, tokens, signal }: { agent: Dispatcher; tokens: number; signal?: AbortSignal },
): Promise<Answer> {
  const { path, body } = target.call(number++, tokens);
  const begun = performance.now();
  const answer = await agent.request({
    origin: target.origin,
    path,
    method: "POST",
    headers: { "content-type": "application/json", authorization: `Bearer ${BENCH_KEY}` },
    body,
    ...(signal === undefined ? {} : { signal }),
  });
  let first = 0;
  let bytes = 0;
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    if (first === 0) first = performance.now() - begun;
    bytes += chunk.length;
  }
  return { status: answer.statusCode, first, whole: performance.now() - begun, bytes };
}

/** Makes a client that holds its connections, as many as it needs. */
export function createAgent(): Agent {
  return new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0, pipelining: 1 });
}

/** Latencies of a steady load. */
export interface SteadyLoad {
  readonly answered: number;
  readonly failed: number;
  /** Milliseconds to the answer's end. */
  readonly whole: Quantiles;
}

/** Microseconds are recorded, milliseconds reported. */
const SCALE = 1_000;

/**
 * Sends requests at a steady rate, whether or not earlier ones have been answered.
 *
 * @param rate Requests a second.
 * @param length Milliseconds.
 */
export async function steadyLoad(
  target: Target,
  { rate, length, tokens }: { rate: number; length: number; tokens: number },
): Promise<SteadyLoad> {
  const agent = createAgent();
  const latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9 });
  const pending: Promise<void>[] = [];
  let failed = 0;
  const begun = performance.now();
  const one = async (): Promise<void> => {
    const { status, whole } = await ask(target, { agent, tokens });
    if (status === 200) latencies.recordValue(Math.round(whole * SCALE));
    else failed++;
  };
  const count = (rate * length) / 1_000;
  for (let sent = 0; sent < count; sent++) {
    const wait = begun + (sent * 1_000) / rate - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
    const fail = (): void => {
      failed++;
    };
    pending.push(one().catch(fail));
  }
  await Promise.all(pending);
  await agent.close();
  const value = (percent: number): number => latencies.getValueAtPercentile(percent) / SCALE;
  const mean = Math.round(latencies.mean) / SCALE;
  return {
    answered: latencies.totalCount,
    failed,
    whole: { p50: value(50), p99: value(99), mean },
  };
}

/** How many tokens came in a time. */
export interface Throughput {
  readonly tokens: number;
  readonly failed: number;
  readonly milliseconds: number;
}

/** Keeps so many streams going, each of `tokens` tokens, for `length` milliseconds. */
export async function streamLoad(
  target: Target,
  { streams, length, tokens }: { streams: number; length: number; tokens: number },
): Promise<Throughput> {
  const agent = createAgent();
  const begun = performance.now();
  let answered = 0;
  let failed = 0;
  const stream = async (): Promise<void> => {
    while (performance.now() - begun < length) {
      const { status } = await ask(target, { agent, tokens });
      if (status === 200) answered++;
      else failed++;
    }
  };
  await Promise.all(Array.from({ length: streams }, stream));
  await agent.close();
  return { tokens: answered * tokens, failed, milliseconds: performance.now() - begun };
}
