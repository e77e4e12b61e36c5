/**
 * Decides whether a request is accepted or refused on arrival.
 *
 * Load: more work than the workers can do. Symptom without this module: every accepted request
 * waits longer than the one before it until all answers are late; at twice the capacity the
 * machines are full and hardly any answer meets its target. A late refusal is as bad, because the
 * caller has waited for nothing.
 *
 * Mechanism: a request is refused at once if its first token or its end can't be in time behind the
 * work ahead of it. Accepted work is never shed later. The wait is predicted per account: behind
 * the account's own waiting work at its fair share of the speed, and never behind more than all
 * waiting work. An account that asks for little is therefore accepted while one that floods the
 * service is refused.
 *
 * Each prediction is compared with the wait that followed, separately for queued work and for free
 * slots. A percentile of the ratio corrects later predictions, so a wrong stated or measured speed
 * leads to refusals rather than to late answers. If nothing waits and a worker has a free slot, the
 * request is accepted whatever was learned; otherwise one slow period would cause every request to
 * be refused, and no new samples would arrive to correct that.
 *
 * The retry delay of a refusal is the time in which the work ahead will be done, plus the time of
 * one request for each request that was refused before it. Without that spacing all refused callers
 * would come back at the same time and be refused again.
 *
 * @module
 */
import { Refusal } from "../interface/index.ts";
import type { AccountPolicy, ServicePolicy } from "./policy.ts";

/**
 * The state of the service, its queue and the account on which an admission decision is based.
 * Times are in milliseconds; `now` and `deadlineAt` are clock times.
 */
export interface AdmissionView {
  readonly now: number;
  readonly deadlineAt: number;
  /** Whether no caller waits for the first token. */
  readonly detached: boolean;
  /** The request's expected tokens of work and its service time in milliseconds. */
  readonly estimate: { readonly work: number; readonly serviceTime: number };
  /** The latency targets of the service. */
  readonly target: ServicePolicy["target"];
  /** Tokens of work per second that the lane can count on at this instance. */
  readonly rate: number;
  /** Whether a worker has a free slot for the lane now. */
  readonly hasFreeSlot: boolean;
  /** Number of live workers, idle or busy. */
  readonly liveWorkers: number;
  /** Mean milliseconds until one of this instance's runs ends. */
  readonly freeSlotInterval: number;
  /** Jobs that wait on this instance, over all services. */
  readonly totalWaitingJobs: number;
  /** Tokens of work that wait in the lane. */
  readonly waitingWork: number;
  /** Tokens of the account's own work in the lane that would go first. */
  readonly accountWaitingWork: number;
  /** The account's weight. */
  readonly weight: number;
  /** The sum of the weights of all accounts with waiting work in the lane, this one included. */
  readonly activeWeight: number;
  /** The factor that corrects predicted waits for queued work. */
  readonly queueCorrection: number;
  /** The factor that corrects predicted waits for a free slot. */
  readonly freeSlotCorrection: number;
  /**
   * The 90th percentile of the milliseconds from dispatch to first token; undefined until enough
   * samples have been received.
   */
  readonly firstTokenLatency: number | undefined;
  /** The account's requests that were accepted and have not ended. */
  readonly accountJobs: number;
  /** Tokens of work of those requests. */
  readonly accountWork: number;
  /** The account's limits on this instance; undefined for an account without limits. */
  readonly limits: Pick<AccountPolicy, "maxRequests" | "maxTokens"> | undefined;
  /**
   * The time up to which capacity is reserved for the retries of requests that were refused before.
   */
  readonly reservedUntil: number;
}

/** The main component of a predicted wait. */
export enum WaitKind {
  /** Work of the same account that goes first. */
  QueuedWork = "ahead",
  /** The time until a slot becomes free. */
  FreeSlot = "turn",
}

/** A predicted wait, in milliseconds, and its main component. */
export interface PredictedWait {
  readonly wait: number;
  readonly kind: WaitKind;
}

/** The result of an admission decision; `retryAfter` is in milliseconds. */
export type AdmissionDecision =
  | { readonly kind: "admit"; readonly predicted: PredictedWait }
  | { readonly kind: "refuse"; readonly reason: Refusal; readonly retryAfter: number };

/**
 * Jobs waiting on one instance. At about 16 kB per record this is 160 MB, which a small instance
 * can spare for waiting work.
 */
const MAX_WAITING_JOBS = 10_000;
/**
 * The fraction of the first-token target that is used. The learned waits are quantiles that are
 * off by up to 9 in 100, so the rest is reserved for that error.
 */
const TARGET_FRACTION = 0.91;
/** The fraction of the first-token target that a request may spend waiting in any case. */
const MIN_WAIT_FRACTION = 1 / 3;
/**
 * The fraction of the time left that a request may spend waiting if its estimated service time
 * alone is too long.
 */
