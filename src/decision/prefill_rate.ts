/**
 * Estimates how many prompt tokens a service's engines process per millisecond.
 *
 * Load: long prompts on engines of any speed. A first token waits mostly for the prompts that are
 * processed before it. With half of the true rate an instance would refuse requests that could be
 * in time; with twice the true rate it would accept requests that cannot. Symptom: refusals while
 * engines are idle, or first tokens that are later than estimated.
 *
 * Mechanism: the rate is estimated from first tokens, as the number of pending prompt tokens
 * divided by the time until the first token. Parts found in the engine's cache make a sample too
 * high; requests of other instances processed in the meantime make it too low. The median of many
 * samples is accurate enough to distinguish a wait of half a second from one of two seconds. The
 * estimate moves by a twentieth per sample, on a logarithmic scale, since its error is a factor.
 *
 * @module
 */

/** Estimated prompt processing rate of one service's engines. */
export interface PrefillRate {
  /** Tokens per millisecond. */
  readonly value: number;
  /**
   * Adds a sample: a first token arrived after `duration` milliseconds, with `tokens` pending prompt
   * tokens.
   */
  observe(sample: { tokens: number; duration: number }): void;
  /** Returns the expected milliseconds until a first token with this number of pending prompt tokens. */
  timeFor(tokens: number): number;
}

/** Tokens per millisecond before any sample: engines of common sizes process 50 to 110. */
const INITIAL_RATE = 60;
const MIN_RATE = 5;
const MAX_RATE = 1_000;
/**
 * Milliseconds that a first token takes besides prompt processing: the round trip and the first
 * decoding step.
 */
const FIXED_LATENCY = 35;
/** Samples with fewer tokens consist mostly of the fixed latency. */
const MIN_SAMPLE_TOKENS = 3_000;
const STEP_FACTOR = 1.05;

/** Creates an estimate without samples. */
export function createPrefillRate(): PrefillRate {
  let value = INITIAL_RATE;
  return {
    get value() {
      return value;
    },
    observe: ({ tokens, duration }) => {
      if (tokens < MIN_SAMPLE_TOKENS) return;
      const sampleRate = tokens / Math.max(1, duration - FIXED_LATENCY);
      value = Math.min(
        MAX_RATE,
        Math.max(MIN_RATE, sampleRate > value ? value * STEP_FACTOR : value / STEP_FACTOR),
      );
    },
    timeFor: (tokens) => FIXED_LATENCY + tokens / value,
  };
}
