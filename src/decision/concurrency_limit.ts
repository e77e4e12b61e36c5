/**
 * Learns how many jobs a worker may run at once from the gaps between its tokens.
 *
 * Load: under continuous batching a backend server accepts whatever it is sent and shares its speed
 * among all jobs. Too many jobs make every token late; too few leave a paid machine idle. The right
 * number depends on the machine, the model, the prompts and the server's health, and it changes
 * over time. A fixed number would cause gaps above the target at every peak, or a fleet that costs
 * half as much again as the work needs.
 *
 * Adjustment: the target between tokens is known, so the limit needs no search for the point at
 * which delay begins. Once a second the fraction of gaps above the target is checked. Older gaps
 * have less weight, because a long prompt lengthens the gaps for a second or two and the target
 * allows that for 5 in 100. Above 5 in 100 the limit is reduced in proportion to the excess, by at
 * most 30 in 100 at a time and from the measured load if that is lower than the limit. If fewer
 * than 5 in 100 gaps exceed 85 in 100 of the target, the limit grows by 5 in 100, but only if all
 * slots but one were in use, because the short gaps of a half idle worker prove nothing. Between
 * the two it stays, which prevents oscillation.
 *
 * Recovery: after a slow period the limit grows by half each second until it is near the last
 * sustained limit. A worker with a limit so small that it is hardly used gives no samples; after
 * five seconds without enough of them the limit grows anyway, and the next tokens show whether that
 * was right.
 *
 * Server queue: a server may queue the jobs that exceed its batch. Its gaps then stay short while
 * first tokens wait in a queue that ignores shares and deadlines. Two reports in a row with waiting
 * jobs (in one report they may have arrived in the middle of a step) therefore set the limit to one
 * below the number of running jobs. Only after half a minute is a higher limit tried again, and the
 * time doubles each time the same ceiling is found. Without that time first tokens would be late
 * for a few seconds in every ten.
 *
 * First token: if a worker needs more than half of the first-token target after dispatch for a
 * short prompt, its batch holds too many prompts, and that counts like a long gap.
 *
 * @module
 */
import type { MachinePolicy, ServicePolicy } from "./policy.ts";

/** The learned limit of one worker. */
export interface ConcurrencyLimit {
  /** Returns the jobs that may run at once, from all entry instances; at least 1. */
  value(): number;
  /**
   * Returns the number of jobs beyond which the server was observed to queue; infinite before that.
   */
  serverCeiling(): number;
  /** The initial value of the limit, which depends on the machine class and the target only. */
  readonly initial: number;
  /** Records a gap between two tokens, in milliseconds. */
  recordGap(milliseconds: number): void;
  /** Records the milliseconds from dispatch to first token of a job with a short prompt. */
  recordFirstToken(milliseconds: number): void;
  /** Records the worker's estimated load, in jobs; called whenever it changes. */
  recordLoad(load: number): void;
  /** Records how many jobs the server reported as running and as waiting for its batch. */
  recordReport(running: number, waiting: number, now: number): void;
  /** Adjusts the limit at the end of an interval; cheap to call often. */
  adjust(now: number): void;
}

/**
 * Lookups may exceed the limit by this factor. They end before a batch that is a fourth too large
 * has lengthened the gaps of scripts beyond 5 in 100, and entry instances need some margin because
 * they receive the number of each other's jobs late.
 */
export const LOOKUP_OVERCOMMIT_FACTOR = 1.25;

/** Milliseconds. */
const ADJUST_INTERVAL = 1_000;
/**
 * Milliseconds after the end of an interval without enough samples after which a reduced limit
 * grows anyway.
 */
