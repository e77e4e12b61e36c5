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
 * Beyond 5 in 100 the limit falls by as much as those gaps were too long, at most by 30 in 100 at a time and
 * from the load that was measured rather than from a limit that was never reached. Where fewer than 5 in 100
 * come near the target (85 in 100 of it) the limit rises by 5 in 100, and only where all places but one
 * were in use: the short gaps of a worker that is half idle prove nothing. Between the two it stays, so that it doesn't swing. After a slow
 * spell it grows by half a second until it is back near the limit that last held. A worker whose limit has
 * become so small that it is hardly used gives no evidence that it is well again; after five seconds without
 * any, the limit grows as if it were, and the next tokens tell.
 *
 * A server may itself hold back what exceeds its batch: its gaps stay short while first tokens wait in its
 * own line, where the shares and deadlines of ours don't count. So waiting jobs in two reports in a row (in
 * one they may just have arrived, in the middle of a step) put the limit
 * down to one below what ran, and it is tried again above that only after half a minute, twice as long
 * each time that the same is found: without that pause one would notice first tokens that are late for a
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
  ceiling(): number;
  /** The limit's first value, from the machine class alone. */
  readonly initial: number;
  /** A gap between two tokens, in milliseconds. */
  gap(milliseconds: number): void;
  /** Milliseconds from dispatch to first token, of a job with a short prompt. */
  firstToken(milliseconds: number): void;
  /** The load that the worker is believed to have, whenever it changes. */
  loaded(load: number): void;
  /** The server reported so many jobs that run and that wait for its batch. */
  reported(running: number, waiting: number, now: number): void;
  /** Adjusts the limit when a window is over; cheap to call often. */
  adjust(now: number): void;
}

/**
 * Lookups may go this far above the limit: they end before a batch that is a fourth too large has lengthened
 * the gaps of scripts beyond 5 in 100, and instances that see each other late need some play.
 */
export const LOOKUP_OVERFLOW = 1.25;

const WINDOW = 1_000;
const PATIENCE = 4_000;
/** What was counted in a window weighs a fifth less in each one after it. */
const COUNT_DECAY = 0.8;
const ENOUGH_GAPS = 20;
const ENOUGH_FIRST_TOKENS = 5;
const TOLERATED = 0.05;
const RISE_BELOW = 0.85;
const RISE = 0.05;
const RECOVERY = 1.5;
const GREATEST_FALL = 0.7;
const LEAST_FALL = 0.95;
/** A limit that fails is believed a little less with each window that it fails in. */
const PROVEN_DECAY = 0.95;
const FIRST_TOKEN_PART = 0.5;
/** How long a limit that made the server hold jobs back isn't tried again. */
const HELD_BACK_PAUSE = 30_000;
/** A server's batch doesn't grow: each time that the same limit is found again, the next try is put off. */
const GREATEST_PAUSE = 600_000;
/** One place is left for what other entry instances send between two reports. */
const HELD_BACK_MARGIN = 0.5;
/** Jobs that a full batch's speed carries at the target between tokens, less one in five for prompts. */
const PROMPT_ALLOWANCE = 0.8;
/** A machine class whose stated speed is four times too low is a fault in the settings. */
const GREATEST_RISE = 4;

/** Times held against a bound: how many, how many near and above it, and the sum of those above. */
interface Count {
  all: number;
  near: number;
  above: number;
  excess: number;
}

