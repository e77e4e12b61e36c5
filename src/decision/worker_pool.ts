/**
 * The workers as the scheduler knows them: limit, load, health and free room of each, and the room of each
 * service in all, kept up to date change by change so that asking costs nothing.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { LoadReport, Worker } from "../interface/index.ts";
import { createConcurrencyLimit, LOOKUP_OVERFLOW } from "./concurrency_limit.ts";
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
  loaded: ReadonlySet<string>;
  runs: number;
  failures: number;
  ejection: EjectionState | undefined;
  /** Connects fail: it gets nothing until then. */
  unreachableUntil: number;
  connectFailures: number;
  /** Euros an hour. */
  price: number;
  /** Jobs that it takes now, by lane. */
  room: Readonly<Record<Lane, number>>;
  /** Where it stands in the service's list of workers with room, or -1. */
  openIndex: number;
  /** Its place among the service's live workers in the order of their ids: alike on all instances. */
  rank: number;
  /** Tells its room's draws from the other workers'. */
  readonly salt: number;
  /** Prompt tokens of this instance's jobs that the worker is still to compute. */
  prefillAhead: number;
  /** Lookups of this instance that run on the worker. */
  lookups: number;
}

/** All workers of one service. */
export interface ServicePool {
  readonly workers: Map<string, PoolWorker>;
  /** Workers with room for a lookup, in no order. */
  readonly open: PoolWorker[];
  readonly room: Record<Lane, number>;
  /** Jobs of this instance that run. */
  own: number;
  live: number;
  /** Tokens of work a second of all live workers, as far as their limits say that they are well. */
  speed: number;
  dearest: number;
  /** Places kept free of scripts over all workers. */
  reserve: number;
  /** Jobs of other instances and limits, summed over the workers, as of the last second. */
  others: number;
  limits: number;
  /** Sums of run times and of their squares, old runs with less weight. */
  runTime: number;
  runTimeSquared: number;
  /** Times to first token in hundredths of what computing the prompt alone would take. */
  readonly prefill: QuantileSketch;
  /** Mean run time by lane, old runs with less weight; 0 before the first. */
  readonly meanRun: Record<Lane, number>;
  judgedAt: number;
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
  setReserve(service: string, places: number): void;
  /** Takes in how long a run took. */
  ranFor(job: Job, milliseconds: number): void;
  /** A run on the worker ended; `failed` where it says something against the worker. */
  ended(worker: PoolWorker, details: { failed: boolean; now: number }): void;
  connectFailed(worker: PoolWorker, now: number): void;
  /** Compares the service's workers and lets time pass for them; does nothing within a second. */
  tick(service: string, now: number): void;
  all(): Iterable<PoolWorker>;
}

/** However many lookups come, scripts may use this part of each worker. */
const LEAST_SCRIPT_PART = 0.5;
const ENOUGH_GAPS = 20;
const GAP_HALF_LIFE = 200;
const PREFILL_HALF_LIFE = 200;
const HUNDREDTHS = 100;
/** Engines give prompts a quarter of each step or more: what is slower than that is a line of prompts. */
const GREATEST_PREFILL_FACTOR = 4;
/** The count of runs halves in about 35 runs: a worker that fails is known after a few. */
const RUN_DECAY = 0.98;
/** Run times are remembered for about a hundred runs. */
const RUN_TIME_DECAY = 0.99;
const MEAN_STEP = 0.05;
/** Gaps are compared once a second, as often as limits change. */
const JUDGE_EVERY = 1_000;
/** An engine that is full to the last token evicts what it runs. */
const CACHE_PART = 0.95;
/** Any step will do that keeps the numbers of thousands of workers apart. */
const SALT_STEP = 7_919;
/** Reports that stay away for so long say nothing about now. */
const REPORT_EXPIRY = 30_000;
/** Milliseconds of computing below which a first token says nothing about the speed of prompts. */
const LEAST_PREFILL = 50;
const FIRST_UNREACHABLE = 1_000;
const GREATEST_UNREACHABLE = 10_000;

