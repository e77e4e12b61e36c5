import type { Random } from "../../interface/index.ts";
import type { LoadRequest } from "./caller.ts";

/** A request and the time of its first attempt, in milliseconds since the start of the run. */
export interface ScheduledRequest {
  readonly startTime: number;
  readonly loadRequest: LoadRequest;
}

/** A class of requests in the load. */
export interface RequestStream {
  readonly name: string;
  readonly service: string;
  /** API keys of the client accounts that send the requests. */
  readonly clientKeys: readonly string[];
  /** Requests per second. */
  readonly requestsPerSecond: number;
  /** Minimum and maximum number of tokens of a response. */
  readonly responseTokens: { readonly min: number; readonly max: number };
  /** Share of the requests that must run at most once, from 0 to 1. */
  readonly atMostOnceShare: number;
  /** Number of words in the prefix that all prompts of a client account share. */
  readonly promptPrefixWords: number;
}

/** Options of {@linkcode scheduleLoad}. */
export interface LoadOptions {
  readonly random: Random;
  /** Milliseconds during which requests are sent. */
  readonly duration: number;
}

/**
 * Generates a random load. The requests of each stream are distributed uniformly over the duration at the
 * stream's mean rate.
 *
 * @returns The requests in order of time.
 */
export function scheduleLoad(
  streams: readonly RequestStream[],
  options: LoadOptions,
): ScheduledRequest[] {
  const scheduled = streams.flatMap((stream) => scheduleStream(stream, options));
  return scheduled.sort((a, b) => a.startTime - b.startTime);
}

function scheduleStream(
  stream: RequestStream,
  { random, duration }: LoadOptions,
): ScheduledRequest[] {
  const count = Math.round((stream.requestsPerSecond * duration) / 1_000);
  return Array.from({ length: count }, (_, index) => ({
    startTime: random.next() * duration,
    loadRequest: createRequest(stream, { random, index }),
  }));
}

function createRequest(
  stream: RequestStream,
  { random, index }: { random: Random; index: number },
): LoadRequest {
  const { min, max } = stream.responseTokens;
  const account = Math.floor(random.next() * stream.clientKeys.length);
  const clientKey = stream.clientKeys[account] ?? "";
  return {
    idempotencyKey: `${stream.name}-${index}-${Math.floor(random.next() * 1e9).toString(36)}`,
    service: stream.service,
    clientKey,
    prompt: createPrompt(stream, { account, index }),
    responseTokens: Math.floor(min + random.next() * (max - min + 1)),
    isRepeatable: random.next() >= stream.atMostOnceShare,
  };
}

function createPrompt(
  { promptPrefixWords, name }: RequestStream,
  { account, index }: { account: number; index: number },
): string {
  const prefix = Array.from(
    { length: promptPrefixWords },
    (_, word) => `${name}${account}w${word}`,
  );
  return `${prefix.join(" ")} number ${index}`;
}