const MIN_TIME_FRACTION = 0.1;
/** Milliseconds. A shorter delay has no effect, since a caller's own round trips take longer. */
const MIN_RETRY_AFTER = 250;
/** Milliseconds. Load predictions beyond a minute have little value. */
const MAX_RETRY_AFTER = 60_000;
/** Milliseconds. Without a worker nothing can be predicted; starting one takes about this long. */
const NO_WORKER_RETRY_AFTER = 30_000;

/**
 * Decides whether to accept a request.
 *
 * @returns The predicted wait, or the reason for the refusal with the delay before a retry.
 */
export function decideAdmission(view: AdmissionView): AdmissionDecision {
  const limitRefusal = checkLimits(view);
  if (limitRefusal !== undefined) return limitRefusal;
  if (view.deadlineAt <= view.now) return refuse(Refusal.TooLate, MIN_RETRY_AFTER);
  if (view.liveWorkers === 0 && !view.detached) {
    return refuse(Refusal.NoBackendServer, NO_WORKER_RETRY_AFTER);
  }
  const predicted = predictWait(view);
  const { wait } = predicted;
  const excess = wait - maxWait(view);
  if (wait === 0 || excess <= 0) return { kind: "admit", predicted };
  return refuse(Refusal.TooLate, retryDelay(view, excess));
}

/**
 * Predicts how long a request will wait before dispatch.
 *
 * @returns The wait in milliseconds; infinite if the request isn't detached and the lane makes no
 * progress.
 */
export function predictWait(view: AdmissionView): PredictedWait {
  const isQueueEmpty = view.waitingWork === 0;
  if (isQueueEmpty && view.hasFreeSlot) return { wait: 0, kind: WaitKind.FreeSlot };
  if (view.rate <= 0) {
    return { wait: view.detached ? 0 : Number.POSITIVE_INFINITY, kind: WaitKind.QueuedWork };
  }
  const fairShareWork = (view.accountWaitingWork * view.activeWeight) / view.weight;
  const work = Math.min(view.waitingWork, fairShareWork);
  const queueWait = ((work * 1_000) / view.rate) * view.queueCorrection;
  const slotWait = view.hasFreeSlot ? 0 : view.freeSlotInterval * view.freeSlotCorrection;
  return {
    wait: queueWait + slotWait,
    kind: slotWait > queueWait ? WaitKind.FreeSlot : WaitKind.QueuedWork,
  };
}

/** Returns how many milliseconds the request may wait and still meet its targets. */
function maxWait(view: AdmissionView): number {
  const timeLeft = view.deadlineAt - view.now;
  const untilDeadline = Math.max(
    timeLeft - view.estimate.serviceTime,
    timeLeft * MIN_TIME_FRACTION,
  );
  if (view.detached) return untilDeadline;
  const firstToken = view.target.firstToken * TARGET_FRACTION;
  const untilFirstToken = Math.max(
    firstToken - (view.firstTokenLatency ?? 0),
    firstToken * MIN_WAIT_FRACTION,
  );
  return Math.min(untilDeadline, untilFirstToken);
}

function checkLimits(view: AdmissionView): AdmissionDecision | undefined {
  const { limits, accountJobs, accountWork, estimate } = view;
  if (view.totalWaitingJobs >= MAX_WAITING_JOBS) {
    return refuse(Refusal.QueueFull, retryDelay(view, drainTime(view, view.waitingWork)));
  }
  if (limits === undefined) return undefined;
  const exceedsRequests = accountJobs + 1 > limits.maxRequests;
  // A single request above the whole limit is accepted if the account has no other work; otherwise
  // it could never be accepted.
  const exceedsTokens = accountJobs > 0 && accountWork + estimate.work > limits.maxTokens;
  if (!exceedsRequests && !exceedsTokens) return undefined;
  const excessWork = Math.max(estimate.work, accountWork + estimate.work - limits.maxTokens);
  return refuse(Refusal.AccountLimit, drainTime(view, excessWork));
}

/**
 * Returns the milliseconds in which the account's share of the speed does this many tokens of work.
 */
function drainTime(view: AdmissionView, work: number): number {
  const rate = (view.rate * view.weight) / Math.max(view.weight, view.activeWeight);
  return rate <= 0 ? MAX_RETRY_AFTER : (work * 1_000) / rate;
}

function retryDelay(view: AdmissionView, excess: number): number {
  const ownTime = view.rate <= 0 ? 0 : (view.estimate.work * 1_000) / view.rate;
  return Math.max(excess, view.reservedUntil - view.now) + ownTime;
}

function refuse(reason: Refusal, after: number): AdmissionDecision {
  const retryAfter = Math.round(Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, after)));
  return { kind: "refuse", reason, retryAfter };
}
