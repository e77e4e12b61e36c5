/**
 * Whether a routed request is offered to a worker now, or refused at once.
 *
 * Load that it answers: more work than the engines can do, as in a burst or while a zone's workers are gone. If all
 * of it is taken, every first token waits behind all prompts before it, and none is in time: the callers of a
 * service that could serve two thirds of them well get nothing that is worth its full price. One would notice first
 * tokens of some seconds everywhere, with engines that are never idle.
 *
 * A request is taken as long as its first token can be expected within a part of its target, and refused before it
 * costs a worker anything otherwise: it can come back when there is room, and a late answer is worth a tenth. The
 * part is smaller for the less urgent, so that pressure meets them first and the most urgent keep what they need:
 * each rank down gives up a quarter of what the rank before it gets. One that has waited already, because it was
 * refused before or its worker failed, can't be in time any more and is worth more than a second refusal costs; it
 * is taken as long as it will end within its deadline.
 *
 * @module
 */

/** What the decision goes by; times in milliseconds. */
export interface Offer {
  /** How long the first token is expected to take at the best worker. */
  readonly wait: number;
  /** Longest time to the first token for which an answer is in time. */
  readonly target: number;
  /** Until the request's deadline. */
  readonly left: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Whether the caller was refused before, or a worker failed the request. */
  readonly isReturn: boolean;
}

/** What the expected time is off by: engines report late, and other instances choose at the same moment. */
const TARGET_FACTOR = 1.25;
const RANK_FACTOR = 0.75;
/** A returning request leaves this part of its time for the answer after its first token. */
const RETRY_FRACTION = 0.4;

/** Says whether the request is offered to a worker. */
export function isWorthOffering({ wait, target, left, rank, isReturn }: Offer): boolean {
  if (isReturn) return wait <= left * RETRY_FRACTION;
  return wait <= Math.min(left, target * TARGET_FACTOR * RANK_FACTOR ** rank);
}

/**
 * When a refused request may come back: when the work that is ahead of it will have been done down to what it
 * accepts.
 *
 * @returns Milliseconds.
 */
export function returnAfter({ wait, target, rank }: Offer): number {
  return Math.max(MIN_RETRY_DELAY, wait - target * TARGET_FACTOR * RANK_FACTOR ** rank);
}

/** Sooner than this nothing has changed at any worker. */
const MIN_RETRY_DELAY = 150;
