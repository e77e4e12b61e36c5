/**
 * The face of all decisions about requests under load, and how they are put together.
 *
 * @module
 */
import { RetryCause } from "../interface/index.ts";
import type { LoadReport, Random, Worker } from "../interface/index.ts";
import { judgeArrival, WaitKind } from "./admission.ts";
import type { AdmissionView, PredictedWait } from "./admission.ts";
import { createEstimator } from "./estimate.ts";
import type { FairQueueOptions } from "./fair_queue.ts";
import {
  ENOUGH_FIRST_TOKENS,
  HEDGE_PERCENTILE,
  HEDGE_TARGET_PART,
  HEDGE_USE,
  hedgeDelay,
  mayHedge,
} from "./hedge.ts";
import { Lane } from "./job.ts";
import type { Admission, Arrival, Job, Placement } from "./job.ts";
import { EMPTY_POLICY, machineAverage, targetOf } from "./policy.ts";
import type { Policy } from "./policy.ts";
import { createPrefixBelief } from "./prefix_belief.ts";
import { createReclaimRisk } from "./reclaim_risk.ts";
import { createRetryBudget, decideRetry } from "./retry_budget.ts";
import type { Retry } from "./retry_budget.ts";
import { createRunTable } from "./run_table.ts";
import type { Run } from "./run_table.ts";
import { createServiceLedger, reserveFor } from "./service_ledger.ts";
import type { ServiceLedger } from "./service_ledger.ts";
import type { ServiceSnapshot } from "./service_snapshot.ts";
import { createHeldWork } from "./held_work.ts";
import { chooseWorker } from "./worker_choice.ts";
import type { Choice } from "./worker_choice.ts";
import { createWorkerPool, learnPrefill, prefillFactor, usableLimit } from "./worker_pool.ts";
import type { PoolWorker } from "./worker_pool.ts";

/** How a job's run ended, for what is learned from it. */
export enum RunEnd {
  Complete = "complete",
  Failed = "failed",
  Cancelled = "cancelled",
  /** Goes on elsewhere. */
  Moved = "moved",
}

/** A cache event of a backend server: late, and some are missing. */
export interface CacheEvent {
  readonly worker: string;
  readonly kind: "stored" | "evicted";
  /** Prefix hashes, as in {@linkcode Arrival}. */
  readonly blocks: readonly string[];
}

/** What {@linkcode Scheduler.place} may use besides the job. */
export interface PlaceOptions {
  readonly now: number;
  readonly random: Random;
  /** Workers that have failed this job: never the same one twice. */
  readonly avoid: ReadonlySet<string>;
}

/** Whether a job whose first token is late is sent to a second worker as well. */
export type Hedge =
  | { readonly kind: "hedge"; readonly worker: string }
  /** Ask again after `delay` milliseconds if the first token hasn't come by then. */
  | { readonly kind: "later"; readonly delay: number }
  /** Not to be repeated, no budget, or no other worker with room. */
  | { readonly kind: "none" };

/** What {@linkcode Scheduler.hedge} may use besides the job. */
export interface HedgeOptions extends PlaceOptions {
  /** When the job was dispatched. */
  readonly dispatchedAt: number;
}

/** How a run ended, besides {@linkcode RunEnd}. */
export interface RunEndDetails {
  readonly now: number;
  /** What the answer came to, tokens resumed from included. */
  readonly answerTokens: number;
  /** The run's worker, where a hedge makes two runs of one job; else the job's only run is meant. */
  readonly worker?: string;
  /** Why a run failed: a connection that went silent says nothing against the worker. */
  readonly cause?: RetryCause;
}

/** What the scheduler believes of one worker, for status pages and tests. */
export interface WorkerSnapshot {
  readonly worker: string;
  readonly service: string;
  /** Jobs that may run at once on the worker, from all entry instances. */
  readonly limit: number;
  /** Jobs believed to be on the worker, from all entry instances. */
  readonly load: number;
  /** Jobs of this entry instance on the worker. */
  readonly own: number;
  readonly ejected: boolean;
}

