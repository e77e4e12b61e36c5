import type { Random } from "../../interface/index.ts";
import type { Errand } from "./caller.ts";

/** An errand with the time at which its caller begins, in milliseconds from the start. */
export interface PlannedErrand {
  readonly at: number;
  readonly errand: Errand;
}

/** One kind of work in the load. */
export interface Stream {
  readonly name: string;
  readonly service: string;
  readonly clientKeys: readonly string[];
  /** Requests a second. */
  readonly rate: number;
  readonly answerTokens: { readonly least: number; readonly most: number };
  /** Part of the requests that may not be repeated. */
  readonly onceShare: number;
  /** Prompts share a prefix within a client account. */
  readonly promptWords: number;
}

/** What the load is drawn with. */
export interface LoadOptions {
  readonly random: Random;
  /** Milliseconds over which requests arrive. */
  readonly duration: number;
}

/**
 * Draws a load: in each stream, requests come at random moments at the stream's rate.
 *
 * @returns The errands, in order of time.
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
