/**
 * Decides whether a routed request is offered to a worker now or refused at once.
 *
 * Load: more work than the engines can do, as in a burst or after the loss of a zone's workers. If
 * all of it is accepted, every first token waits behind all earlier prompts and none is in time: a
 * service that could serve two thirds of its callers well serves none of them well. Symptom: first
 * tokens of several seconds everywhere, with engines that are never idle.
 *
 * Mechanism: a request is accepted if its first token is expected within a factor of its target.
 * Otherwise it is refused before it uses any worker time: it can come back when there is capacity,
 * and a late answer is worth a tenth of one in time. The factor is smaller for less urgent
 * requests, so that pressure affects them first: each rank gets a quarter less than the rank above
 * it. A request that has already waited, because it was refused before or its worker failed, can't
 * be in time any more, and a second refusal costs more than it is worth; it is accepted as long as
 * it will end before its deadline.
 *
 * @module
 */

/** The input of the decision; times are in milliseconds. */
export interface WorkerOffer {
  /** Expected time to the first token at the best worker. */
  readonly expectedFirstToken: number;
  /** Maximum time to the first token of an answer in time. */
  readonly firstTokenTarget: number;
  /** Time until the request's deadline. */
  readonly timeLeft: number;
  /** Priority rank; 0 is the most urgent. */
  readonly priorityRank: number;
  /** Whether the caller was refused before, or a worker failed the request. */
  readonly isRetry: boolean;
}

/**
 * Allows for the error of the expected time: engines report late, and other instances choose at the
 * same moment.
 */
const TARGET_FACTOR = 1.25;
/** Applied once per rank. */
const RANK_FACTOR = 0.75;
/**
 * The fraction of its remaining time that the first token of a returning request may take; the rest
 * is left for the answer.
 */
const RETRY_FRACTION = 0.4;

/** Returns whether the request is offered to a worker. */
export function shouldOffer({
  expectedFirstToken,
  firstTokenTarget,
  timeLeft,
  priorityRank,
  isRetry,
}: WorkerOffer): boolean {
  if (isRetry) return expectedFirstToken <= timeLeft * RETRY_FRACTION;
  return (
    expectedFirstToken <=
    Math.min(timeLeft, firstTokenTarget * TARGET_FACTOR * RANK_FACTOR ** priorityRank)
  );
}

/**
 * Returns the delay after which a refused request may come back: the time in which the work ahead
 * of it is reduced to what the request accepts.
 *
 * @returns Milliseconds.
 */
export function offerRetryDelay({
  expectedFirstToken,
  firstTokenTarget,
  priorityRank,
}: WorkerOffer): number {
  return Math.max(
    MIN_RETRY_DELAY,
    expectedFirstToken - firstTokenTarget * TARGET_FACTOR * RANK_FACTOR ** priorityRank,
  );
}

/** Milliseconds. After a shorter time nothing has changed at any worker. */
const MIN_RETRY_DELAY = 150;
