/**
 * Limits how many jobs may be sent again, and when.
 *
 * Load: an outage. When half of the backend servers fail, every failed job that is sent again adds
 * to the load of the other half, which then fails as well. With three attempts each, the load in an
 * outage is up to three times the normal load. Symptom: more runs than requests, and a service that
 * stays down after the cause is gone.
 *
 * Mechanism: retries and hedges together are limited to a tenth of the successes, by account and by
 * service. In normal times, with fewer than one failure in a hundred, the limit has no effect; in
 * an outage retries add a tenth to the load, which the fleet's reserve can carry. The account's own
 * budget prevents the failing requests of one account from using up the budget of all. An initial
 * budget of ten lets a service with few requests retry at all. A detached job without budget but
 * with time left waits some seconds instead of ending: nobody waits for its first token, and it has
 * been accepted.
 *
 * Work that moves because of an announced stop is not a retry: each move has an external cause, is
 * limited by the number of notices, and must not end accepted work.
 *
 * @module
 */
import { RetryCause } from "../interface/index.ts";
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";

/** Whether a failed job is sent again, and after how many milliseconds. */
export type Retry = { readonly kind: "retry"; readonly delay: number } | { readonly kind: "stop" };

/** Retry budgets by account and by service. */
export interface RetryBudget {
  /** Records that a job succeeded. */
  succeeded(job: Job): void;
  /**
   * Takes one retry from both of the job's budgets. Returns false and takes nothing if either is
   * exhausted.
   */
  take(job: Job): boolean;
}

const BUDGET_PER_SUCCESS = 0.1;
const INITIAL_BUDGET = 10;
const MAX_BUDGET = 100;

/** Creates budgets that hold the initial number of retries. */
export function createRetryBudget(): RetryBudget {
  const budgets = new Map<string, number>();
  const budgetOf = (key: string): number => budgets.get(key) ?? INITIAL_BUDGET;
  const keysOf = (job: Job): string[] => [
    `service ${job.service}`,
    `account ${job.account} ${job.service}`,
  ];
  return {
    succeeded: (job) => {
      for (const key of keysOf(job))
        budgets.set(key, Math.min(MAX_BUDGET, budgetOf(key) + BUDGET_PER_SUCCESS));
    },
    take: (job) => {
      const keys = keysOf(job);
      if (keys.some((key) => budgetOf(key) < 1)) return false;
      for (const key of keys) budgets.set(key, budgetOf(key) - 1);
      return true;
    },
  };
}

/** Causes that are announced moves: they need no budget and no delay. */
const MOVE_CAUSES: ReadonlySet<RetryCause> = new Set([
  RetryCause.WorkerReclaimed,
  RetryCause.OwnerMoved,
  RetryCause.StaleEpoch,
]);

/** Causes after which the job certainly did not run. */
const NOT_RUN_CAUSES: ReadonlySet<RetryCause> = new Set([
  RetryCause.ConnectFailed,
  RetryCause.StaleEpoch,
]);

const BASE_DELAY = 50;
const MAX_DELAY = 5_000;
/** Maximum delay of a detached job without budget, in milliseconds; the minimum is half of it. */
const DETACHED_DELAY = 20_000;

/** Input for {@linkcode decideRetry}. */
export interface RetryContext {
  readonly cause: RetryCause;
  /** Failed attempts of this job, including the latest one. */
  readonly failures: number;
  readonly budget: RetryBudget;
  readonly now: number;
  readonly random: Random;
}

/**
 * Decides whether a job is sent again.
 *
 * Delays are random between zero and a limit that doubles with each failure (full jitter), so that
 * jobs that failed together are not retried together.
 */
export function decideRetry(job: Job, context: RetryContext): Retry {
  const { cause, failures, budget, now, random } = context;
  const timeLeft = job.deadlineAt - now;
  if (timeLeft <= 0) return { kind: "stop" };
  if (!job.repeatable && !NOT_RUN_CAUSES.has(cause)) return { kind: "stop" };
  if (MOVE_CAUSES.has(cause)) return { kind: "retry", delay: 0 };
  if (budget.take(job)) {
    const maxDelay = Math.min(MAX_DELAY, BASE_DELAY * 2 ** (failures - 1), timeLeft / 2);
    return { kind: "retry", delay: random.next() * maxDelay };
  }
  const detachedDelay = DETACHED_DELAY * (0.5 + 0.5 * random.next());
  const hasTime = job.detached && detachedDelay + job.estimate.serviceTime < timeLeft;
  return hasTime ? { kind: "retry", delay: detachedDelay } : { kind: "stop" };
}
