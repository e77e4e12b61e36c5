/**
 * The scheduler's view of the workers: limit, load, health and free slots of each worker, and the
 * total free slots of each service. Totals are updated with each change, so that reading them costs
 * nothing.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { LoadReport, Worker } from "../interface/index.ts";
import { createConcurrencyLimit, LOOKUP_OVERCOMMIT_FACTOR } from "./concurrency_limit.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { chooseEjections, nextEjection, activeFraction } from "./ejection.ts";
import type { EjectionState, PeerStats } from "./ejection.ts";
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";
import { machineOf, targetOf } from "./policy.ts";
import type { MachinePolicy, Policy } from "./policy.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { createWorkerLoad } from "./worker_load.ts";
import type { WorkerLoad } from "./worker_load.ts";

/** One worker with its learned limit, its load and its statistics. */
export interface PoolWorker {
  worker: Worker;
  readonly machine: MachinePolicy;
  readonly limit: ConcurrencyLimit;
  readonly load: WorkerLoad;
  /** Milliseconds between tokens, for the comparison with the other workers. */
  readonly gaps: QuantileSketch;
  /** Models that the worker reported as loaded. */
  loadedModels: ReadonlySet<string>;
  /** Ended runs and how many of them failed, with less weight for older runs. */
  runs: number;
  failures: number;
  ejection: EjectionState | undefined;
  /** The worker gets no jobs until this time because connecting to it failed. */
  unreachableUntil: number;
  /** Consecutive connect failures. */
  connectFailures: number;
  /** Euros per hour. */
  price: number;
  /** Jobs that the worker can accept now, by lane. */
  freeSlots: Readonly<Record<Lane, number>>;
  /** Index in the service's list of workers with a free slot, or -1. */
  openIndex: number;
  /**
   * Index among the service's live workers in the order of their ids; the same on all instances.
   */
  rank: number;
  /**
   * Makes the distribution of this worker's remainder of free slots independent of the other
   * workers'.
   */
  readonly salt: number;
  /** Prompt tokens of this instance's jobs that the worker has yet to compute. */
  queuedPrefillTokens: number;
  /** Lookups of this instance that run on the worker. */
  ownLookups: number;
}

/** All workers of one service. */
export interface ServicePool {
  readonly workers: Map<string, PoolWorker>;
  /** Workers with a free slot for a lookup, in no particular order. */
  readonly open: PoolWorker[];
  /** Free slots of all workers, by lane. */
  readonly freeSlots: Record<Lane, number>;
  /** Running jobs of this instance. */
  ownRuns: number;
  /** Number of live workers. */
  liveWorkers: number;
  /** Tokens of work per second of all live workers, reduced for workers with a reduced limit. */
  speed: number;
  /** The highest price of a live worker, in euros per hour. */
  maxPrice: number;
  /** Slots reserved for lookups over all workers. */
  reservedSlots: number;
  /** Jobs of other instances, summed over the workers, as of the last evaluation. */
  otherJobs: number;
  /** Limits, summed over the workers, as of the last evaluation. */
  limitSum: number;
  /** Sum of run times in milliseconds, with less weight for older runs. */
  runTimeSum: number;
  /** Sum of the squares of run times, with less weight for older runs. */
  runTimeSquareSum: number;
  /** Times to first token in hundredths of the time that computing the prompt alone would take. */
  readonly prefillRatios: QuantileSketch;
  /** Mean run time in milliseconds by lane, with less weight for older runs; 0 before the first. */
  readonly meanRun: Record<Lane, number>;
  /** Time of the last evaluation. */
  evaluatedAt: number;
}

