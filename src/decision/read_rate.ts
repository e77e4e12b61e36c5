/**
 * How many prompt tokens a service's engines read a millisecond.
 *
 * Load that it answers: long prompts, before engines of any speed. What a first token waits for is mostly prompts
 * that are read before it, so with a rate that is half of the true one an instance would refuse requests that could
 * be in time, and with twice the true one take those that can't. One would notice refusals while engines idle, or
 * first tokens that come late though they were expected in time.
 *
 * The rate is learned from first tokens: what was there to be read, over how long it took. Parts that turned out to
 * be in the engine's cache make single samples too high, and tokens of other requests made meanwhile too low; the
 * median of many is near enough to tell a wait of half a second from one of two. It moves by a twentieth with each
 * sample, on a logarithmic scale, since it is off by factors.
 *
 * @module
 */

/** The rate of one service's engines. */
export interface ReadRate {
  /** Tokens a millisecond. */
  readonly value: number;
  /** A first token came after `took` milliseconds, with so many tokens to be read before it. */
  observe(sample: { tokens: number; took: number }): void;
}

/** Tokens a millisecond until any sample: engines of the usual sizes read 50 to 110. */
const FIRST = 60;
const LEAST = 5;
const GREATEST = 1_000;
/** What a first token takes beside reading: the way there and back and the first step, in milliseconds. */
const BESIDE_READING = 35;
/** Samples with less to be read are mostly what is beside it. */
const LEAST_TOKENS = 3_000;
const STEP = 1.05;

/** Makes a rate of which nothing is known. */
export function createReadRate(): ReadRate {
  let value = FIRST;
  return {
    get value() {
      return value;
    },
    observe: ({ tokens, took }) => {
      if (tokens < LEAST_TOKENS) return;
      const seen = tokens / Math.max(1, took - BESIDE_READING);
      value = Math.min(GREATEST, Math.max(LEAST, seen > value ? value * STEP : value / STEP));
    },
  };
}