/** Makes the limit of a worker that nothing is known of but its machine class. */
export function createConcurrencyLimit(
  machine: MachinePolicy,
  target: ServicePolicy["target"],
): ConcurrencyLimit {
  const perJob = target.betweenTokens / 1_000;
  const initial = Math.max(2, Math.floor(machine.tokensPerSecond * perJob * PROMPT_ALLOWANCE));
  const gaps = emptyCount();
  const firstTokens = emptyCount();
  const firstTokenBound = target.firstToken * FIRST_TOKEN_PART;
  let limit = initial;
  let proven = initial;
  let load = 0;
  let peak = 0;
  let windowEnd: number | undefined;
  /** What ran when the server held jobs back, and until when it isn't exceeded. */
  let ceiling = Number.POSITIVE_INFINITY;
  let ceilingUntil = 0;
  let pause = HELD_BACK_PAUSE;
  /** What ran at the last report, if jobs waited then. */
  let heldBackAt: number | undefined;

  const hasEnough = (): boolean =>
    gaps.all >= ENOUGH_GAPS || firstTokens.all >= ENOUGH_FIRST_TOKENS;
  const slowness = (): number =>
    Math.max(
      gaps.all < ENOUGH_GAPS ? 0 : slownessOf(gaps, target.betweenTokens),
      firstTokens.all < ENOUGH_FIRST_TOKENS ? 0 : slownessOf(firstTokens, firstTokenBound),
    );
  const fall = (slow: number): void => {
    const factor = Math.min(LEAST_FALL, Math.max(GREATEST_FALL, 1 / slow));
    proven = Math.max(1, proven * PROVEN_DECAY);
    // While long jobs keep the load above a limit that has fallen already, their gaps say nothing against
    // that limit: it would fall to nothing, and then take long to come back.
    if (load <= limit * LOOKUP_OVERFLOW + 1) limit = Math.max(1, Math.min(limit, peak) * factor);
    Object.assign(gaps, emptyCount());
    Object.assign(firstTokens, emptyCount());
  };
  const rise = (): void => {
    if (limit < proven) limit = Math.min(proven, limit * RECOVERY + 1);
    else if (peak >= Math.floor(limit) - 1) limit += Math.max(1, RISE * limit);
    limit = Math.min(limit, initial * GREATEST_RISE, Math.max(1, ceiling - HELD_BACK_MARGIN));
    proven = Math.max(proven, Math.min(limit, peak));
  };
  const judge = (now: number): void => {
    const slow = slowness();
    if (now >= ceilingUntil) ceiling++;
    if (now >= ceilingUntil) ceilingUntil = now + pause;
    if (slow > 1) fall(slow);
    else if (slow < RISE_BELOW) rise();
    age(gaps);
    age(firstTokens);
    peak = load;
  };
  return {
    initial,
    value: () => Math.floor(limit),
    ceiling: () => ceiling,
    gap: (milliseconds) => count(gaps, milliseconds, target.betweenTokens),
    firstToken: (milliseconds) => count(firstTokens, milliseconds, firstTokenBound),
    loaded: (now) => {
      load = now;
      peak = Math.max(peak, now);
    },
    reported: (running, waiting, now) => {
      const before = heldBackAt;
      heldBackAt = waiting === 0 ? undefined : running;
      if (heldBackAt === undefined || before === undefined) return;
      const most = Math.max(running, before);
      pause = most <= ceiling ? Math.min(GREATEST_PAUSE, pause * 2) : HELD_BACK_PAUSE;
      if (now < ceilingUntil) pause /= 2;
      ceiling = Math.max(1, most);
      ceilingUntil = now + pause;
      limit = Math.max(1, Math.min(limit, ceiling - HELD_BACK_MARGIN));
      proven = Math.min(proven, limit);
    },
    adjust: (now) => {
      windowEnd ??= now + WINDOW;
      if (now < windowEnd) return;
      if (!hasEnough() && (limit >= proven || now < windowEnd + PATIENCE)) return;
      windowEnd = now + WINDOW;
      judge(now);
    },
  };
}

function emptyCount(): Count {
  return { all: 0, near: 0, above: 0, excess: 0 };
}

function count(into: Count, value: number, bound: number): void {
  into.all++;
  if (value > bound * RISE_BELOW) into.near++;
  if (value <= bound) return;
  into.above++;
  into.excess += value;
}

function age(counted: Count): void {
  counted.all *= COUNT_DECAY;
  counted.near *= COUNT_DECAY;
  counted.above *= COUNT_DECAY;
  counted.excess *= COUNT_DECAY;
}

/** Above 1: too many times were beyond the bound, by so much. Below `RISE_BELOW`: hardly any came near. */
function slownessOf({ all, near, above, excess }: Count, bound: number): number {
  if (above > TOLERATED * all) return excess / above / bound;
  return near > TOLERATED * all ? 1 : 0;
}
