/**
 * The workers as the scheduler knows them: limit, load, health and free room of each, and the room of each
 * service in all, kept up to date change by change so that asking costs nothing.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { LoadReport, Worker } from "../interface/index.ts";
import { createConcurrencyLimit, LOOKUP_OVERCOMMIT_FACTOR } from "./concurrency_limit.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import { chooseEjections, ejectedAgain, usablePart } from "./ejection.ts";
import type { EjectionState, PeerReading } from "./ejection.ts";
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";
import { machineOf, targetOf } from "./policy.ts";
import type { MachinePolicy, Policy } from "./policy.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { createWorkerLoad } from "./worker_load.ts";
import type { WorkerLoad } from "./worker_load.ts";

/** One worker with all that was learned of it. */
export interface PoolWorker {
  worker: Worker;
  readonly machine: MachinePolicy;
  readonly limit: ConcurrencyLimit;
  readonly load: WorkerLoad;
  /** Milliseconds between tokens, to compare it with its peers. */
  readonly gaps: QuantileSketch;
  loadedModels: ReadonlySet<string>;
  runs: number;
  failures: number;
  ejection: EjectionState | undefined;
  /** Connects fail: it gets nothing until then. */
  unreachableUntil: number;
  connectFailures: number;
  /** Euros an hour. */
  price: number;
  /** Jobs that it takes now, by lane. */
  freeSlots: Readonly<Record<Lane, number>>;
  /** Where it stands in the service's list of workers with room, or -1. */
  openIndex: number;
  /** Its place among the service's live workers in the order of their ids: alike on all instances. */
  rank: number;
  /** Tells its room's draws from the other workers'. */
  readonly salt: number;
  /** Prompt tokens of this instance's jobs that the worker is still to compute. */
  queuedPrefillTokens: number;
  /** Lookups of this instance that run on the worker. */
  ownLookups: number;
}

/** All workers of one service. */
export interface ServicePool {
  readonly workers: Map<string, PoolWorker>;
  /** Workers with room for a lookup, in no order. */
  readonly open: PoolWorker[];
  readonly freeSlots: Record<Lane, number>;
  /** Jobs of this instance that run. */
  ownRuns: number;
  liveWorkers: number;
  /** Tokens of work a second of all live workers, as far as their limits say that they are well. */
  speed: number;
  maxPrice: number;
  /** Places kept free of scripts over all workers. */
  reservedSlots: number;
  /** Jobs of other instances and limits, summed over the workers, as of the last second. */
  otherJobs: number;
  limitSum: number;
  /** Sums of run times and of their squares, old runs with less weight. */
  runTimeSum: number;
  runTimeSquareSum: number;
  /** Times to first token in hundredths of what computing the prompt alone would take. */
  readonly prefillRatios: QuantileSketch;
  /** Mean run time by lane, old runs with less weight; 0 before the first. */
  readonly meanRun: Record<Lane, number>;
  evaluatedAt: number;
}

/** The workers of all services. */
export interface WorkerPool {
  find(worker: string): PoolWorker | undefined;
  service(service: string): ServicePool;
  configure(policy: Policy): void;
  setInstances(count: number): void;
  /** Gives this instance a number of its own, to tell its part of a shared room from the others'. */
  setSalt(salt: number): void;
  setWorkers(workers: readonly Worker[], now: number): void;
  report(report: LoadReport, now: number): void;
  /** Brings a worker's room up to date after its load or limit has changed. */
  refresh(worker: PoolWorker, now: number): void;
  /** Sets how many places of a service are kept free of scripts. */
  setReservedSlots(service: string, places: number): void;
  /** Takes in how long a run took. */
  recordRunTime(job: Job, milliseconds: number): void;
  /** A run on the worker ended; `failed` where it says something against the worker. */
  recordRunEnd(worker: PoolWorker, details: { failed: boolean; now: number }): void;
  recordConnectFailure(worker: PoolWorker, now: number): void;
  /** Compares the service's workers and lets time pass for them; does nothing within a second. */
  tick(service: string, now: number): void;
  all(): Iterable<PoolWorker>;
}