/** The workers of all services. */
export interface WorkerPool {
  /** Returns the worker with this id; undefined for an unknown one. */
  find(worker: string): PoolWorker | undefined;
  /** Returns the workers of a service; an unknown service has none. */
  service(service: string): ServicePool;
  /** Replaces the policy; learned limits and statistics are kept. */
  configure(policy: Policy): void;
  /** Sets the number of entry instances that share the workers. */
  setInstances(count: number): void;
  /** Sets this instance's number for the distribution of shared free slots. */
  setSalt(salt: number): void;
  /** Replaces the list of workers; those that stay keep their statistics. */
  setWorkers(workers: readonly Worker[], now: number): void;
  /** Records a load report. */
  report(report: LoadReport, now: number): void;
  /** Updates a worker's free slots after a change of its load or limit. */
  refresh(worker: PoolWorker, now: number): void;
  /** Sets how many slots of a service are reserved for lookups. */
  setReservedSlots(service: string, slots: number): void;
  /** Records the run time of a job. */
  recordRunTime(job: Job, milliseconds: number): void;
  /** Records the end of a run; `failed` if it counts as the worker's failure. */
  recordRunEnd(worker: PoolWorker, details: { failed: boolean; now: number }): void;
  /** Excludes the worker for a time that doubles with each consecutive failure. */
  recordConnectFailure(worker: PoolWorker, now: number): void;
  /**
   * Compares the service's workers with each other and updates limits and loads; does nothing if
   * called again within a second.
   */
  tick(service: string, now: number): void;
  /** Returns the workers of all services. */
  all(): Iterable<PoolWorker>;
}

/** Scripts may use this fraction of each worker, however many lookups arrive. */
const MIN_SCRIPT_FRACTION = 0.5;
/** Minimum number of gaps between tokens before their median is used. */
const MIN_GAPS = 20;
/** Number of gaps after which the weight of a gap has halved. */
const GAP_HALF_LIFE = 200;
/** Number of first tokens after which the weight of a first token has halved. */
const PREFILL_HALF_LIFE = 200;
/** Ratios are stored in hundredths. */
const RATIO_SCALE = 100;
/** Engines give prompts at least a quarter of each step; anything slower is a queue of prompts. */
const MAX_PREFILL_FACTOR = 4;
/** The count of runs halves in about 35 runs, so a failing worker is detected after a few. */
const RUN_DECAY = 0.98;
/** Run times have an effect for about a hundred runs. */
const RUN_TIME_DECAY = 0.99;
/** The weight of a run in the mean run time. */
const MEAN_RUN_WEIGHT = 0.05;
/** Milliseconds. Gaps are compared once per second, as often as limits change. */
const EVALUATION_INTERVAL = 1_000;
/** An engine with a completely full cache evicts running requests. */
const USABLE_CACHE_FRACTION = 0.95;
/** Any divisor works that keeps the salts of thousands of workers distinct. */
const SALT_STEP = 7_919;
/** Milliseconds after which a report is too old to indicate the present load. */
const REPORT_TTL = 30_000;
/**
 * Milliseconds. The first token of a prompt with a shorter computation is no sample of the prefill
 * speed.
 */
const MIN_PREFILL_TIME = 50;
/** Milliseconds. */
const INITIAL_UNREACHABLE_TIME = 1_000;
/** Milliseconds. */
const MAX_UNREACHABLE_TIME = 10_000;

