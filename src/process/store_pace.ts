import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";

/** Control calls a second that all entry instances together may make: a fraction of what the store takes. */
const SHARED_RATE = 100;
/** Least calls a second of one instance, so that a large fleet's members still make progress. */
const LEAST_RATE = 1;
/** Calls that may follow one another at once after a quiet time. */
const BURST = 8;
/** Bounds of the pause after failed calls, in milliseconds. */
const FIRST_BACK_OFF = 250;
const LONGEST_BACK_OFF = 4_000;

/** Holds the control calls of one instance on the store to its part of a rate that all share. */
export interface StorePace {
  /** Makes a call when its turn has come; one that ends unavailable lengthens the pauses. */
  run<T extends { readonly kind: string }>(call: () => Promise<T>): Promise<T>;
  /** Waits after a failure: full jitter under a bound that doubles. */
  backOff(): Promise<void>;
}

/**
 * Makes a pace. Without it, hundreds of instances that wait for a store to return would call it all at
 * once when it does, and bring it down again.
 */
export function createStorePace(parts: {
  readonly clock: Clock;
  readonly random: Random;
  /** How many entry instances share the rate. */
  readonly members: () => number;
}): StorePace {
  const { clock, random, members } = parts;
  let failures = 0;
  let tokens = BURST;
  let filledAt = clock.now();
  const take = (): number => {
    const rate = Math.max(LEAST_RATE, SHARED_RATE / Math.max(1, members())) / 1_000;
    const now = clock.now();
    tokens = Math.min(BURST, tokens + (now - filledAt) * rate);
    filledAt = now;
    tokens--;
    return tokens >= 0 ? 0 : -tokens / rate;
  };
  const backOff = async (): Promise<void> => {
    const bound = Math.min(LONGEST_BACK_OFF, FIRST_BACK_OFF * 2 ** failures);
    failures++;
    await sleep(clock, random.next() * bound);
  };
  return {
    run: async (call) => {
      const wait = take();
      if (wait > 0) await sleep(clock, wait);
      const outcome = await call();
      if (outcome.kind === "unavailable") await backOff();
      else failures = 0;
      return outcome;
    },
    backOff,
  };
}