/** However many lookups come, scripts may use this part of each worker. */
const MIN_SCRIPT_FRACTION = 0.5;
const MIN_GAPS = 20;
const GAP_HALF_LIFE = 200;
const PREFILL_HALF_LIFE = 200;
const RATIO_SCALE = 100;
/** Engines give prompts a quarter of each step or more: what is slower than that is a line of prompts. */
const MAX_PREFILL_FACTOR = 4;
/** The count of runs halves in about 35 runs: a worker that fails is known after a few. */
const RUN_DECAY = 0.98;
/** Run times are remembered for about a hundred runs. */
const RUN_TIME_DECAY = 0.99;
const MEAN_RUN_WEIGHT = 0.05;
/** Gaps are compared once a second, as often as limits change. */
const EVALUATION_INTERVAL = 1_000;
/** An engine that is full to the last token evicts what it runs. */
const USABLE_CACHE_FRACTION = 0.95;
/** Any step will do that keeps the numbers of thousands of workers apart. */
const SALT_STEP = 7_919;
/** Reports that stay away for so long say nothing about now. */
const REPORT_TTL = 30_000;
/** Milliseconds of computing below which a first token says nothing about the speed of prompts. */
const MIN_PREFILL_TIME = 50;
const INITIAL_UNREACHABLE_TIME = 1_000;
const MAX_UNREACHABLE_TIME = 10_000;