const NO_EVIDENCE_TIMEOUT = 4_000;
/** Counts are multiplied by this factor at the end of each interval. */
const COUNT_DECAY = 0.8;
/** Minimum numbers of samples before their fraction is meaningful. */
const MIN_GAPS = 20;
const MIN_FIRST_TOKENS = 5;
/** The fraction of samples that may exceed the threshold. */
const TOLERATED_FRACTION = 0.05;
/** The fraction of the threshold above which samples prevent an increase. */
const INCREASE_THRESHOLD = 0.85;
/** The fraction by which a fully used limit grows in each interval. */
const INCREASE_STEP = 0.05;
/** The factor by which a limit below the sustained limit grows in each interval. */
const RECOVERY_FACTOR = 1.5;
/** A reduction multiplies the limit by at least this factor. */
const MIN_DECREASE_FACTOR = 0.7;
/** A reduction multiplies the limit by at most this factor. */
const MAX_DECREASE_FACTOR = 0.95;
/** The sustained limit is multiplied by this factor in each interval with a reduction. */
const SUSTAINED_DECAY = 0.95;
/** The fraction of the first-token target that a short prompt may take after dispatch. */
const FIRST_TOKEN_FRACTION = 0.5;
/** Milliseconds for which a limit that made the server queue jobs isn't tried again. */
const INITIAL_CEILING_TTL = 30_000;
/**
 * Milliseconds. A server's batch doesn't grow, so the time doubles up to this value each time the
 * same ceiling is found again.
 */
const MAX_CEILING_TTL = 600_000;
/**
 * Subtracted from the ceiling, so that after rounding down one slot is left for what other entry
 * instances send between two reports.
 */
const CEILING_MARGIN = 0.5;
/**
 * The initial limit is the number of jobs that a full batch's speed serves at the target between
 * tokens, less one in five for prompts.
 */
const PROMPT_FACTOR = 0.8;
/**
 * The limit never exceeds its initial value by more than this factor; a machine class whose stated
 * speed is more than four times too low is an error in the settings.
 */
const MAX_GROWTH_FACTOR = 4;

/**
 * Samples counted against a threshold: how many in all, how many near and above it, and the sum of
 * those above.
 */
interface SampleCounts {
  total: number;
  near: number;
  above: number;
  aboveSum: number;
}

