/**
 * The interface to all decisions about requests under load, and their composition: admission, queue
 * order, placement, hedges, retries and the statistics that they learn from.
 *
 * @module
 */
import { RetryCause } from "../interface/index.ts";
import type { LoadReport, Random, Worker } from "../interface/index.ts";
import { decideAdmission, WaitKind } from "./admission.ts";
import type { AdmissionView, PredictedWait } from "./admission.ts";
import { createEstimator } from "./estimate.ts";
import type { FairQueueOptions } from "./fair_queue.ts";
import {
  MIN_FIRST_TOKENS,
  HEDGE_PERCENTILE,
  HEDGE_TARGET_FRACTION,
  MAX_HEDGE_UTILIZATION,
  hedgeDelay,
  canHedge,
} from "./hedge.ts";
import { Lane } from "./job.ts";
import type { Admission, Arrival, Job, Placement } from "./job.ts";
import { EMPTY_POLICY, machineAverage, targetOf } from "./policy.ts";
import type { Policy } from "./policy.ts";
import { createPrefixCacheIndex } from "./prefix_cache_index.ts";
import { createReclaimRisk } from "./reclaim_risk.ts";
import { createRetryBudget, decideRetry } from "./retry_budget.ts";
import type { RetryDecision } from "./retry_budget.ts";
import { createRunTable } from "./run_table.ts";
import type { Run } from "./run_table.ts";
import { createServiceState, reservedSlots } from "./service_state.ts";
import type { ServiceState } from "./service_state.ts";
import type { ServiceSnapshot } from "./service_snapshot.ts";
import { createAccountUsage } from "./account_usage.ts";
import { chooseWorker } from "./worker_choice.ts";
import type { WorkerChoice } from "./worker_choice.ts";
import { createWorkerPool, recordPrefill, prefillFactor, effectiveLimit } from "./worker_pool.ts";
import type { PoolWorker } from "./worker_pool.ts";

/** How a job's run ended; determines what is learned from it. */
export enum RunEnd {
  Complete = "complete",
  Failed = "failed",
  Cancelled = "cancelled",
  /** The job continues on another worker. */
  Moved = "moved",
}

/** A cache event of a backend server. Events arrive late, and some are missing. */
export interface CacheEvent {
  readonly worker: string;
  readonly kind: "stored" | "evicted";
  /** Prefix hashes, as in {@linkcode Arrival}. */
  readonly blocks: readonly string[];
}

/** Options of {@linkcode Scheduler.place}. */
export interface PlaceOptions {
  readonly now: number;
  readonly random: Random;
  /** Workers on which this job failed; it is never placed on the same one twice. */
  readonly avoid: ReadonlySet<string>;
}

/** Whether a job with a late first token is also sent to a second worker. */
export type Hedge =
  | { readonly kind: "hedge"; readonly worker: string }
  /** Call again after `delay` milliseconds if the first token hasn't arrived by then. */
  | { readonly kind: "later"; readonly delay: number }
  /** The job may not be repeated, the budget is used up, or no other worker has a free slot. */
  | { readonly kind: "none" };

/** Options of {@linkcode Scheduler.hedge}. */
export interface HedgeOptions extends PlaceOptions {
  /** When the job was dispatched. */
  readonly dispatchedAt: number;
}

/** Details of a run's end besides {@linkcode RunEnd}. */
export interface RunEndDetails {
  readonly now: number;
  /** Tokens of the answer, including those resumed from. */
  readonly answerTokens: number;
  /**
   * The run's worker, needed if a hedge makes two runs of one job; otherwise the job's only run is
   * meant.
   */
  readonly worker?: string;
  /** Why a run failed. A silent connection, for example, doesn't count as the worker's failure. */
  readonly cause?: RetryCause;
}

/** The scheduler's estimate of one worker, for status pages and tests. */
export interface WorkerSnapshot {
  readonly worker: string;
  readonly service: string;
  /** Jobs that may run at once on the worker, from all entry instances. */
  readonly limit: number;
  /** Estimated jobs on the worker, from all entry instances. */
  readonly load: number;
  /** Jobs of this entry instance on the worker. */
  readonly ownJobs: number;
  /** Whether the worker gets no jobs for a while because it was slow or failed. */
  readonly isEjected: boolean;
}