/** Makes a pool without workers. */
export function createWorkerPool(policy: Policy): WorkerPool {
  const services = new Map<string, ServicePool>();
  const byId = new Map<string, PoolWorker>();
  let inForce = policy;
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
    const limit = usableLimit(entry, now);
    entry.load.believe(othersNow(pool, entry, now));
    entry.limit.loaded(entry.load.load());
    entry.limit.adjust(now);
    const reserve = Math.min(reserveOf(pool, entry), limit * LEAST_SCRIPT_PART);
    const memory = memoryRoom(entry);
    const sharing = { instances, salt: entry.salt + salt };
    // Scripts that run already may exceed a limit that has fallen. The places kept free are lookups' own
    // all the same: without them a desk would be turned away until the last of those scripts has ended.
    const kept = Math.ceil(reserve / instances) - entry.lookups;
    const held = entry.limit.ceiling() - entry.load.load();
    const lookupLimit = Math.min(limit * LOOKUP_OVERFLOW, entry.limit.ceiling());
    const shared = entry.load.room(Math.ceil(lookupLimit), { ...sharing, factor: 2 });
    const lookups = Math.max(shared, Math.min(kept, held));
    const scripts = entry.load.room(Math.floor(limit - reserve), { ...sharing, factor: 1 });
    setRoom(pool, entry, {
      [Lane.Lookup]: limit === 0 ? 0 : Math.max(0, Math.floor(Math.min(memory, lookups))),
      [Lane.Script]: limit === 0 ? 0 : Math.max(0, Math.floor(Math.min(memory, scripts))),
    });
  };
  const refreshService = (service: string, now: number): void => {
    const pool = serviceOf(service);
    sumLoads(pool, now);
    pool.speed = 0;
    for (const entry of pool.workers.values()) {
      refresh(entry, now);
      const part = Math.min(1, usableLimit(entry, now) / entry.limit.initial);
      pool.speed += entry.machine.tokensPerSecond * part;
    }
  };
  const judge = (service: string, now: number): void => {
    const pool = serviceOf(service);
    if (now - pool.judgedAt < JUDGE_EVERY) return;
    pool.judgedAt = now;
    const peers = [...pool.workers.values()].filter(isLive).map((entry) => reading(entry, now));
    const { betweenTokens } = targetOf(inForce, service);
    for (const id of chooseEjections(peers, { gapTarget: betweenTokens })) {
      const entry = byId.get(id);
      if (entry !== undefined) eject(entry, now);
    }
    refreshService(service, now);
  };
  const remove = (entry: PoolWorker): void => {
    const pool = serviceOf(entry.worker.service);
    setRoom(pool, entry, NO_ROOM);
    pool.workers.delete(entry.worker.id);
    byId.delete(entry.worker.id);
  };
  const add = (worker: Worker): void => {
    const known = byId.get(worker.id);
    if (known !== undefined) {
      known.worker = worker;
      return;
    }
    const entry = emptyWorker(worker, { policy: inForce, salt: added++ / SALT_STEP });
    byId.set(worker.id, entry);
    serviceOf(worker.service).workers.set(worker.id, entry);
  };
  const recount = (now: number): void => {
    for (const [service, pool] of services) {
      const live = [...pool.workers.values()].filter(isLive);
      live.sort((a, b) => (a.worker.id < b.worker.id ? -1 : 1));
      for (const [rank, entry] of live.entries()) entry.rank = rank;
      pool.live = live.length;
      pool.dearest = live.reduce((most, { price }) => Math.max(most, price), 0);
      refreshService(service, now);
    }
  };
  return {
    find: (worker) => byId.get(worker),
    service: serviceOf,
    configure: (next) => {
      inForce = next;
      for (const entry of byId.values()) entry.price = priceOf(entry.worker, next);
    },
    setInstances: (count) => {
      instances = Math.max(1, count);
    },
    setSalt: (own) => {
      salt = own;
    },
    setWorkers: (workers, now) => {
      const named = new Set(workers.map(({ id }) => id));
      for (const entry of byId.values()) if (!named.has(entry.worker.id)) remove(entry);
      for (const worker of workers) add(worker);
      recount(now);
    },
    report: (report, now) => {
      const entry = byId.get(report.worker);
      if (entry === undefined) return;
      entry.load.report(report);
      entry.limit.reported(report.running, report.waiting, now);
      entry.loaded = new Set(report.loaded);
      refresh(entry, now);
      judge(entry.worker.service, now);
    },
    refresh,
    setReserve: (service, places) => {
      serviceOf(service).reserve = places;
    },
    ranFor: ({ service, lane }, milliseconds) => {
      const pool = serviceOf(service);
      const mean = pool.meanRun[lane];
      pool.meanRun[lane] = mean === 0 ? milliseconds : mean + (milliseconds - mean) * MEAN_STEP;
      pool.runTime = pool.runTime * RUN_TIME_DECAY + milliseconds;
      pool.runTimeSquared = pool.runTimeSquared * RUN_TIME_DECAY + milliseconds ** 2;
    },
    ended: (entry, { failed, now }) => {
      entry.runs = entry.runs * RUN_DECAY + 1;
      entry.failures = entry.failures * RUN_DECAY + (failed ? 1 : 0);
      if (!failed) entry.connectFailures = 0;
      refresh(entry, now);
      judge(entry.worker.service, now);
    },
    connectFailed: (entry, now) => {
      const pause = Math.min(GREATEST_UNREACHABLE, FIRST_UNREACHABLE * 2 ** entry.connectFailures);
      entry.connectFailures++;
      entry.unreachableUntil = now + pause;
      refresh(entry, now);
    },
    tick: judge,
    all: () => byId.values(),
  };
}

const NO_ROOM: Readonly<Record<Lane, number>> = { [Lane.Lookup]: 0, [Lane.Script]: 0 };

