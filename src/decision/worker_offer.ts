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
 * If a service is under pressure, the accounts' shares of it change the queue that a request
 * accepts (see `account_shares.ts`). The time to process its own prompt is accepted in any case. An
 * account that has reached its share gets no more for a retry, since otherwise its callers would get
 * more by retrying at once.
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
  /** The factor of the account's share on the accepted queue; undefined if it has none. */
  readonly shareFactor?: number | undefined;
  /** The part of the expected time that the request's own prompt takes; 0 if undefined. */
  readonly processingTime?: number | undefined;
}

/**
 * Allows for the error of the expected time: engines report late, and other instances choose at the
 * same moment.
 */
const TARGET_FACTOR = 1.25;
/** Maximum factor of an account's share. A retry of an account with this factor accepts as much as without shares. */
export const MAX_SHARE_FACTOR = 2;
/** Applied once per rank. */
const RANK_FACTOR = 0.75;
/**
 * The fraction of its remaining time that the first token of a returning request may take; the rest
 * is left for the answer.
 */
const RETRY_FRACTION = 0.4;

/** Returns whether the request is offered to a worker. */
export function shouldOffer(offer: WorkerOffer): boolean {
  const { expectedFirstToken, timeLeft } = offer;
  return expectedFirstToken <= Math.min(timeLeft, acceptedTime(offer));
}

/** Whether the expected time exceeds what a first attempt accepts, not counting a longer queue for its account. */
export function isOverLimit(offer: WorkerOffer): boolean {
  const shareFactor = Math.min(1, offer.shareFactor ?? 1);
  return offer.expectedFirstToken > acceptedTime({ ...offer, shareFactor, isRetry: false });
}

/** Returns the time to the first token that the request accepts, in milliseconds. */
function acceptedTime(offer: WorkerOffer): number {
  const { timeLeft, isRetry, shareFactor, processingTime = 0 } = offer;
  const usual = usualTime(offer);
  const longest = timeLeft * RETRY_FRACTION;
  if (shareFactor === undefined) return isRetry ? longest : usual;
  if (shareFactor < 1)
    return Math.min(usual, processingTime + (usual - processingTime) * shareFactor);
  const raised = isRetry ? longest : Math.min(longest, usual * MAX_SHARE_FACTOR);
  const part = (shareFactor - 1) / (MAX_SHARE_FACTOR - 1);
  return usual + Math.max(0, raised - usual) * part;
}

/** Returns the same for an account without a share. */
function usualTime({
  firstTokenTarget,
  priorityRank,
}: Pick<WorkerOffer, "firstTokenTarget" | "priorityRank">): number {
  return firstTokenTarget * TARGET_FACTOR * RANK_FACTOR ** priorityRank;
}

/**
 * Returns the delay after which a refused request may come back: the time in which the work ahead
 * of it is reduced to what the request accepts.
 *
 * @returns Milliseconds.
 */
export function offerRetryDelay(offer: WorkerOffer): number {
  return Math.max(MIN_RETRY_DELAY, offer.expectedFirstToken - usualTime(offer));
}

/** Milliseconds. After a shorter time nothing has changed at any worker. */
const MIN_RETRY_DELAY = 150;
