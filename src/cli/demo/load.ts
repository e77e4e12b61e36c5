import type { Random } from "../../interface/index.ts";
import type { Errand } from "./caller.ts";

/** A request and the time of its first attempt, in milliseconds since the start of the run. */
export interface PlannedErrand {
  readonly at: number;
  readonly errand: Errand;
}

/** A class of requests in the load. */
export interface Stream {
  readonly name: string;
  readonly service: string;
  /** API keys of the client accounts that send the requests. */
  readonly clientKeys: readonly string[];
  /** Requests per second. */
  readonly rate: number;
  /** Minimum and maximum number of tokens of a response. */
  readonly answerTokens: { readonly least: number; readonly most: number };
  /** Share of the requests that must run at most once, from 0 to 1. */
  readonly onceShare: number;
  /** Number of words in the prefix that all prompts of a client account share. */
  readonly promptWords: number;
}

/** Options of {@linkcode planLoad}. */
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
export function planLoad(streams: readonly Stream[], options: LoadOptions): PlannedErrand[] {
  const planned = streams.flatMap((stream) => planStream(stream, options));
  return planned.sort((a, b) => a.at - b.at);
}

function planStream(stream: Stream, { random, duration }: LoadOptions): PlannedErrand[] {
  const count = Math.round((stream.rate * duration) / 1_000);
  return Array.from({ length: count }, (_, index) => ({
    at: random.next() * duration,
    errand: drawErrand(stream, { random, index }),
  }));
}

function drawErrand(stream: Stream, { random, index }: { random: Random; index: number }): Errand {
  const { least, most } = stream.answerTokens;
  const account = Math.floor(random.next() * stream.clientKeys.length);
  const clientKey = stream.clientKeys[account] ?? "";
  return {
    key: `${stream.name}-${index}-${Math.floor(random.next() * 1e9).toString(36)}`,
    service: stream.service,
    clientKey,
    prompt: promptOf(stream, { account, index }),
    answerTokens: Math.floor(least + random.next() * (most - least + 1)),
    repeatable: random.next() >= stream.onceShare,
  };
}

function promptOf(
  { promptWords, name }: Stream,
  { account, index }: { account: number; index: number },
): string {
  const shared = Array.from({ length: promptWords }, (_, word) => `${name}${account}w${word}`);
  return `${shared.join(" ")} number ${index}`;
}
