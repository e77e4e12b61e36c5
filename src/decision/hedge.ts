/**
 * Decides whether a lookup with a late first token is also sent to a second worker.
 *
 * Load: a worker stalls for a second (a long prompt ahead, a pause) while the others are healthy.
 * Its lookups miss their target although other workers have free slots. Symptom: a p99 far above
 * the p95 at moderate load.
 *
 * Mechanism: a hedge is sent if a first token takes longer than 95 in 100 do and more than half of
 * its target has passed. A token that arrives earlier needs no second run, and with half of the
 * target left, a healthy worker can still meet it. A hedge is paid from the retry budget, so hedges
 * stop when the whole service is slow. Only repeatable lookups are hedged, because repeating them
 * costs little, and only on a worker below three quarters of its limit: under saturation a hedge
 * would take the slot of another request's first attempt.
 *
 * @module
 */
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";

/** The percentile of the time to first token after which a hedge is due. */
export const HEDGE_PERCENTILE = 0.95;
/** The fraction of the first-token target that passes before a hedge. */
export const HEDGE_TARGET_FRACTION = 0.5;
/** The fraction of its limit above which a worker gets no hedges. */
export const MAX_HEDGE_UTILIZATION = 0.75;
/** Minimum number of first tokens before their percentile is used. */
export const MIN_FIRST_TOKENS = 40;

/** Returns whether the job may be hedged at all. */
export function canHedge(job: Job): boolean {
  return job.repeatable && !job.detached && job.lane === Lane.Lookup;
}

/**
 * Returns the milliseconds until a hedge is due; 0 or less if it is due now.
 *
 * @param options `typical` is the time in milliseconds from dispatch after which a hedge is due:
 * the percentile of the time to first token, but at least {@linkcode HEDGE_TARGET_FRACTION} of its
 * target.
 */
export function hedgeDelay(options: {
  now: number;
  dispatchedAt: number;
  typical: number;
}): number {
  return options.dispatchedAt + options.typical - options.now;
}