/** Creates a pool without workers. */
export function createWorkerPool(policy: Policy): WorkerPool {
  const services = new Map<string, ServicePool>();
  const byId = new Map<string, PoolWorker>();
  let currentPolicy = policy;
  let instances = 1;
  let salt = 0;
  let added = 0;

  const serviceOf = (service: string): ServicePool => {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = emptyService();
    services.set(service, created);
    return created;
  };
  const refresh = (entry: PoolWorker, now: number): void => {
    const pool = serviceOf(entry.worker.service);
    const limit = effectiveLimit(entry, now);
    entry.load.setOtherJobs(estimateOtherJobs(pool, entry, now));
    entry.limit.recordLoad(entry.load.load());
    entry.limit.adjust(now);
    const reserve = Math.min(reservedSlotsOf(pool, entry), limit * MIN_SCRIPT_FRACTION);
    const memorySlots = cacheSlots(entry);
    const sharing = { instances, salt: entry.salt + salt };
    // Running scripts may exceed a limit that has been reduced. The reserved slots stay available
    // to lookups anyway; otherwise lookups would be refused until the last of those scripts has
    // ended.
    const reservedForLookups = Math.ceil(reserve / instances) - entry.ownLookups;
    const belowCeiling = entry.limit.serverCeiling() - entry.load.load();
    const lookupLimit = Math.min(limit * LOOKUP_OVERCOMMIT_FACTOR, entry.limit.serverCeiling());
    const sharedSlots = entry.load.freeSlots(Math.ceil(lookupLimit), { ...sharing, factor: 2 });
    const lookups = Math.max(sharedSlots, Math.min(reservedForLookups, belowCeiling));
    const scripts = entry.load.freeSlots(Math.floor(limit - reserve), { ...sharing, factor: 1 });
    setFreeSlots(pool, entry, {
      [Lane.Lookup]: limit === 0 ? 0 : Math.max(0, Math.floor(Math.min(memorySlots, lookups))),
      [Lane.Script]: limit === 0 ? 0 : Math.max(0, Math.floor(Math.min(memorySlots, scripts))),
    });
  };
  const refreshService = (service: string, now: number): void => {
    const pool = serviceOf(service);
    updateLoadTotals(pool, now);
    pool.speed = 0;
    for (const entry of pool.workers.values()) {
      refresh(entry, now);
      const usableFraction = Math.min(1, effectiveLimit(entry, now) / entry.limit.initial);
      pool.speed += entry.machine.tokensPerSecond * usableFraction;
    }
  };
  const evaluate = (service: string, now: number): void => {
    const pool = serviceOf(service);
    if (now - pool.evaluatedAt < EVALUATION_INTERVAL) return;
    pool.evaluatedAt = now;
    const peers = [...pool.workers.values()].filter(isLive).map((entry) => peerStatsOf(entry, now));
    const { betweenTokens } = targetOf(currentPolicy, service);
    for (const id of chooseEjections(peers, { gapTarget: betweenTokens })) {
      const entry = byId.get(id);
      if (entry !== undefined) eject(entry, now);
    }
    refreshService(service, now);
  };
  const remove = (entry: PoolWorker): void => {
    const pool = serviceOf(entry.worker.service);
    setFreeSlots(pool, entry, NO_SLOTS);
    pool.workers.delete(entry.worker.id);
    byId.delete(entry.worker.id);
  };
  const add = (worker: Worker): void => {
    const known = byId.get(worker.id);
    if (known !== undefined) {
      known.worker = worker;
      return;
    }
    const entry = emptyWorker(worker, { policy: currentPolicy, salt: added++ / SALT_STEP });
    byId.set(worker.id, entry);
    serviceOf(worker.service).workers.set(worker.id, entry);
  };
  const updateTotals = (now: number): void => {
    for (const [service, pool] of services) {
      const live = [...pool.workers.values()].filter(isLive);
      live.sort((a, b) => (a.worker.id < b.worker.id ? -1 : 1));
      for (const [rank, entry] of live.entries()) entry.rank = rank;
      pool.liveWorkers = live.length;
      pool.maxPrice = live.reduce((highest, { price }) => Math.max(highest, price), 0);
      refreshService(service, now);
    }
  };
  return {
    find: (worker) => byId.get(worker),
    service: serviceOf,
    configure: (next) => {
      currentPolicy = next;
      for (const entry of byId.values()) entry.price = priceOf(entry.worker, next);
    },
    setInstances: (count) => {
      instances = Math.max(1, count);
    },
    setSalt: (own) => {
      salt = own;
    },
    setWorkers: (workers, now) => {
      const listed = new Set(workers.map(({ id }) => id));
      for (const entry of byId.values()) if (!listed.has(entry.worker.id)) remove(entry);
      for (const worker of workers) add(worker);
      updateTotals(now);
    },
    report: (report, now) => {
      const entry = byId.get(report.worker);
      if (entry === undefined) return;
      entry.load.recordReport(report);
      entry.limit.recordReport(report.running, report.waiting, now);
      entry.loadedModels = new Set(report.loaded);
      refresh(entry, now);
      evaluate(entry.worker.service, now);
    },
    refresh,
    setReservedSlots: (service, slots) => {
      serviceOf(service).reservedSlots = slots;
    },
    recordRunTime: ({ service, lane }, milliseconds) => {
      const pool = serviceOf(service);
      const mean = pool.meanRun[lane];
      pool.meanRun[lane] =
        mean === 0 ? milliseconds : mean + (milliseconds - mean) * MEAN_RUN_WEIGHT;
      pool.runTimeSum = pool.runTimeSum * RUN_TIME_DECAY + milliseconds;
      pool.runTimeSquareSum = pool.runTimeSquareSum * RUN_TIME_DECAY + milliseconds ** 2;
    },
    recordRunEnd: (entry, { failed, now }) => {
      entry.runs = entry.runs * RUN_DECAY + 1;
      entry.failures = entry.failures * RUN_DECAY + (failed ? 1 : 0);
      if (!failed) entry.connectFailures = 0;
      refresh(entry, now);
      evaluate(entry.worker.service, now);
    },
    recordConnectFailure: (entry, now) => {
      const unreachableTime = Math.min(
        MAX_UNREACHABLE_TIME,
        INITIAL_UNREACHABLE_TIME * 2 ** entry.connectFailures,
      );
      entry.connectFailures++;
      entry.unreachableUntil = now + unreachableTime;
      refresh(entry, now);
    },
    tick: evaluate,
    all: () => byId.values(),
  };
}