/** The scheduler's present state. */
export interface SchedulerSnapshot {
  readonly workers: readonly WorkerSnapshot[];
  readonly services: readonly ServiceSnapshot[];
}

/**
 * All decisions about requests under load, of one entry instance. The entry instance and the replay
 * use the same one. It has no clock, no randomness and no network of its own: every call passes
 * `now`, in the clock's milliseconds.
 */
export interface Scheduler {
  /** Replaces the settings; learned statistics and accepted jobs are kept. */
  configure(policy: Policy, now: number): void;
  /**
   * Sets the number of entry instances that share the workers and the accounts' limits; 1 at first.
   */
  setInstances(count: number, now: number): void;
  /** Accepts or refuses a request at once; counts it if it is accepted. */
  admit(arrival: Arrival, now: number): Admission;
  /**
   * Counts a job that another entry instance has accepted and this one inherits. Such a job is
   * never refused.
   *
   * @returns The job, with this instance's own estimate.
   */
  adopt(arrival: Arrival, now: number): Job;
  /** Returns the options for the queue class of the service's p-queue. */
  queueOptions(service: string): FairQueueOptions;
  /**
   * Chooses the worker of a waiting job and counts the job as running there. On `wait` the job
   * still counts as waiting: call again after a run has ended or a report has been received.
   */
  place(job: Job, options: PlaceOptions): Placement;
  /**
   * Decides whether a job with a late first token is also sent to a second worker, and counts that
   * run.
   */
  hedge(job: Job, options: HedgeOptions): Hedge;
  /**
   * Returns how many jobs of the service this instance may run at once, over all its workers; at
   * least 1.
   */
  capacity(service: string, now: number): number;
  /** Records the first token of a run; `worker` as in {@linkcode RunEndDetails}. */
  recordFirstToken(id: string, now: number, worker?: string): void;
  /** Records a further token of a run. */
  recordToken(id: string, now: number, worker?: string): void;
  /** Ends the job's run on its worker. */
  runEnded(id: string, end: RunEnd, details: RunEndDetails): void;
  /** Ends the job and any run that it still has. */
  jobEnded(job: Job, now: number): void;
  /** Decides whether a failed job is sent again, and when. */
  retry(job: Job, cause: RetryCause, details: { now: number; random: Random }): RetryDecision;
  /** Replaces the list of workers. */
  setWorkers(workers: readonly Worker[], now: number): void;
  /** Records a worker's load report. */
  recordLoadReport(report: LoadReport, now: number): void;
  /** Records a cache event. */
  recordCacheEvent(event: CacheEvent, now: number): void;
  /** Returns the present state. */
  snapshot(now: number): SchedulerSnapshot;
}

/** Options that stay the same during the scheduler's lifetime. */
export interface SchedulerOptions {
  /** The entry instance's availability zone; workers in it are preferred among equals. */
  readonly zone?: string;
}

const LANES = [Lane.Lookup, Lane.Script];
/** The percentile of the time to first token that admission uses. */
const ADMISSION_PERCENTILE = 0.9;
/** Lookups' share of the speed while scripts wait: the queue's weights, four to one. */
const LOOKUP_SHARE = 0.8;
/** Milliseconds over which rates of work are measured. */
const RATE_WINDOW = 10_000;
/**
 * A prompt is short if its computation takes at most this fraction of the first-token target; only
 * short prompts show how full a batch is.
 */
const SHORT_PROMPT_FRACTION = 0.25;
/**
 * Each instance allows an account twice its even share of the limits, because callers don't spread
 * evenly over the instances.
 */
const LIMIT_FACTOR = 2;