function emptyService(): ServicePool {
  return {
    workers: new Map(),
    open: [],
    room: { ...NO_ROOM },
    own: 0,
    live: 0,
    speed: 0,
    dearest: 0,
    reserve: 0,
    others: 0,
    limits: 0,
    runTime: 0,
    runTimeSquared: 0,
    prefill: createQuantileSketch(PREFILL_HALF_LIFE),
    meanRun: { ...NO_ROOM },
    judgedAt: Number.NEGATIVE_INFINITY,
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
    loaded: new Set(),
    runs: 0,
    failures: 0,
    ejection: undefined,
    unreachableUntil: Number.NEGATIVE_INFINITY,
    connectFailures: 0,
    price: priceOf(worker, policy),
    room: NO_ROOM,
    openIndex: -1,
    rank: 0,
    salt,
    prefillAhead: 0,
    lookups: 0,
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
export function usableLimit(entry: PoolWorker, now: number): number {
  if (!isLive(entry) || now < entry.unreachableUntil) return 0;
  const part = usablePart(entry.ejection, now);
  return part === 0 ? 0 : Math.max(1, Math.floor(entry.limit.value() * part));
}

/**
 * How many times longer a prompt takes than on an idle worker: engines compute prompts in small pieces
 * between the tokens of what runs.
 */
export function prefillFactor({ prefill }: ServicePool): number {
  const factor = (prefill.quantile(0.5) ?? HUNDREDTHS) / HUNDREDTHS;
  return Math.min(GREATEST_PREFILL_FACTOR, Math.max(1, factor));
}

/** Takes in a time to first token, and what computing the prompt alone would have taken. */
export function learnPrefill(pool: ServicePool, waited: number, alone: number): void {
  // A short prompt's time is mostly the step that was under way.
  if (alone >= LEAST_PREFILL) pool.prefill.add((HUNDREDTHS * waited) / alone);
}

/** How many more jobs of the usual size fit in the worker's KV cache. */
function memoryRoom({ load, machine }: PoolWorker): number {
  const jobs = load.load();
  if (jobs === 0) return Number.POSITIVE_INFINITY;
  const used = load.cacheTokens();
  const capacity = (load.cacheCapacity() ?? machine.cacheTokens) * CACHE_PART;
  return used === 0 ? Number.POSITIVE_INFINITY : Math.floor((capacity - used) / (used / jobs));
}

/** Says whether a job's KV cache fits on the worker; an empty worker takes any. */
export function fitsMemory({ load, machine }: PoolWorker, cacheTokens: number): boolean {
  if (load.load() === 0) return true;
  const capacity = load.cacheCapacity() ?? machine.cacheTokens;
  return load.cacheTokens() + cacheTokens <= capacity * CACHE_PART;
}

/** This worker's part of the places kept free of scripts: whole places, on the first workers by id. */
function reserveOf(pool: ServicePool, entry: PoolWorker): number {
  const live = Math.max(1, pool.live);
  const whole = Math.floor(pool.reserve / live);
  return whole + (entry.rank < pool.reserve - whole * live ? 1 : 0);
}

/** Sums up what the means of the service are taken from. */
function sumLoads(pool: ServicePool, now: number): void {
  const usable = [...pool.workers.values()].filter((entry) => usableLimit(entry, now) > 0);
  pool.others = usable.reduce((sum, { load }) => sum + load.others(), 0);
  pool.limits = usable.reduce((sum, entry) => sum + usableLimit(entry, now), 0);
}

/** The other instances' jobs on a worker: what was reported, drawn towards the mean as it ages. */
function othersNow(pool: ServicePool, entry: PoolWorker, now: number): number {
  const { load } = entry;
  const takenAt = load.takenAt();
  if (takenAt === undefined || now - takenAt > REPORT_EXPIRY) return 0;
  const mean = (pool.others * usableLimit(entry, now)) / Math.max(1, pool.limits);
  // What runs at a given moment is mostly long runs: their mean is that of times weighted by themselves.
  const runTime = Math.max(1, pool.runTimeSquared / Math.max(1, pool.runTime));
  const belief = Math.exp(-(now - takenAt) / runTime);
  return mean + (load.others() - mean) * belief;
}

function setRoom(pool: ServicePool, entry: PoolWorker, room: PoolWorker["room"]): void {
  pool.room[Lane.Lookup] += room[Lane.Lookup] - entry.room[Lane.Lookup];
  pool.room[Lane.Script] += room[Lane.Script] - entry.room[Lane.Script];
  entry.room = room;
  const isOpen = room[Lane.Lookup] > 0;
  if (isOpen && entry.openIndex === -1) open(pool, entry);
  if (!isOpen && entry.openIndex !== -1) shut(pool, entry);
}

function open(pool: ServicePool, entry: PoolWorker): void {
  entry.openIndex = pool.open.length;
  pool.open.push(entry);
}

function shut(pool: ServicePool, entry: PoolWorker): void {
  const last = pool.open.pop();
  if (last !== undefined && last !== entry) {
    pool.open[entry.openIndex] = last;
    last.openIndex = entry.openIndex;
  }
  entry.openIndex = -1;
}

function reading(entry: PoolWorker, now: number): PeerReading {
  return {
    worker: entry.worker.id,
    gap: entry.gaps.count < ENOUGH_GAPS ? undefined : entry.gaps.quantile(0.5),
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