const NO_SLOTS: Readonly<Record<Lane, number>> = { [Lane.Lookup]: 0, [Lane.Script]: 0 };

function emptyService(): ServicePool {
  return {
    workers: new Map(),
    open: [],
    freeSlots: { ...NO_SLOTS },
    ownRuns: 0,
    liveWorkers: 0,
    speed: 0,
    maxPrice: 0,
    reservedSlots: 0,
    otherJobs: 0,
    limitSum: 0,
    runTimeSum: 0,
    runTimeSquareSum: 0,
    prefillRatios: createQuantileSketch(PREFILL_HALF_LIFE),
    meanRun: { ...NO_SLOTS },
    evaluatedAt: Number.NEGATIVE_INFINITY,
  };
}

function emptyWorker(
  worker: Worker,
  { policy, salt }: { policy: Policy; salt: number },
): PoolWorker {
  const machine = machineOf(policy, worker.machineClass);
  return {
    worker,
    machine,
    limit: createConcurrencyLimit(machine, targetOf(policy, worker.service)),
    load: createWorkerLoad(),
    gaps: createQuantileSketch(GAP_HALF_LIFE),
    loadedModels: new Set(),
    runs: 0,
    failures: 0,
    ejection: undefined,
    unreachableUntil: Number.NEGATIVE_INFINITY,
    connectFailures: 0,
    price: priceOf(worker, policy),
    freeSlots: NO_SLOTS,
    openIndex: -1,
    rank: 0,
    salt,
    queuedPrefillTokens: 0,
    ownLookups: 0,
  };
}

function priceOf(worker: Worker, policy: Policy): number {
  const offer = policy.offers.find(
    ({ zone, machineClass }) => zone === worker.zone && machineClass === worker.machineClass,
  );
  if (offer === undefined) return 0;
  return worker.purchase === Purchase.Reclaimable ? offer.reclaimable : offer.onDemand;
}

/** Returns whether the worker may get new work at all. */
export function isLive({ worker }: PoolWorker): boolean {
  return worker.state === WorkerState.Live && worker.reclaimAt === undefined;
}

/**
 * Returns the number of jobs that may run at once on the worker now, from all entry instances; 0
 * for a worker that gets none.
 */
export function effectiveLimit(entry: PoolWorker, now: number): number {
  if (!isLive(entry) || now < entry.unreachableUntil) return 0;
  const fraction = activeFraction(entry.ejection, now);
  return fraction === 0 ? 0 : Math.max(1, Math.floor(entry.limit.value() * fraction));
}

/**
 * Returns how many times longer a prompt takes than on an idle worker; engines compute prompts in
 * small pieces between the tokens of the running requests.
 */
export function prefillFactor({ prefillRatios }: ServicePool): number {
  const factor = (prefillRatios.quantile(0.5) ?? RATIO_SCALE) / RATIO_SCALE;
  return Math.min(MAX_PREFILL_FACTOR, Math.max(1, factor));
}

/**
 * Records a time to first token, and the time that computing the prompt alone would have taken, in
 * milliseconds.
 */
export function recordPrefill(pool: ServicePool, waited: number, unloadedTime: number): void {
  // The time of a short prompt is mostly that of the current step.
  if (unloadedTime >= MIN_PREFILL_TIME)
    pool.prefillRatios.add((RATIO_SCALE * waited) / unloadedTime);
}

