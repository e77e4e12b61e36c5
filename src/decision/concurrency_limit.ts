/**
 * How many jobs a worker may run at once, learned from the times that its tokens take.
 *
 * Load that it answers: under continuous batching a backend server takes whatever it is sent and shares its
 * speed among all; too many make every token late, too few waste a machine that is paid for. The right
 * number depends on the machine, the model, the prompts and the server's health, and changes while it runs.
 * With a fixed number one would notice either gaps above the target at every peak, or a fleet that costs
 * half as much again as the work needs.
 *
 * The target between tokens is known, so the limit needs no search for the point where delay begins: it
 * follows the 95th percentile of the gaps against the target once a second. Above the target it falls in
 * proportion, at most by 30 in 100 at a time, from the load that was measured rather than from a limit that
 * was never reached. Under 85 in 100 of it the limit rises by 5 in 100, and only where it was nearly used:
 * an idle worker's short gaps prove nothing. Between the two it stays, a band wider than the measurement's
 * own error of 9 in 100, so that it doesn't swing. After a slow spell it grows by half a second until it is
 * back near the limit that last held. A worker whose limit has become so small that it is hardly used gives
 * no evidence that it is well again; after five seconds without any, the limit grows as if it were, and the
 * next tokens tell.
 *
 * The first token counts too: where a worker needs more than half of the target after dispatch, beyond the
 * prompt's own computing, the batch is too full of prompts.
 *
 * @module
 */
import type { MachinePolicy, ServicePolicy } from "./policy.ts";
import { createQuantileSketch } from "./quantile.ts";

/** The learned limit of one worker. */
export interface ConcurrencyLimit {
  /** Jobs that may run at once, from all entry instances; at least 1. */
  value(): number;
  /** The limit's first value, from the machine class alone. */
  readonly initial: number;
  /** A gap between two tokens, in milliseconds. */
  gap(milliseconds: number): void;
  /** Milliseconds from dispatch to first token, the prompt's own computing taken off. */
  firstToken(milliseconds: number): void;
  /** The load that the worker is believed to have, whenever it changes. */
  loaded(load: number): void;
  /** Adjusts the limit when a window is over; cheap to call often. */
  adjust(now: number): void;
}

const WINDOW = 1_000;
const PATIENCE = 4_000;
const ENOUGH_GAPS = 20;
const ENOUGH_FIRST_TOKENS = 5;
const PERCENTILE = 0.95;
const RISE_BELOW = 0.85;
const RISE = 0.05;
const RECOVERY = 1.5;
const GREATEST_FALL = 0.7;
/** A limit that fails is believed a little less with each window that it fails in. */
const PROVEN_DECAY = 0.95;
const NEARLY_USED = 0.8;
const FIRST_TOKEN_PART = 0.5;
/** Jobs that a full batch's speed carries at the target between tokens, less one in five for prompts. */
const PROMPT_ALLOWANCE = 0.8;
/** A machine class whose stated speed is four times too low is a fault in the settings. */
const GREATEST_RISE = 4;

/** Makes the limit of a worker that nothing is known of but its machine class. */
export function createConcurrencyLimit(
  machine: MachinePolicy,
  target: ServicePolicy["target"],
): ConcurrencyLimit {
  const perJob = target.betweenTokens / 1_000;
  const initial = Math.max(2, Math.floor(machine.tokensPerSecond * perJob * PROMPT_ALLOWANCE));
  const gaps = createQuantileSketch(Number.POSITIVE_INFINITY);
  const firstTokens = createQuantileSketch(Number.POSITIVE_INFINITY);
  let limit = initial;
  let proven = initial;
  let load = 0;
  let peak = 0;
  let windowEnd: number | undefined;

  const slowness = (): number => {
    const gap = (gaps.quantile(PERCENTILE) ?? 0) / target.betweenTokens;
    if (firstTokens.count < ENOUGH_FIRST_TOKENS) return gap;
    const allowed = target.firstToken * FIRST_TOKEN_PART;
    return Math.max(gap, (firstTokens.quantile(PERCENTILE) ?? 0) / allowed);
  };
  const fall = (slow: number): void => {
    const factor = Math.max(GREATEST_FALL, 1 / slow);
    proven = Math.max(1, proven * PROVEN_DECAY);
    limit = Math.max(1, Math.min(limit, Math.max(1, peak)) * factor);
  };
  const rise = (): void => {
    if (limit < proven) limit = Math.min(proven, limit * RECOVERY + 1);
    else if (peak >= NEARLY_USED * limit) limit += Math.max(1, RISE * limit);
    limit = Math.min(limit, initial * GREATEST_RISE);
    proven = Math.max(proven, Math.min(limit, peak));
  };
  const judge = (): void => {
    const slow = slowness();
    if (slow > 1) fall(slow);
    else if (slow < RISE_BELOW) rise();
    gaps.clear();
    firstTokens.clear();
    peak = load;
  };
  return {
    initial,
    value: () => Math.floor(limit),
    gap: (milliseconds) => gaps.add(milliseconds),
    firstToken: (milliseconds) => firstTokens.add(milliseconds),
    loaded: (now) => {
      load = now;
      peak = Math.max(peak, now);
    },
    adjust: (now) => {
      windowEnd ??= now + WINDOW;
      if (now < windowEnd) return;
      const enough = gaps.count >= ENOUGH_GAPS || firstTokens.count >= ENOUGH_FIRST_TOKENS;
      if (!enough && (limit >= proven || now < windowEnd + PATIENCE)) return;
      windowEnd = now + WINDOW;
      judge();
    },
  };
}
