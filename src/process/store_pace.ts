import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";

/**
 * Maximum control calls per second of all entry instances together: a fraction of what the store
 * can handle.
 */
const SHARED_RATE = 100;
/**
 * Minimum calls per second of one instance, so that members of a large fleet still make progress.
 */
const MIN_RATE = 1;
/** Maximum number of calls in a burst after an idle time. */
const BURST = 8;
/** Minimum and maximum bound of the backoff after failed calls, in milliseconds. */
const MIN_BACKOFF = 250;
const MAX_BACKOFF = 4_000;

/** Limits the control calls of one instance to its share of a common rate. */
export interface StoreThrottle {
  /** Makes a call when the rate permits it. An unavailable store increases the backoff. */
  run<T extends { readonly kind: string }>(call: () => Promise<T>): Promise<T>;
  /** Waits after a failure, with full jitter below a bound that doubles each time. */
  backOff(): Promise<void>;
}

/**
 * Creates the limiter. Without it, hundreds of instances waiting for the store would all call it at
 * the moment it recovers, and overload it again.
 */
export function createStorePace(parts: {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the number of entry instances that share the rate. */
  readonly members: () => number;
}): StoreThrottle {
  const { clock, random, members } = parts;
  let failures = 0;
  let tokens = BURST;
  let refilledAt = clock.now();
  const reserve = (): number => {
    const rate = Math.max(MIN_RATE, SHARED_RATE / Math.max(1, members())) / 1_000;
    const now = clock.now();
    tokens = Math.min(BURST, tokens + (now - refilledAt) * rate);
    refilledAt = now;
    tokens--;
    return tokens >= 0 ? 0 : -tokens / rate;
  };
  const backOff = async (): Promise<void> => {
    const maxDelay = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** failures);
    failures++;
    await sleep(clock, random.next() * maxDelay);
  };
  return {
    run: async (call) => {
      const wait = reserve();
      if (wait > 0) await sleep(clock, wait);
      const outcome = await call();
      if (outcome.kind === "unavailable") await backOff();
      else failures = 0;
      return outcome;
    },
    backOff,
  };
}