/** What the scheduler believes now. */
export interface SchedulerSnapshot {
  readonly workers: readonly WorkerSnapshot[];
  readonly services: readonly ServiceSnapshot[];
}

/**
 * All decisions about requests under load, of one entry instance. The entry instance and the replay use
 * the same one. It has no clock, no randomness and no network of its own: every call passes `now`.
 */
export interface Scheduler {
  /** Puts a new revision's settings in force; what was learned and accepted stays. */
  configure(policy: Policy, now: number): void;
  /** Says how many entry instances share the workers and the accounts' bounds; 1 at first. */
  setInstances(count: number, now: number): void;
  /** Lets a request in or turns it away at once; counts it in when admitted. */
  admit(arrival: Arrival, now: number): Admission;
  /**
   * Counts in a job that another entry instance has accepted and this one inherits. Never refused.
   *
   * @returns The job, with this instance's own estimate.
   */
  adopt(arrival: Arrival, now: number): Job;
  /** What the queue class of the service's p-queue is made with. */
  queueOptions(service: string): FairQueueOptions;
  /**
   * Chooses the worker of a waiting job and counts the job as running there. On `wait` the job keeps its
   * place: ask again when a run has ended or a report has come.
   */
  place(job: Job, options: PlaceOptions): Placement;
  /** Says whether a job whose first token is late is sent to a second worker; counts that run in. */
  hedge(job: Job, options: HedgeOptions): Hedge;
  /** How many jobs of the service this instance may run at once, over all its workers; at least 1. */
  capacity(service: string, now: number): number;
  /** The first token of a run has come; `worker` as in {@linkcode RunEndDetails}. */
  firstToken(id: string, now: number, worker?: string): void;
  /** A further token of a run has come. */
  token(id: string, now: number, worker?: string): void;
  /** Ends the job's run on its worker. */
  runEnded(id: string, end: RunEnd, details: RunEndDetails): void;
  /** Forgets the job: it has its end. */
  settled(job: Job, now: number): void;
  retry(job: Job, cause: RetryCause, details: { now: number; random: Random }): Retry;
  setWorkers(workers: readonly Worker[], now: number): void;
  report(report: LoadReport, now: number): void;
  cacheEvent(event: CacheEvent, now: number): void;
  snapshot(now: number): SchedulerSnapshot;
}

/** What does not change while the scheduler lives. */
export interface SchedulerOptions {
  /** The entry instance's availability zone, to prefer near workers among equals. */
  readonly zone?: string;
}

const LANES = [Lane.Lookup, Lane.Script];
/** Nine first tokens in ten come within what admission counts on. */
const ADMISSION_PERCENTILE = 0.9;
/** The part of the speed that lookups get while scripts wait: the queue's weights, four to one. */
const LOOKUP_PART = 0.8;
const DRAIN_SPAN = 10_000;
/** Prompts whose computing takes at most this part of the target tell how full a batch is. */
const SHORT_PROMPT_PART = 0.25;
/** Accounts are bounded on each instance at twice its part: callers don't spread evenly. */
const BOUND_FACTOR = 2;

/**
 * Makes the scheduler of one entry instance, or of a replay.
 *
 * @param policy The settings in force; a `Deployment` is one.
 *
 * @example
 * ```ts
 * const scheduler = createScheduler(revision.deployment, { zone: "sofia-a" });
 * const admission = scheduler.admit(arrival, clock.now());
 * ```
 */