/** Creates the limit of a worker of which only the machine class is known. */
export function createConcurrencyLimit(
  machine: MachinePolicy,
  target: ServicePolicy["target"],
): ConcurrencyLimit {
  const gapSeconds = target.betweenTokens / 1_000;
  const initial = Math.max(2, Math.floor(machine.tokensPerSecond * gapSeconds * PROMPT_FACTOR));
  const gaps = emptyCounts();
  const firstTokens = emptyCounts();
  const firstTokenThreshold = target.firstToken * FIRST_TOKEN_FRACTION;
  let limit = initial;
  let sustained = initial;
  let load = 0;
  let peak = 0;
  let windowEnd: number | undefined;
  /**
   * The number of jobs that ran when the server queued others; may not be exceeded until
   * `ceilingExpiresAt`.
   */
  let ceiling = Number.POSITIVE_INFINITY;
  let ceilingExpiresAt = 0;
  let ceilingTtl = INITIAL_CEILING_TTL;
  /** The running jobs in the last report if it also contained waiting jobs. */
  let runningWhileQueued: number | undefined;

  const hasEvidence = (): boolean =>
    gaps.total >= MIN_GAPS || firstTokens.total >= MIN_FIRST_TOKENS;
  const slowness = (): number =>
    Math.max(
      gaps.total < MIN_GAPS ? 0 : slownessRatio(gaps, target.betweenTokens),
      firstTokens.total < MIN_FIRST_TOKENS ? 0 : slownessRatio(firstTokens, firstTokenThreshold),
    );
  const decrease = (slowdown: number): void => {
    const factor = Math.min(MAX_DECREASE_FACTOR, Math.max(MIN_DECREASE_FACTOR, 1 / slowdown));
    sustained = Math.max(1, sustained * SUSTAINED_DECAY);
    // While long jobs keep the load above a limit that was already reduced, their gaps don't
    // show the effect of that limit. Reducing it further would bring it close to 0, and it would
    // recover slowly.
    if (load <= limit * LOOKUP_OVERCOMMIT_FACTOR + 1)
      limit = Math.max(1, Math.min(limit, peak) * factor);
    Object.assign(gaps, emptyCounts());
    Object.assign(firstTokens, emptyCounts());
  };
  const increase = (): void => {
    if (limit < sustained) limit = Math.min(sustained, limit * RECOVERY_FACTOR + 1);
    else if (peak >= Math.floor(limit) - 1) limit += Math.max(1, INCREASE_STEP * limit);
    limit = Math.min(limit, initial * MAX_GROWTH_FACTOR, Math.max(1, ceiling - CEILING_MARGIN));
    sustained = Math.max(sustained, Math.min(limit, peak));
  };
  const updateLimit = (now: number): void => {
    const slowdown = slowness();
    if (now >= ceilingExpiresAt) ceiling++;
    if (now >= ceilingExpiresAt) ceilingExpiresAt = now + ceilingTtl;
    if (slowdown > 1) decrease(slowdown);
    else if (slowdown < INCREASE_THRESHOLD) increase();
    decay(gaps);
    decay(firstTokens);
    peak = load;
  };
  return {
    initial,
    value: () => Math.floor(limit),
    serverCeiling: () => ceiling,
    recordGap: (milliseconds) => countSample(gaps, milliseconds, target.betweenTokens),
    recordFirstToken: (milliseconds) => countSample(firstTokens, milliseconds, firstTokenThreshold),
    recordLoad: (jobs) => {
      load = jobs;
      peak = Math.max(peak, jobs);
    },
    recordReport: (running, waiting, now) => {
      const before = runningWhileQueued;
      runningWhileQueued = waiting === 0 ? undefined : running;
      if (runningWhileQueued === undefined || before === undefined) return;
      const maxRunning = Math.max(running, before);
      ceilingTtl =
        maxRunning <= ceiling ? Math.min(MAX_CEILING_TTL, ceilingTtl * 2) : INITIAL_CEILING_TTL;
      if (now < ceilingExpiresAt) ceilingTtl /= 2;
      ceiling = Math.max(1, maxRunning);
      ceilingExpiresAt = now + ceilingTtl;
      limit = Math.max(1, Math.min(limit, ceiling - CEILING_MARGIN));
      sustained = Math.min(sustained, limit);
    },
    adjust: (now) => {
      windowEnd ??= now + ADJUST_INTERVAL;
      if (now < windowEnd) return;
      if (!hasEvidence() && (limit >= sustained || now < windowEnd + NO_EVIDENCE_TIMEOUT)) return;
      windowEnd = now + ADJUST_INTERVAL;
      updateLimit(now);
    },
  };
}

function emptyCounts(): SampleCounts {
  return { total: 0, near: 0, above: 0, aboveSum: 0 };
}

function countSample(counts: SampleCounts, value: number, threshold: number): void {
  counts.total++;
  if (value > threshold * INCREASE_THRESHOLD) counts.near++;
  if (value <= threshold) return;
  counts.above++;
  counts.aboveSum += value;
}

function decay(counts: SampleCounts): void {
  counts.total *= COUNT_DECAY;
  counts.near *= COUNT_DECAY;
  counts.above *= COUNT_DECAY;
  counts.aboveSum *= COUNT_DECAY;
}

/**
 * Returns a value above 1 if too many samples exceed the threshold (the ratio of their mean to it),
 * and a value below `INCREASE_THRESHOLD` if hardly any come near.
 */
function slownessRatio({ total, near, above, aboveSum }: SampleCounts, threshold: number): number {
  if (above > TOLERATED_FRACTION * total) return aboveSum / above / threshold;
  return near > TOLERATED_FRACTION * total ? 1 : 0;
}
