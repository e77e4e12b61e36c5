/**
 * How many jobs a worker may run at once, learned from the times that its tokens take.
 *
 * Load that it answers: under continuous batching a backend server takes whatever it is sent and shares its
 * speed among all; too many make every token late, too few waste a machine that is paid for. The right
 * number depends on the machine, the model, the prompts and the server's health, and changes while it runs.
 * With a fixed number one would notice either gaps above the target at every peak, or a fleet that costs
 * half as much again as the work needs.
 *
 * The target between tokens is known, so the limit needs no search for the point where delay begins: once
 * a second it looks at the part of the gaps that were above the target, the last seconds' with less weight,
 * because a long prompt lengthens the gaps of a second or two and the target allows that for 5 in 100.
 * Beyond 5 in 100 the limit falls by as much as those gaps were too long, at maxRunning by 30 in 100 at a time and
 * from the load that was measured rather than from a limit that was never reached. Where fewer than 5 in 100
 * come near the target (85 in 100 of it) the limit rises by 5 in 100, and only where all places but one
 * were in use: the short gaps of a worker that is half idle prove nothing. Between the two it stays, so that it doesn't swing. After a slowdown
 * spell it grows by half a second until it is back near the limit that last held. A worker whose limit has
 * become so small that it is hardly used gives no evidence that it is well again; after five seconds without
 * any, the limit grows as if it were, and the next tokens tell.
 *
 * A server may itself hold back what exceeds its batch: its gaps stay short while first tokens wait in its
 * own line, where the shares and deadlines of ours don't countSample. So waiting jobs in two reports in a row (in
 * one they may just have arrived, in the middle of a step) put the limit
 * down to one below what ran, and it is tried again above that only after half a minute, twice as long
 * each time that the same is found: without that ceilingTtl one would notice first tokens that are late for a
 * few seconds in every ten.
 *
 * The first token counts too: where a worker needs more than half of the target after dispatch for a short
 * prompt, the batch is too full of prompts.
 *
 * @module
 */
import type { MachinePolicy, ServicePolicy } from "./policy.ts";

/** The learned limit of one worker. */
export interface ConcurrencyLimit {
  /** Jobs that may run at once, from all entry instances; at least 1. */
  value(): number;
  /** Jobs beyond which the server was seen to hold back; infinite while it wasn't. */
  serverCeiling(): number;
  /** The limit's first value, from the machine class alone. */
  readonly initial: number;
  /** A gap between two tokens, in milliseconds. */
  recordGap(milliseconds: number): void;
  /** Milliseconds from dispatch to first token, of a job with a short prompt. */
  recordFirstToken(milliseconds: number): void;
  /** The load that the worker is believed to have, whenever it changes. */
  recordLoad(load: number): void;
  /** The server reported so many jobs that run and that wait for its batch. */
  recordReport(running: number, waiting: number, now: number): void;
  /** Adjusts the limit when a window is over; cheap to call often. */
  adjust(now: number): void;
}

/**
 * Lookups may go this far above the limit: they end before a batch that is a fourth too large has lengthened
 * the gaps of scripts beyond 5 in 100, and instances that see each other late need some play.
 */
export const LOOKUP_OVERCOMMIT_FACTOR = 1.25;

const ADJUST_INTERVAL = 1_000;
const NO_EVIDENCE_TIMEOUT = 4_000;
/** What was counts in a window weighs a fifth less in each one after it. */
const COUNT_DECAY = 0.8;
const MIN_GAPS = 20;
const MIN_FIRST_TOKENS = 5;
const TOLERATED_FRACTION = 0.05;
const INCREASE_THRESHOLD = 0.85;
const INCREASE_STEP = 0.05;
const RECOVERY_FACTOR = 1.5;
const MIN_DECREASE_FACTOR = 0.7;
const MAX_DECREASE_FACTOR = 0.95;
/** A limit that fails is believed a little less with each window that it fails in. */
const SUSTAINED_DECAY = 0.95;
const FIRST_TOKEN_FRACTION = 0.5;
/** How long a limit that made the server hold jobs back isn't tried again. */
const INITIAL_CEILING_TTL = 30_000;
/** A server's batch doesn't grow: each time that the same limit is found again, the next try is put off. */
const MAX_CEILING_TTL = 600_000;
/** One place is left for what other entry instances send between two reports. */
const CEILING_MARGIN = 0.5;
/** Jobs that a full batch's speed carries at the target between tokens, less one in five for prompts. */
const PROMPT_FACTOR = 0.8;
/** A machine class whose stated speed is four times too low is a fault in the settings. */
const MAX_GROWTH_FACTOR = 4;

/** Times held against a bound: how many, how many near and above it, and the sum of those above. */
interface SampleCounts {
  total: number;
  near: number;
  above: number;
  aboveSum: number;
}

/** Makes the limit of a worker that nothing is known of but its machine class. */
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
  /** What ran when the server held jobs back, and until when it isn't exceeded. */
  let ceiling = Number.POSITIVE_INFINITY;
  let ceilingExpiresAt = 0;
  let ceilingTtl = INITIAL_CEILING_TTL;
  /** What ran at the last report, if jobs waited then. */
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
    // While long jobs keep the load above a limit that has fallen already, their gaps say nothing against
    // that limit: it would decrease to nothing, and then take long to come back.
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
    recordLoad: (now) => {
      load = now;
      peak = Math.max(peak, now);
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

function countSample(into: SampleCounts, value: number, threshold: number): void {
  into.total++;
  if (value > threshold * INCREASE_THRESHOLD) into.near++;
  if (value <= threshold) return;
  into.above++;
  into.aboveSum += value;
}

function decay(counts: SampleCounts): void {
  counts.total *= COUNT_DECAY;
  counts.near *= COUNT_DECAY;
  counts.above *= COUNT_DECAY;
  counts.aboveSum *= COUNT_DECAY;
}

/** Above 1: too many times were beyond the threshold, by so much. Below `INCREASE_THRESHOLD`: hardly any came near. */
function slownessRatio(
  { total: all, near, above, aboveSum: excess }: SampleCounts,
  threshold: number,
): number {
  if (above > TOLERATED_FRACTION * all) return excess / above / threshold;
  return near > TOLERATED_FRACTION * all ? 1 : 0;
}