/** Makes a pool without workers. */
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
    entry.load.setOthers(estimateOtherJobs(pool, entry, now));
    entry.limit.recordLoad(entry.load.load());
    entry.limit.adjust(now);
    const reserve = Math.min(reservedSlotsOf(pool, entry), limit * MIN_SCRIPT_FRACTION);
    const memorySlots = cacheSlots(entry);
    const sharing = { instances, salt: entry.salt + salt };
    // Scripts that run already may exceed a limit that has fallen. The places kept free are lookups' own
    // all the same: without them a desk would be turned away until the last of those scripts has ended.
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
      const part = Math.min(1, effectiveLimit(entry, now) / entry.limit.initial);
      pool.speed += entry.machine.tokensPerSecond * part;
    }
  };
  const evaluate = (service: string, now: number): void => {
    const pool = serviceOf(service);
    if (now - pool.evaluatedAt < EVALUATION_INTERVAL) return;
    pool.evaluatedAt = now;
    const peers = [...pool.workers.values()].filter(isLive).map((entry) => peerReading(entry, now));
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
      pool.maxPrice = live.reduce((most, { price }) => Math.max(most, price), 0);
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
    setReservedSlots: (service, places) => {
      serviceOf(service).reservedSlots = places;
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
      const pause = Math.min(
        MAX_UNREACHABLE_TIME,
        INITIAL_UNREACHABLE_TIME * 2 ** entry.connectFailures,
      );
      entry.connectFailures++;
      entry.unreachableUntil = now + pause;
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

/** Says whether the worker may be given new work at all. */
export function isLive({ worker }: PoolWorker): boolean {
  return worker.state === WorkerState.Live && worker.reclaimAt === undefined;
}

/** Jobs that may run at once on the worker now, from all entry instances; 0 where it gets nothing. */
export function effectiveLimit(entry: PoolWorker, now: number): number {
  if (!isLive(entry) || now < entry.unreachableUntil) return 0;
  const part = usablePart(entry.ejection, now);
  return part === 0 ? 0 : Math.max(1, Math.floor(entry.limit.value() * part));
}

/**
 * How many times longer a prompt takes than on an idle worker: engines compute prompts in small pieces
 * between the tokens of what runs.
 */
export function prefillFactor({ prefillRatios: prefill }: ServicePool): number {
  const factor = (prefill.quantile(0.5) ?? RATIO_SCALE) / RATIO_SCALE;
  return Math.min(MAX_PREFILL_FACTOR, Math.max(1, factor));
}

/** Takes in a time to first token, and what computing the prompt alone would have taken. */
export function recordPrefill(pool: ServicePool, waited: number, alone: number): void {
  // A short prompt's time is mostly the step that was under way.
  if (alone >= MIN_PREFILL_TIME) pool.prefillRatios.add((RATIO_SCALE * waited) / alone);
}

/** How many more jobs of the usual size fit in the worker's KV cache. */
function cacheSlots({ load, machine }: PoolWorker): number {
  const jobs = load.load();
  if (jobs === 0) return Number.POSITIVE_INFINITY;
  const used = load.cacheTokens();
  const capacity = (load.cacheCapacity() ?? machine.cacheTokens) * USABLE_CACHE_FRACTION;
  return used === 0 ? Number.POSITIVE_INFINITY : Math.floor((capacity - used) / (used / jobs));
}

/** Says whether a job's KV cache fits on the worker; an empty worker takes any. */
export function fitsMemory({ load, machine }: PoolWorker, cacheTokens: number): boolean {
  if (load.load() === 0) return true;
  const capacity = load.cacheCapacity() ?? machine.cacheTokens;
  return load.cacheTokens() + cacheTokens <= capacity * USABLE_CACHE_FRACTION;
}

/** This worker's part of the places kept free of scripts: whole places, on the first workers by id. */
function reservedSlotsOf(pool: ServicePool, entry: PoolWorker): number {
  const live = Math.max(1, pool.liveWorkers);
  const whole = Math.floor(pool.reservedSlots / live);
  return whole + (entry.rank < pool.reservedSlots - whole * live ? 1 : 0);
}

/** Sums up what the means of the service are taken from. */
function updateLoadTotals(pool: ServicePool, now: number): void {
  const usable = [...pool.workers.values()].filter((entry) => effectiveLimit(entry, now) > 0);
  pool.otherJobs = usable.reduce((sum, { load }) => sum + load.otherJobs(), 0);
  pool.limitSum = usable.reduce((sum, entry) => sum + effectiveLimit(entry, now), 0);
}

/** The other instances' jobs on a worker: what was reported, drawn towards the mean as it ages. */
function estimateOtherJobs(pool: ServicePool, entry: PoolWorker, now: number): number {
  const { load } = entry;
  const takenAt = load.takenAt();
  if (takenAt === undefined || now - takenAt > REPORT_TTL) return 0;
  const mean = (pool.otherJobs * effectiveLimit(entry, now)) / Math.max(1, pool.limitSum);
  // What runs at a given moment is mostly long runs: their mean is that of times weighted by themselves.
  const runTime = Math.max(1, pool.runTimeSquareSum / Math.max(1, pool.runTimeSum));
  const reportWeight = Math.exp(-(now - takenAt) / runTime);
  return mean + (load.otherJobs() - mean) * reportWeight;
}

function setFreeSlots(pool: ServicePool, entry: PoolWorker, room: PoolWorker["freeSlots"]): void {
  pool.freeSlots[Lane.Lookup] += room[Lane.Lookup] - entry.freeSlots[Lane.Lookup];
  pool.freeSlots[Lane.Script] += room[Lane.Script] - entry.freeSlots[Lane.Script];
  entry.freeSlots = room;
  const isOpen = room[Lane.Lookup] > 0;
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

function peerReading(entry: PoolWorker, now: number): PeerReading {
  return {
    worker: entry.worker.id,
    gap: entry.gaps.count < MIN_GAPS ? undefined : entry.gaps.quantile(0.5),
    runs: entry.runs,
    failures: entry.failures,
    isOut: usablePart(entry.ejection, now) === 0,
  };
}

/** Takes the worker out and forgets what was held against it: it is judged anew when it comes back. */
function eject(entry: PoolWorker, now: number): void {
  entry.ejection = ejectedAgain(entry.ejection, now);
  entry.gaps.clear();
  entry.runs = 0;
  entry.failures = 0;
}