/**
 * Creates the scheduler of one entry instance or of a replay.
 *
 * @param policy The current settings; a `Deployment` satisfies the type.
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
  let currentPolicy = policy;
  let instances = 1;
  let hasSalt = false;
  const estimator = createEstimator(policy);
  const pool = createWorkerPool(policy);
  const runs = createRunTable();
  const budget = createRetryBudget();
  const reclaimRisk = createReclaimRisk();
  const machine = machineAverage(policy);
  const prefixCache = createPrefixCacheIndex(
    (machine.cacheTokens * 1_000) / machine.tokensPerSecond,
  );
  const services = new Map<string, ServiceState>();
  const accountUsage = createAccountUsage();
  const excessWork = new Map<string, number>();

  const stateOf = (service: string): ServiceState => {
    const known = services.get(service) ?? createServiceState(LANES);
    services.set(service, known);
    return known;
  };
  const weightOf = (account: string): number => currentPolicy.accounts[account]?.weight ?? 1;
  const tick = (service: string, now: number): void => {
    pool.setReservedSlots(
      service,
      reservedSlots(stateOf(service).lanes[Lane.Lookup], { now, instances }),
    );
    pool.tick(service, now);
  };
  /** Returns the tokens of work per second that a lane can count on at this instance. */
  const rateOf = (service: string, lane: Lane, now: number): number => {
    const { lanes, completedWork } = stateOf(service);
    const nominal = pool.service(service).speed / instances;
    const rate = Math.max(nominal, completedWork.rate(now, { span: RATE_WINDOW }));
    if (lane === Lane.Lookup)
      return lanes[Lane.Script].waitingJobs > 0 ? rate * LOOKUP_SHARE : rate;
    const lookups = lanes[Lane.Lookup].arrivedWork.rate(now, { span: RATE_WINDOW });
    return Math.max(rate * (1 - LOOKUP_SHARE), rate - lookups);
  };
  /** Returns the mean milliseconds until one of this instance's runs ends. */
  const meanTimeToFreeSlot = ({ service, estimate }: Job): number => {
    const { lanes } = stateOf(service);
    const { meanRun } = pool.service(service);
    const endRate = (lane: Lane): number =>
      lanes[lane].running / (meanRun[lane] || estimate.serviceTime);
    const rate = LANES.reduce((sum, lane) => sum + endRate(lane), 0);
    return rate === 0 ? estimate.serviceTime : 1 / rate;
  };
  const admissionView = (job: Job, now: number): AdmissionView => {
    const { account, service, lane, estimate, deadlineAt, detached } = job;
    const state = stateOf(service);
    const laneState = state.lanes[lane];
    const workers = pool.service(service);
    const waiting = laneState.byAccount.get(account);
    const weight = weightOf(account);
    const hasEnoughSamples = laneState.firstTokens.count >= MIN_FIRST_TOKENS;
    const accountLimits = currentPolicy.accounts[account];
    return {
      now,
      deadlineAt,
      detached,
      estimate,
      target: targetOf(currentPolicy, service),
      rate: rateOf(service, lane, now),
      hasFreeSlot: workers.freeSlots[lane] > 0,
      liveWorkers: workers.liveWorkers,
      freeSlotInterval: meanTimeToFreeSlot(job),
      totalWaitingJobs: accountUsage.waitingJobs(services),
      waitingWork: laneState.waitingWork,
      accountWaitingWork: (detached ? waiting?.work : waiting?.interactiveWork) ?? 0,
      weight,
      activeWeight: laneState.activeWeight + (waiting === undefined ? weight : 0),
      queueCorrection: state.correction(WaitKind.QueuedWork),
      freeSlotCorrection: state.correction(WaitKind.FreeSlot),
      firstTokenLatency: hasEnoughSamples
        ? laneState.firstTokens.quantile(ADMISSION_PERCENTILE)
        : undefined,
      accountJobs: accountUsage.jobs(account),
      accountWork: accountUsage.work(account),
      limits: accountLimits === undefined ? undefined : instanceLimits(accountLimits, instances),
      reservedUntil: state.reservedUntil,
    };
  };
  const recordAdmitted = (job: Job, now: number, predicted: PredictedWait): void => {
    accountUsage.add(job);
    stateOf(job.service).recordAdmission(job, { now, predicted, weight: weightOf(job.account) });
  };
  const start = (job: Job, { worker, uncachedTokens }: WorkerChoice, now: number): void => {
    runs.start(job, { worker, uncachedTokens, now });
    worker.load.recordDispatch(job.id, { cacheTokens: job.estimate.cacheTokens, now });
    pool.service(job.service).ownRuns++;
    prefixCache.recordStored(worker.worker.id, job.prefix, now);
    pool.refresh(worker, now);
  };
  const choose = (
    job: Job,
    options: PlaceOptions,
    maxUtilization?: number,
  ): WorkerChoice | undefined => {
    const { now, random } = options;
    if (!hasSalt) pool.setSalt(random.next());
    hasSalt = true;
    tick(job.service, now);
    const avoid = runs.excludedWorkers(job.id, options.avoid);
    const service = pool.service(job.service);
    const target = targetOf(currentPolicy, job.service);
    return chooseWorker(job, {
      now,
      random,
      avoid,
      service,
      target,
      prefixCache,
      reclaimRisk,
      zone,
      maxUtilization,
    });
  };
  const recordOutcome = (run: Run, end: RunEnd, { now, cause }: RunEndDetails): void => {
    const isFailure = end === RunEnd.Failed;
    if (isFailure && cause === RetryCause.ConnectFailed) pool.recordConnectFailure(run.worker, now);
    const failed = isFailure && !NON_WORKER_FAILURES.has(cause);
    if (failed || end === RunEnd.Complete) pool.recordRunEnd(run.worker, { failed, now });
    else pool.refresh(run.worker, now);
  };
  const learnAnswer = (job: Job, answerTokens: number): void => {
    estimator.recordAnswer(job, answerTokens);
    const key = accountKey(job.service, job.account);
    const excess = estimator.workOf(job.promptTokens, answerTokens) - job.estimate.work;
    excessWork.set(key, (excessWork.get(key) ?? 0) + excess);
  };

  return {
    configure: (next) => {
      currentPolicy = next;
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
      const state = stateOf(arrival.service);
      state.recordArrival(arrival, job.estimate.work, now);
      const decision = decideAdmission(admissionView(job, now));
      if (decision.kind === "refuse") {
        state.reservedUntil = now + decision.retryAfter;
        return { kind: "refused", reason: decision.reason, retryAfter: decision.retryAfter };
      }
      recordAdmitted(job, now, decision.predicted);
      return { kind: "admitted", job };
    },
    adopt: (arrival, now) => {
      const job = { ...arrival, estimate: estimator.estimate(arrival), resumedTokens: 0 };
      if (!stateOf(job.service).has(job.id))
        recordAdmitted(job, now, { wait: 0, kind: WaitKind.QueuedWork });
      return job;
    },
    queueOptions: (service) => ({
      weightOf,
      canStart: (lane) => pool.service(service).freeSlots[lane] > 0,
      takeExcessWork: (account) => {
        const key = accountKey(service, account);
        const excess = excessWork.get(key) ?? 0;
        excessWork.delete(key);
        return excess;
      },
    }),
    place: (job, options) => {
      const choice = choose(job, options);
      if (choice === undefined) return { kind: "wait" };
      stateOf(job.service).recordPlacement(job, options.now);
      start(job, choice, options.now);
      return { kind: "placed", worker: choice.worker.worker.id };
    },
    hedge: (job, options) => {
      const laneState = stateOf(job.service).lanes[job.lane];
      const percentile = laneState.firstTokens.quantile(HEDGE_PERCENTILE);
      if (!canHedge(job) || runs.runsOf(job.id).length !== 1) return { kind: "none" };
      if (percentile === undefined || laneState.firstTokens.count < MIN_FIRST_TOKENS)
        return { kind: "none" };
      const { firstToken } = targetOf(currentPolicy, job.service);
      const typical = Math.max(percentile, firstToken * HEDGE_TARGET_FRACTION);
      const delay = hedgeDelay({ ...options, typical });
      if (delay > 0) return { kind: "later", delay };
      const choice = choose(job, options, MAX_HEDGE_UTILIZATION);
      if (choice === undefined || !budget.take(job)) return { kind: "none" };
      start(job, choice, options.now);
      return { kind: "hedge", worker: choice.worker.worker.id };
    },
    capacity: (service, now) => {
      tick(service, now);
      const { ownRuns, freeSlots } = pool.service(service);
      return Math.max(1, ownRuns + Math.max(freeSlots[Lane.Lookup], freeSlots[Lane.Script]));
    },
    recordFirstToken: (id, now, worker) => {
      const run = runs.find(id, worker);
      if (run === undefined) return;
      if (run.lastTokenAt !== undefined) return;
      const { job } = run;
      run.worker.queuedPrefillTokens -= run.uncachedTokens;
      const state = stateOf(job.service);
      const waited = now - run.dispatchedAt;
      run.lastTokenAt = now;
      state.lanes[job.lane].firstTokens.add(waited);
      state.completedWork.add(estimator.workOf(job.promptTokens, 1), now);
      const prefill = (run.uncachedTokens * 1_000) / run.worker.machine.prefillPerSecond;
      const expectedPrefill = prefill * prefillFactor(pool.service(job.service));
      const { firstToken } = targetOf(currentPolicy, job.service);
      // The first token of a long prompt is late by itself, whatever the batch.
      if (expectedPrefill <= firstToken * SHORT_PROMPT_FRACTION)
        run.worker.limit.recordFirstToken(waited);
      recordPrefill(pool.service(job.service), waited, prefill);
    },
    recordToken: (id, now, worker) => {
      const run = runs.find(id, worker);
      if (run === undefined) return;
      const gap = now - (run.lastTokenAt ?? now);
      run.lastTokenAt = now;
      stateOf(run.job.service).completedWork.add(1, now);
      run.worker.limit.recordGap(gap);
      run.worker.gaps.add(gap);
      estimator.recordTokenGap(run.job.service, gap);
    },
    runEnded: (id, end, details) => {
      const run = runs.find(id, details.worker);
      if (run === undefined) return;
      runs.end(run, end === RunEnd.Failed && !NON_WORKER_FAILURES.has(details.cause));
      const runTime = run.worker.load.recordEnd(id, details.now);
      if (runTime !== undefined) pool.recordRunTime(run.job, runTime);
      pool.service(run.job.service).ownRuns--;
      recordOutcome(run, end, details);
      const isOver = end === RunEnd.Complete || end === RunEnd.Cancelled;
      if (!isOver && runs.runsOf(id).length === 0) {
        stateOf(run.job.service).recordReturn(run.job, weightOf(run.job.account));
      }
      if (end === RunEnd.Complete) budget.recordSuccess(run.job);
      if (end === RunEnd.Complete) learnAnswer(run.job, details.answerTokens);
    },
    jobEnded: (job, now) => {
      for (const run of runs.runsOf(job.id)) {
        runs.end(run, false);
        run.worker.load.recordEnd(job.id, now);
        pool.service(job.service).ownRuns--;
        pool.refresh(run.worker, now);
      }
      runs.remove(job.id);
      accountUsage.remove(job);
      stateOf(job.service).recordJobEnd(job, now);
    },
    retry: (job, cause, { now, random }) => {
      const failures = Math.max(1, runs.failures(job.id));
      return decideRetry(job, { cause, failures, budget, now, random });
    },
    setWorkers: (workers, now) => {
      reclaimRisk.observe(workers, now);
      pool.setWorkers(workers, now);
    },
    recordLoadReport: (report, now) => pool.report(report, now),
    recordCacheEvent: ({ worker, kind, blocks }, now) => {
      if (kind === "stored") prefixCache.recordStored(worker, blocks, now);
      else prefixCache.recordEvicted(worker, blocks);
    },
    snapshot: (now) => ({
      workers: [...pool.all()].map((entry) => snapshotOf(entry, now)),
      services: [...services].map(([service, state]) => state.snapshot(service, now)),
    }),
  };
}

/** Failures that are not the worker's fault or that are counted separately. */
const NON_WORKER_FAILURES: ReadonlySet<RetryCause | undefined> = new Set([
  RetryCause.ConnectFailed,
  RetryCause.SilentConnection,
  RetryCause.WorkerReclaimed,
  RetryCause.OwnerMoved,
  RetryCause.StaleEpoch,
]);

function accountKey(service: string, account: string): string {
  return `${service} ${account}`;
}

function instanceLimits(
  { maxRequests, maxTokens }: { maxRequests: number; maxTokens: number },
  instances: number,
): { maxRequests: number; maxTokens: number } {
  const fraction = Math.min(1, LIMIT_FACTOR / instances);
  return {
    maxRequests: Math.ceil(maxRequests * fraction),
    maxTokens: Math.ceil(maxTokens * fraction),
  };
}

function snapshotOf(entry: PoolWorker, now: number): WorkerSnapshot {
  return {
    worker: entry.worker.id,
    service: entry.worker.service,
    limit: effectiveLimit(entry, now),
    load: Math.round(entry.load.load()),
    ownJobs: entry.load.ownJobs(),
    isEjected: entry.ejection !== undefined && now < entry.ejection.until,
  };
}
