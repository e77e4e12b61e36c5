/**
 * Whether a lookup whose first token is late is sent to a second worker as well.
 *
 * Load that it answers: a worker stalls for a second (a long prompt ahead, a pause) while its peers are
 * well. The lookups on it miss their target though there is room elsewhere. One would notice a p99 far
 * above the p95 at moderate load.
 *
 * A hedge goes out when a first token takes longer than 95 in 100 do and over half of its target has gone:
 * one that comes in time needs no second run, and from half of the target on a healthy worker still meets
 * it. It pays from the retry budget, so that hedges stop by themselves when the whole service is slow. Only
 * lookups, whose doubled work is small, that may be repeated, and only onto a worker under three quarters of
 * its limit: under saturation a hedge takes the place of somebody's first try.
 *
 * @module
 */
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";

/** The percentile of the time to first token after which a hedge is due. */
export const HEDGE_PERCENTILE = 0.95;
/** The part of the first token's target that passes before a hedge. */
export const HEDGE_TARGET_FRACTION = 0.5;
/** A worker used beyond this part of its limit takes no hedges. */
export const MAX_HEDGE_UTILIZATION = 0.75;
/** First tokens that must have been seen before their percentile means anything. */
export const MIN_FIRST_TOKENS = 40;

/** Says whether hedges are made for such a job at all. */
export function canHedge(job: Job): boolean {
  return job.repeatable && !job.detached && job.lane === Lane.Lookup;
}

/**
 * Milliseconds until a hedge is due; 0 or less when it is due now.
 *
 * @param options `typical`: the percentile of the time to first token after dispatch.
 */
export function hedgeDelay(options: {
  now: number;
  dispatchedAt: number;
  typical: number;
}): number {
  return options.dispatchedAt + options.typical - options.now;
}