export function createScheduler(
  policy: Policy = EMPTY_POLICY,
  { zone }: SchedulerOptions = {},
): Scheduler {
  let inForce = policy;
  let instances = 1;
  let salted = false;
  const estimator = createEstimator(policy);
  const pool = createWorkerPool(policy);
  const runs = createRunTable();
  const budget = createRetryBudget();
  const risk = createReclaimRisk();
  const machine = machineAverage(policy);
  const belief = createPrefixBelief((machine.cacheTokens * 1_000) / machine.tokensPerSecond);
  const ledgers = new Map<string, ServiceLedger>();
  const held = createHeldWork();
  const debts = new Map<string, number>();

  const ledgerOf = (service: string): ServiceLedger => {
    const known = ledgers.get(service) ?? createServiceLedger(LANES);
    ledgers.set(service, known);
    return known;
  };
  const weightOf = (account: string): number => inForce.accounts[account]?.weight ?? 1;
  const tick = (service: string, now: number): void => {
    pool.setReserve(service, reserveFor(ledgerOf(service).lanes[Lane.Lookup], { now, instances }));
    pool.tick(service, now);
  };
  /** Tokens of work a second that a lane can count on at this instance. */
  const rateOf = (service: string, lane: Lane, now: number): number => {
    const { lanes, drained } = ledgerOf(service);
    const nominal = pool.service(service).speed / instances;
    const rate = Math.max(nominal, drained.rate(now, { span: DRAIN_SPAN }));
    if (lane === Lane.Lookup) return lanes[Lane.Script].waitingJobs > 0 ? rate * LOOKUP_PART : rate;
    const lookups = lanes[Lane.Lookup].arrived.rate(now, { span: DRAIN_SPAN });
    return Math.max(rate * (1 - LOOKUP_PART), rate - lookups);
  };
  /** Milliseconds until one of this instance's runs ends, on the average. */
  const turnOf = ({ service, estimate }: Job): number => {
    const { lanes } = ledgerOf(service);
    const { meanRun } = pool.service(service);
    const endsAt = (lane: Lane): number =>
      lanes[lane].running / (meanRun[lane] || estimate.serviceTime);
    const rate = LANES.reduce((sum, lane) => sum + endsAt(lane), 0);
    return rate === 0 ? estimate.serviceTime : 1 / rate;
  };
  const viewOf = (job: Job, now: number): AdmissionView => {
    const { account, service, lane, estimate, deadlineAt, detached } = job;
    const ledger = ledgerOf(service);
    const book = ledger.lanes[lane];
    const workers = pool.service(service);
    const waiting = book.byAccount.get(account);
    const weight = weightOf(account);
    const enough = book.firstTokens.count >= ENOUGH_FIRST_TOKENS;
    const bounds = inForce.accounts[account];
    return {
      now,
      deadlineAt,
      detached,
      estimate,
      target: targetOf(inForce, service),
      rate: rateOf(service, lane, now),
      hasRoom: workers.room[lane] > 0,
      workers: workers.live,
      turn: turnOf(job),
      allWaitingJobs: held.waitingJobs(ledgers),
      waitingWork: book.waitingWork,
      ownWaitingWork: (detached ? waiting?.work : waiting?.urgent) ?? 0,
      weight,
      activeWeight: book.activeWeight + (waiting === undefined ? weight : 0),
      correction: ledger.correction(WaitKind.Ahead),
      turnCorrection: ledger.correction(WaitKind.Turn),
      firstToken: enough ? book.firstTokens.quantile(ADMISSION_PERCENTILE) : undefined,
      heldJobs: held.jobs(account),
      heldWork: held.work(account),
      bounds: bounds === undefined ? undefined : boundsHere(bounds, instances),
      promisedUntil: ledger.promisedUntil,
    };
  };
  const countIn = (job: Job, now: number, predicted: PredictedWait): void => {
    held.add(job);
    ledgerOf(job.service).admitted(job, { now, predicted, weight: weightOf(job.account) });
  };
  const start = (job: Job, { worker, computes }: Choice, now: number): void => {
    runs.start(job, { worker, computes, now });
    worker.load.dispatched(job.id, { cacheTokens: job.estimate.cacheTokens, now });
    pool.service(job.service).own++;
    belief.stored(worker.worker.id, job.prefix, now);
    pool.refresh(worker, now);
  };
  const choose = (job: Job, options: PlaceOptions, greatestUse?: number): Choice | undefined => {
    const { now, random } = options;
    if (!salted) pool.setSalt(random.next());
    salted = true;
    tick(job.service, now);
    const avoid = runs.avoided(job.id, options.avoid);
    const service = pool.service(job.service);
    const target = targetOf(inForce, job.service);
    return chooseWorker(job, {
      now,
      random,
      avoid,
      service,
      target,
      belief,
      risk,
      zone,
      greatestUse,
    });
  };
  const blame = (run: Run, end: RunEnd, { now, cause }: RunEndDetails): void => {
    const isFailure = end === RunEnd.Failed;
    if (isFailure && cause === RetryCause.ConnectFailed) pool.connectFailed(run.worker, now);
    const failed = isFailure && !BLAMELESS.has(cause);
    if (failed || end === RunEnd.Complete) pool.ended(run.worker, { failed, now });
    else pool.refresh(run.worker, now);
  };
  const learnFrom = (job: Job, answerTokens: number): void => {
    estimator.learn(job, answerTokens);
    const key = debtKey(job.service, job.account);
    const above = estimator.workOf(job.promptTokens, answerTokens) - job.estimate.work;
    debts.set(key, (debts.get(key) ?? 0) + above);
  };

  return {
    configure: (next) => {
      inForce = next;
      estimator.configure(next);
      pool.configure(next);
    },
    setInstances: (count) => {
      instances = Math.max(1, count);
      pool.setInstances(instances);
    },
    admit: (arrival, now) => {
      tick(arrival.service, now);
      const job = { ...arrival, estimate: estimator.estimate(arrival), resumedTokens: 0 };
      const ledger = ledgerOf(arrival.service);
      ledger.offered(arrival, job.estimate.work, now);
      const verdict = judgeArrival(viewOf(job, now));
      if (verdict.kind === "refuse") {
        ledger.promisedUntil = now + verdict.retryAfter;
        return { kind: "refused", reason: verdict.reason, retryAfter: verdict.retryAfter };
      }
      countIn(job, now, verdict.predicted);
      return { kind: "admitted", job };
    },
    adopt: (arrival, now) => {
      const job = { ...arrival, estimate: estimator.estimate(arrival), resumedTokens: 0 };
      if (!ledgerOf(job.service).has(job.id)) countIn(job, now, { wait: 0, kind: WaitKind.Ahead });
      return job;
    },
    queueOptions: (service) => ({
      weightOf,
      mayStart: (lane) => pool.service(service).room[lane] > 0,
      takeDebt: (account) => {
        const key = debtKey(service, account);
        const debt = debts.get(key) ?? 0;
        debts.delete(key);
        return debt;
      },
    }),
    place: (job, options) => {
      const choice = choose(job, options);
      if (choice === undefined) return { kind: "wait" };
      ledgerOf(job.service).placed(job, options.now);
      start(job, choice, options.now);
      return { kind: "placed", worker: choice.worker.worker.id };
    },
    hedge: (job, options) => {
      const book = ledgerOf(job.service).lanes[job.lane];
      const percentile = book.firstTokens.quantile(HEDGE_PERCENTILE);
      if (!mayHedge(job) || runs.of(job.id).length !== 1) return { kind: "none" };
      if (percentile === undefined || book.firstTokens.count < ENOUGH_FIRST_TOKENS)
        return { kind: "none" };
      const { firstToken } = targetOf(inForce, job.service);
      const typical = Math.max(percentile, firstToken * HEDGE_TARGET_PART);
      const delay = hedgeDelay({ ...options, typical });
      if (delay > 0) return { kind: "later", delay };
      const choice = choose(job, options, HEDGE_USE);
      if (choice === undefined || !budget.take(job)) return { kind: "none" };
      start(job, choice, options.now);
      return { kind: "hedge", worker: choice.worker.worker.id };
    },
    capacity: (service, now) => {
      tick(service, now);
      const { own, room } = pool.service(service);
      return Math.max(1, own + Math.max(room[Lane.Lookup], room[Lane.Script]));
    },
    firstToken: (id, now, worker) => {
      const run = runs.find(id, worker);
      if (run === undefined) return;
      if (run.lastTokenAt !== undefined) return;
      const { job } = run;
      run.worker.prefillAhead -= run.computes;
      const ledger = ledgerOf(job.service);
      const waited = now - run.dispatchedAt;
      run.lastTokenAt = now;
      ledger.lanes[job.lane].firstTokens.add(waited);
      ledger.drained.add(estimator.workOf(job.promptTokens, 1), now);
      const prefill = (run.computes * 1_000) / run.worker.machine.prefillPerSecond;
      const usual = prefill * prefillFactor(pool.service(job.service));
      const { firstToken } = targetOf(inForce, job.service);
      // A long prompt's first token is late by itself, whatever the batch.
      if (usual <= firstToken * SHORT_PROMPT_PART) run.worker.limit.firstToken(waited);
      learnPrefill(pool.service(job.service), waited, prefill);
    },
    token: (id, now, worker) => {
      const run = runs.find(id, worker);
      if (run === undefined) return;
      const gap = now - (run.lastTokenAt ?? now);
      run.lastTokenAt = now;
      ledgerOf(run.job.service).drained.add(1, now);
      run.worker.limit.gap(gap);
      run.worker.gaps.add(gap);
      estimator.learnGap(run.job.service, gap);
    },
    runEnded: (id, end, details) => {
      const run = runs.find(id, details.worker);
      if (run === undefined) return;
      runs.end(run, end === RunEnd.Failed && !BLAMELESS.has(details.cause));
      const took = run.worker.load.ended(id, details.now);
      if (took !== undefined) pool.ranFor(run.job, took);
      pool.service(run.job.service).own--;
      blame(run, end, details);
      const isOver = end === RunEnd.Complete || end === RunEnd.Cancelled;
      if (!isOver && runs.of(id).length === 0) {
        ledgerOf(run.job.service).returned(run.job, weightOf(run.job.account));
      }
      if (end === RunEnd.Complete) budget.succeeded(run.job);
      if (end === RunEnd.Complete) learnFrom(run.job, details.answerTokens);
    },
    settled: (job, now) => {
      for (const run of runs.of(job.id)) {
        runs.end(run, false);
        run.worker.load.ended(job.id, now);
        pool.service(job.service).own--;
        pool.refresh(run.worker, now);
      }
      runs.forget(job.id);
      held.remove(job);
      ledgerOf(job.service).settled(job, now);
    },
    retry: (job, cause, { now, random }) => {
      const failures = Math.max(1, runs.failures(job.id));
      return decideRetry(job, { cause, failures, budget, now, random });
    },
    setWorkers: (workers, now) => {
      risk.observe(workers, now);
      pool.setWorkers(workers, now);
    },
    report: (report, now) => pool.report(report, now),
    cacheEvent: ({ worker, kind, blocks }, now) => {
      if (kind === "stored") belief.stored(worker, blocks, now);
      else belief.evicted(worker, blocks);
    },
    snapshot: (now) => ({
      workers: [...pool.all()].map((entry) => snapshotOf(entry, now)),
      services: [...ledgers].map(([service, ledger]) => ledger.snapshot(service, now)),
    }),
  };
}

/** Failures that say nothing against the worker, or that are counted apart. */
const BLAMELESS: ReadonlySet<RetryCause | undefined> = new Set([
  RetryCause.ConnectFailed,
  RetryCause.SilentConnection,
  RetryCause.WorkerReclaimed,
  RetryCause.OwnerMoved,
  RetryCause.StaleEpoch,
]);

function debtKey(service: string, account: string): string {
  return `${service} ${account}`;
}

function boundsHere(
  { maxRequests, maxTokens }: { maxRequests: number; maxTokens: number },
  instances: number,
): { maxRequests: number; maxTokens: number } {
  const part = Math.min(1, BOUND_FACTOR / instances);
  return { maxRequests: Math.ceil(maxRequests * part), maxTokens: Math.ceil(maxTokens * part) };
}

function snapshotOf(entry: PoolWorker, now: number): WorkerSnapshot {
  return {
    worker: entry.worker.id,
    service: entry.worker.service,
    limit: usableLimit(entry, now),
    load: Math.round(entry.load.load()),
    own: entry.load.own(),
    ejected: entry.ejection !== undefined && now < entry.ejection.until,
  };
}
