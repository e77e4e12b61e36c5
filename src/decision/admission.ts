/**
 * What is let in.
 *
 * Load that it answers: more work than the workers can do. Everything that is let in then waits longer
 * than the one before, until all answers are late and none is of use: at twice the capacity, one would
 * notice full machines and hardly an answer within its target. Refusing late is as bad: the caller has
 * waited for nothing.
 *
 * So a request is turned away at once where its first token, or its end, can't come in time behind what is
 * ahead of it; what is let in is never shed later. The wait is predicted for the account: behind its own
 * waiting work at its fair part of the speed, and never behind more than all that waits. An account that
 * asks for little is let in while one that floods the service is turned away.
 *
 * Predictions are held against what then happened, those of work ahead and those of a free place apart:
 * the ratio's 95th percentile corrects the next ones, so
 * that a speed that is stated or measured wrongly shows in refusals, not in late answers. Where nothing
 * waits and a worker has room a request is let in whatever was learned: otherwise one slow spell would
 * teach that nothing can be met and nothing would come to teach otherwise.
 *
 * The time to come back is when the work ahead will have gone, plus a turn for each request that was told
 * the same before: told the same moment, they would all come back at once and be turned away again.
 *
 * @module
 */
import { Refusal } from "../interface/index.ts";
import type { AccountPolicy, ServicePolicy } from "./policy.ts";

/** What the decision knows of the service, its waiting work and the account. */
export interface AdmissionView {
  readonly now: number;
  readonly deadlineAt: number;
  readonly detached: boolean;
  readonly estimate: { readonly work: number; readonly serviceTime: number };
  readonly target: ServicePolicy["target"];
  /** Tokens of work a second that the lane can count on here. */
  readonly rate: number;
  /** A worker has room for the lane now. */
  readonly hasFreeSlot: boolean;
  /** Live workers, in use or not. */
  readonly liveWorkers: number;
  /** Milliseconds until one of this instance's runs ends, on the average. */
  readonly freeSlotInterval: number;
  /** Jobs that wait on this instance, over all services. */
  readonly totalWaitingJobs: number;
  /** Tokens of work that wait in the lane, and those of the account that would go first. */
  readonly waitingWork: number;
  readonly accountWaitingWork: number;
  /** The account's weight, and that of all accounts with waiting work in the lane, this one included. */
  readonly weight: number;
  readonly activeWeight: number;
  /** What waits for work ahead came to, as a multiple of their predictions. */
  readonly queueCorrection: number;
  /** The same for waits for a place. */
  readonly freeSlotCorrection: number;
  /** Milliseconds from dispatch to first token for nine jobs in ten; undefined before enough were seen. */
  readonly firstTokenLatency: number | undefined;
  /** The account's requests and tokens of work that were accepted and have not ended. */
  readonly accountJobs: number;
  readonly accountWork: number;
  /** The account's bounds on this instance; undefined for an account without bounds. */
  readonly limits: Pick<AccountPolicy, "maxRequests" | "maxTokens"> | undefined;
  /** Until when room is promised to requests that were turned away before. */
  readonly reservedUntil: number;
}

/** What a wait mostly consists of. */
export enum WaitKind {
  /** Work of the own account that goes first. */
  QueuedWork = "ahead",
  /** The time until a place becomes free. */
  FreeSlot = "slotWait",
}

/** A predicted wait, in milliseconds. */
export interface PredictedWait {
  readonly wait: number;
  readonly kind: WaitKind;
}

/** Whether the request is let in. */
export type AdmissionDecision =
  | { readonly kind: "admit"; readonly predicted: PredictedWait }
  | { readonly kind: "refuse"; readonly reason: Refusal; readonly retryAfter: number };

/** At some 16 kB a record, 160 MB: what a small instance can spare for work that waits. */
const MAX_WAITING_JOBS = 10_000;
/** Waits are learned in steps of 9 in 100 either way: so much of the target is left for that error. */
const TARGET_FRACTION = 0.91;
/** A part of the first token's target that waiting may use in any case. */
const MIN_WAIT_FRACTION = 1 / 3;
/** A part of the time left that waiting may use where the service time alone seems too long. */
const MIN_TIME_FRACTION = 0.1;
/** Below it a caller's own round trips are longer than what it is told to wait. */
const MIN_RETRY_AFTER = 250;
/** Beyond a minute a prediction of load means little. */
const MAX_RETRY_AFTER = 60_000;
/** Without a worker nothing can be predicted: a start takes about this long. */
const NO_WORKER_RETRY_AFTER = 30_000;

/** Lets a request in or turns it away. */
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

/** How long the request is expected to wait before it is dispatched. */
export function predictWait(view: AdmissionView): PredictedWait {
  const nothingAhead = view.waitingWork === 0;
  if (nothingAhead && view.hasFreeSlot) return { wait: 0, kind: WaitKind.FreeSlot };
  if (view.rate <= 0) {
    return { wait: view.detached ? 0 : Number.POSITIVE_INFINITY, kind: WaitKind.QueuedWork };
  }
  const fair = (view.accountWaitingWork * view.activeWeight) / view.weight;
  const work = Math.min(view.waitingWork, fair);
  const ahead = ((work * 1_000) / view.rate) * view.queueCorrection;
  const slotWait = view.hasFreeSlot ? 0 : view.freeSlotInterval * view.freeSlotCorrection;
  return {
    wait: ahead + slotWait,
    kind: slotWait > ahead ? WaitKind.FreeSlot : WaitKind.QueuedWork,
  };
}

/** Milliseconds that the request may wait and still be in time. */
function maxWait(view: AdmissionView): number {
  const left = view.deadlineAt - view.now;
  const untilDeadline = Math.max(left - view.estimate.serviceTime, left * MIN_TIME_FRACTION);
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
  // A single request above the whole bound is let in alone: it could never be let in otherwise.
  const exceedsTokens = accountJobs > 0 && accountWork + estimate.work > limits.maxTokens;
  if (!exceedsRequests && !exceedsTokens) return undefined;
  const excessWork = Math.max(estimate.work, accountWork + estimate.work - limits.maxTokens);
  return refuse(Refusal.AccountLimit, drainTime(view, excessWork));
}

/** Milliseconds in which the account's part of the speed does so much work. */
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
