/**
 * How many jobs may be sent again, and when.
 *
 * Load that it answers: an outage. When half of the backend servers fail, every failed job that is sent
 * again adds to the load of the other half, which then fails as well; with three tries each, the outage's
 * load is up to three times the day's. One would notice more runs than requests, and a service that stays
 * down after its cause has gone.
 *
 * Retries and hedges together are held to a tenth of the successes, by account and by service: in ordinary
 * times, with fewer than one failure in a hundred, it is never felt, and in an outage it adds a tenth to
 * the load, which the fleet's reserve carries. The account's own budget keeps one account's poisonous
 * requests from using up everyone's. Ten in hand let a quiet service retry at all. Where a detached job has
 * no budget but time, it waits some seconds instead of ending: nobody waits for its first token, and it was
 * accepted.
 *
 * Work that moves because of an announced stop is no retry: each move has its cause outside, is bounded by
 * the notices, and must not end accepted work.
 *
 * @module
 */
import { RetryCause } from "../interface/index.ts";
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";

/** Whether a job that failed is sent again. */
export type Retry = { readonly kind: "retry"; readonly delay: number } | { readonly kind: "stop" };

/** Budgets by account and by service. */
export interface RetryBudget {
  /** A job ended well. */
  succeeded(job: Job): void;
  /** Takes one from the job's budgets; false, and nothing taken, where either is used up. */
  take(job: Job): boolean;
}

const PART = 0.1;
const IN_HAND = 10;
const GREATEST = 100;

/** Makes budgets that are full. */
export function createRetryBudget(): RetryBudget {
  const budgets = new Map<string, number>();
  const left = (key: string): number => budgets.get(key) ?? IN_HAND;
  const keysOf = (job: Job): string[] => [
    `service ${job.service}`,
    `account ${job.account} ${job.service}`,
  ];
  return {
    succeeded: (job) => {
      for (const key of keysOf(job)) budgets.set(key, Math.min(GREATEST, left(key) + PART));
    },
    take: (job) => {
      const keys = keysOf(job);
      if (keys.some((key) => left(key) < 1)) return false;
      for (const key of keys) budgets.set(key, left(key) - 1);
      return true;
    },
  };
}

/** Moves that were announced: they cost no budget and no delay. */
const MOVES: ReadonlySet<RetryCause> = new Set([
  RetryCause.WorkerReclaimed,
  RetryCause.OwnerMoved,
  RetryCause.StaleEpoch,
]);

/** Causes after which it is certain that nothing was run. */
const CERTAINLY_NOT_RUN: ReadonlySet<RetryCause> = new Set([
  RetryCause.ConnectFailed,
  RetryCause.StaleEpoch,
]);

const FIRST_DELAY = 50;
const GREATEST_DELAY = 5_000;
/** Without budget, a detached job tries again after between half of this and all of it. */
const PATIENT_DELAY = 20_000;

/** What {@linkcode decideRetry} goes by. */
export interface RetryCircumstances {
  readonly cause: RetryCause;
  /** Tries of this job that failed, this one included. */
  readonly failures: number;
  readonly budget: RetryBudget;
  readonly now: number;
  readonly random: Random;
}

/**
 * Decides whether a job is sent again. Delays are drawn from nothing to a bound that doubles with each
 * failure (full jitter), so that jobs that failed together don't come back together.
 */
export function decideRetry(job: Job, circumstances: RetryCircumstances): Retry {
  const { cause, failures, budget, now, random } = circumstances;
  const left = job.deadlineAt - now;
  if (left <= 0) return { kind: "stop" };
  if (!job.repeatable && !CERTAINLY_NOT_RUN.has(cause)) return { kind: "stop" };
  if (MOVES.has(cause)) return { kind: "retry", delay: 0 };
  if (budget.take(job)) {
    const bound = Math.min(GREATEST_DELAY, FIRST_DELAY * 2 ** (failures - 1), left / 2);
    return { kind: "retry", delay: random.next() * bound };
  }
  const patient = PATIENT_DELAY * (0.5 + 0.5 * random.next());
  const hasTime = job.detached && patient + job.estimate.serviceTime < left;
  return hasTime ? { kind: "retry", delay: patient } : { kind: "stop" };
}