/** Returns how many more jobs of average size fit into the worker's KV cache. */
function cacheSlots({ load, machine }: PoolWorker): number {
  const jobs = load.load();
  if (jobs === 0) return Number.POSITIVE_INFINITY;
  const used = load.cacheTokens();
  const capacity = (load.cacheCapacity() ?? machine.cacheTokens) * USABLE_CACHE_FRACTION;
  return used === 0 ? Number.POSITIVE_INFINITY : Math.floor((capacity - used) / (used / jobs));
}

/** Returns whether a job's KV cache fits on the worker; an empty worker accepts any job. */
export function fitsMemory({ load, machine }: PoolWorker, cacheTokens: number): boolean {
  if (load.load() === 0) return true;
  const capacity = load.cacheCapacity() ?? machine.cacheTokens;
  return load.cacheTokens() + cacheTokens <= capacity * USABLE_CACHE_FRACTION;
}

/**
 * Returns this worker's part of the reserved slots: whole slots, with the remainder on the first
 * workers by id.
 */
function reservedSlotsOf(pool: ServicePool, entry: PoolWorker): number {
  const live = Math.max(1, pool.liveWorkers);
  const perWorker = Math.floor(pool.reservedSlots / live);
  return perWorker + (entry.rank < pool.reservedSlots - perWorker * live ? 1 : 0);
}

/** Updates the sums from which the service's means are computed. */
function updateLoadTotals(pool: ServicePool, now: number): void {
  const usable = [...pool.workers.values()].filter((entry) => effectiveLimit(entry, now) > 0);
  pool.otherJobs = usable.reduce((sum, { load }) => sum + load.otherJobs(), 0);
  pool.limitSum = usable.reduce((sum, entry) => sum + effectiveLimit(entry, now), 0);
}

/**
 * Estimates the other instances' jobs on a worker: the reported number, moved towards the mean as
 * the report ages.
 */
function estimateOtherJobs(pool: ServicePool, entry: PoolWorker, now: number): number {
  const { load } = entry;
  const takenAt = load.takenAt();
  if (takenAt === undefined || now - takenAt > REPORT_TTL) return 0;
  const mean = (pool.otherJobs * effectiveLimit(entry, now)) / Math.max(1, pool.limitSum);
  // The jobs that run at a given moment are mostly long ones, so their mean run time is weighted by
  // run time.
  const runTime = Math.max(1, pool.runTimeSquareSum / Math.max(1, pool.runTimeSum));
  const reportWeight = Math.exp(-(now - takenAt) / runTime);
  return mean + (load.otherJobs() - mean) * reportWeight;
}

function setFreeSlots(
  pool: ServicePool,
  entry: PoolWorker,
  freeSlots: PoolWorker["freeSlots"],
): void {
  pool.freeSlots[Lane.Lookup] += freeSlots[Lane.Lookup] - entry.freeSlots[Lane.Lookup];
  pool.freeSlots[Lane.Script] += freeSlots[Lane.Script] - entry.freeSlots[Lane.Script];
  entry.freeSlots = freeSlots;
  const isOpen = freeSlots[Lane.Lookup] > 0;
  if (isOpen && entry.openIndex === -1) addOpen(pool, entry);
  if (!isOpen && entry.openIndex !== -1) removeOpen(pool, entry);
}

function addOpen(pool: ServicePool, entry: PoolWorker): void {
  entry.openIndex = pool.open.length;
  pool.open.push(entry);
}

function removeOpen(pool: ServicePool, entry: PoolWorker): void {
  const last = pool.open.pop();
  if (last !== undefined && last !== entry) {
    pool.open[entry.openIndex] = last;
    last.openIndex = entry.openIndex;
  }
  entry.openIndex = -1;
}

function peerStatsOf(entry: PoolWorker, now: number): PeerStats {
  return {
    worker: entry.worker.id,
    tokenGap: entry.gaps.count < MIN_GAPS ? undefined : entry.gaps.quantile(0.5),
    runs: entry.runs,
    failures: entry.failures,
    isEjected: activeFraction(entry.ejection, now) === 0,
  };
}

/**
 * Takes the worker out of use and resets its statistics, so that it is evaluated anew when it
 * returns.
 */
function eject(entry: PoolWorker, now: number): void {
  entry.ejection = nextEjection(entry.ejection, now);
  entry.gaps.clear();
  entry.runs = 0;
  entry.failures = 0;
}
