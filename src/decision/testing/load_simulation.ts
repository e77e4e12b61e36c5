/**
 * Simulates a load on schedulers and small continuous-batching workers, in simulated time, for the
 * tests of the decisions.
 *
 * @module
 */
import { createSeededRandom, Purchase, Refusal, WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";
import { createFairQueueClass, createScheduler, Lane, RunEnd } from "../index.ts";
import type { Arrival, FairQueue, Job, Policy, Scheduler } from "../index.ts";

/** A request of a load; `answerTokens` is the number of tokens that the worker will generate. */
export interface SimulatedArrival extends Arrival {
  readonly answerTokens: number;
}

/** The result of a request. Times are in milliseconds. */
export interface SimulatedRequest {
  readonly arrival: SimulatedArrival;
  readonly refused: Refusal;
  readonly retryAfter: number;
  worker: string;
  firstTokenAt: number | undefined;
  endedAt: number | undefined;
}

/** The settings of a simulation. */
export interface SimulationSettings {
  readonly policy: Policy;
  readonly workers: readonly Worker[];
  readonly arrivals: readonly SimulatedArrival[];
  /** Milliseconds to simulate. */
  readonly duration: number;
  readonly seed: number;
  /** Number of entry instances; each arrival goes to a random one. 1 by default. */
  readonly instances?: number;
  /** Returns how many times slower than its class a worker is now. */
  readonly slowness?: (worker: string, now: number) => number;
  /** Called once per second. */
  readonly observe?: (now: number, schedulers: readonly Scheduler[]) => void;
}

interface Sequence {
  readonly instance: Instance;
  readonly request: SimulatedRequest;
  readonly job: Job;
  remainingPrefill: number;
  producedTokens: number;
  deliveredTokens: number;
}

interface Instance {
  readonly scheduler: Scheduler;
  readonly queue: FairQueue<Job>;
  /** Jobs that were dequeued and have no worker yet. */
  unplaced: Job[];
  running: number;
}

/** Length of a simulation step. */
const STEP_MS = 5;
/** Milliseconds between two load reports of a worker. */
const REPORT_INTERVAL = 1_000;
/** Milliseconds until a load report reaches the entry instances. */
const REPORT_DELAY = 500;

/** Simulates the load; the result has one entry per arrival, in order. */
export function simulateLoad(settings: SimulationSettings): SimulatedRequest[] {
  const random = createSeededRandom(settings.seed);
  const count = settings.instances ?? 1;
  const instances = Array.from({ length: count }, () => createInstance(settings, count));
  const batches = new Map(settings.workers.map(({ id }) => [id, [] as Sequence[]]));
  const caches = new Map<string, Set<string>>();
  const results = new Map<string, SimulatedRequest>();
  const pendingReports: { at: number; worker: string; running: number }[] = [];
  const arrivals = [...settings.arrivals].sort((a, b) => a.arrivedAt - b.arrivedAt);
  let next = 0;

  const admit = (arrival: SimulatedArrival, now: number): void => {
    const instance = instances[Math.floor(random.next() * count)];
    if (instance === undefined) return;
    const admission = instance.scheduler.admit(arrival, now);
    const isAdmitted = admission.kind === "admitted";
    results.set(arrival.id, {
      arrival,
      refused: isAdmitted ? Refusal.None : admission.reason,
      retryAfter: isAdmitted ? 0 : admission.retryAfter,
      worker: "",
      firstTokenAt: undefined,
      endedAt: undefined,
    });
    if (isAdmitted) instance.queue.enqueue(admission.job, { id: arrival.id, job: admission.job });
  };
  const dispatch = (instance: Instance, now: number): void => {
    const { scheduler, queue } = instance;
    const service = settings.workers[0]?.service ?? "";
    const capacity = scheduler.capacity(service, now);
    while (queue.size > 0 && instance.running + instance.unplaced.length < capacity) {
      const job = queue.dequeue();
      if (job === undefined) break;
      instance.unplaced.push(job);
      instance.unplaced = instance.unplaced.filter((waiting) => !start(instance, waiting, now));
    }
    instance.unplaced = instance.unplaced.filter((waiting) => !start(instance, waiting, now));
  };
  const start = (instance: Instance, job: Job, now: number): boolean => {
    const placement = instance.scheduler.place(job, { now, random, avoid: new Set() });
    const request = results.get(job.id);
    if (placement.kind === "wait" || request === undefined) return false;
    request.worker = placement.worker;
    instance.running++;
    const remainingPrefill = uncachedTokens(job, placement.worker);
    const sequence = {
      instance,
      request,
      job,
      remainingPrefill,
      producedTokens: 0,
      deliveredTokens: 0,
    };
    batches.get(placement.worker)?.push(sequence);
    return true;
  };
  const uncachedTokens = (job: Job, worker: string): number => {
    const cache = caches.get(worker) ?? new Set();
    caches.set(worker, cache);
    const isNew = (block: string): boolean => !cache.has(block);
    const newFraction =
      job.prefix.length === 0 ? 1 : job.prefix.filter(isNew).length / job.prefix.length;
    for (const block of job.prefix) cache.add(block);
    return Math.max(1, job.promptTokens * newFraction);
  };
  const deliverTokens = (sequence: Sequence, now: number): void => {
    const { job, request, instance } = sequence;
    while (sequence.deliveredTokens < Math.floor(sequence.producedTokens)) {
      if (sequence.deliveredTokens === 0) {
        request.firstTokenAt = now;
        instance.scheduler.recordFirstToken(job.id, now);
      } else instance.scheduler.recordToken(job.id, now);
      sequence.deliveredTokens++;
    }
  };
  const finish = (sequence: Sequence, now: number): void => {
    const { job, request, instance } = sequence;
    request.endedAt = now;
    instance.running--;
    const answerTokens = request.arrival.answerTokens;
    instance.scheduler.runEnded(job.id, RunEnd.Complete, { now, answerTokens });
    instance.scheduler.jobEnded(job, now);
  };
  const runWorker = (worker: Worker, now: number): void => {
    const batch = batches.get(worker.id) ?? [];
    const machine = settings.policy.machineClasses[worker.machineClass];
    const slowness = settings.slowness?.(worker.id, now) ?? 1;
    let prefill = ((machine?.prefillPerSecond ?? 0) * STEP_MS) / 1_000 / slowness;
    const decoding = batch.filter(({ remainingPrefill }) => remainingPrefill <= 0);
    const rate = tokensPerSequence(machine?.tokensPerSecond ?? 0, decoding.length) / slowness;
    for (const sequence of decoding) sequence.producedTokens += (rate * STEP_MS) / 1_000;
    for (const sequence of byPriority(batch)) {
      const done = Math.min(prefill, sequence.remainingPrefill);
      sequence.remainingPrefill -= done;
      prefill -= done;
      sequence.producedTokens = Math.min(
        sequence.producedTokens,
        sequence.request.arrival.answerTokens,
      );
      deliverTokens(sequence, now);
    }
    const ended = batch.filter(
      ({ deliveredTokens, request }) => deliveredTokens >= request.arrival.answerTokens,
    );
    batches.set(
      worker.id,
      batch.filter((sequence) => !ended.includes(sequence)),
    );
    for (const sequence of ended) finish(sequence, now);
  };
  const reportAll = (now: number): void => {
    for (const { id } of settings.workers) {
      pendingReports.push({ at: now, worker: id, running: batches.get(id)?.length ?? 0 });
    }
    settings.observe?.(
      now,
      instances.map(({ scheduler }) => scheduler),
    );
  };
  const deliverReports = (now: number): void => {
    for (
      let due = pendingReports[0];
      due !== undefined && due.at + REPORT_DELAY <= now;
      due = pendingReports[0]
    ) {
      pendingReports.shift();
      const { at, worker, running } = due;
      const report = { worker, takenAt: at, running, waiting: 0, cacheTokens: 0, loaded: [] };
      const full = { ...report, cacheCapacity: 1_000_000 };
      for (const { scheduler } of instances) scheduler.recordLoadReport(full, now);
    }
  };
  for (let now = 0; now < settings.duration; now += STEP_MS) {
    if (now % REPORT_INTERVAL === 0) reportAll(now);
    deliverReports(now);
    for (
      let due = arrivals[next];
      due !== undefined && due.arrivedAt <= now;
      due = arrivals[next]
    ) {
      admit(due, now);
      next++;
    }
    for (const instance of instances) dispatch(instance, now);
    for (const worker of settings.workers) runWorker(worker, now);
  }
  return [...results.values()];
}

/**
 * Sorts a batch by priority, lookups first; engines compute prompts in the order of the priorities
 * that they are given.
 */
function byPriority(batch: readonly Sequence[]): Sequence[] {
  const isLookup = ({ job }: Sequence): boolean => job.lane === Lane.Lookup;
  return [...batch.filter(isLookup), ...batch.filter((sequence) => !isLookup(sequence))];
}

/**
 * Returns the tokens per second of each sequence in a batch: at most 40 alone, otherwise an equal
 * share of the batch's full speed.
 */
function tokensPerSequence(tokensPerSecond: number, batch: number): number {
  return Math.min(40, tokensPerSecond / Math.max(1, batch));
}

function createInstance(settings: SimulationSettings, count: number): Instance {
  const scheduler = createScheduler(settings.policy);
  scheduler.setInstances(count, 0);
  scheduler.setWorkers(settings.workers, 0);
  const service = settings.workers[0]?.service ?? "";
  const queueClass = createFairQueueClass<Job>(scheduler.queueOptions(service));
  return { scheduler, queue: new queueClass(), unplaced: [], running: 0 };
}

/** Creates workers of one service over four availability zones, named `w0` and so on. */
export function someWorkers(count: number, service = "desk"): Worker[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    address: `http://127.0.0.1:${9_000 + index}`,
    service,
    zone: `zone-${index % 4}`,
    machineClass: "standard",
    purchase: Purchase.Reclaimable,
    state: WorkerState.Live,
  }));
}

/** Creates a repeatable lookup of the account `club`, with the given changes. */
export function someArrival(changes: Partial<SimulatedArrival> = {}): SimulatedArrival {
  const arrivedAt = changes.arrivedAt ?? 0;
  return {
    id: "request",
    account: "club",
    service: "desk",
    model: "",
    lane: Lane.Lookup,
    promptTokens: 200,
    prefix: [],
    repeatable: true,
    detached: false,
    arrivedAt,
    deadlineAt: arrivedAt + 300_000,
    answerTokens: 20,
    ...changes,
  };
}

/** The policy of the tests: one service `desk`, one machine class, two accounts of equal weight. */
export const TEST_POLICY: Policy = {
  services: {
    desk: { lane: "lookup", target: { firstToken: 400, betweenTokens: 44, deadline: 300_000 } },
  },
  accounts: {
    club: { weight: 1, maxRequests: 10_000, maxTokens: 10_000_000 },
    tent: { weight: 1, maxRequests: 10_000, maxTokens: 10_000_000 },
  },
  machineClasses: {
    standard: { tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 120_000 },
  },
  offers: [],
};

/**
 * Creates `perSecond` arrivals per second, at even intervals with some jitter, from the time `from`
 * until the time `until`.
 */
export function generateArrivals(
  perSecond: number,
  options: {
    from: number;
    until: number;
    seed: number;
    of?: Partial<SimulatedArrival>;
    name: string;
  },
): SimulatedArrival[] {
  const random = createSeededRandom(options.seed);
  const count = Math.floor(((options.until - options.from) * perSecond) / 1_000);
  return Array.from({ length: count }, (_, index) => {
    const arrivedAt = options.from + ((index + random.next()) * 1_000) / perSecond;
    const deadlineAt = arrivedAt + 300_000;
    return someArrival({ arrivedAt, deadlineAt, ...options.of, id: `${options.name}-${index}` });
  });
}

/** Returns the value that the given fraction of the numbers doesn't exceed. */
export function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? Number.NaN;
}

/**
 * Returns the milliseconds to the first token of the requests that got one and have an id with this
 * prefix.
 */
export function firstTokenTimes(requests: readonly SimulatedRequest[], idPrefix: string): number[] {
  const named = requests.filter(({ arrival }) => arrival.id.startsWith(idPrefix));
  return named
    .filter(({ firstTokenAt }) => firstTokenAt !== undefined)
    .map(({ arrival, firstTokenAt }) => (firstTokenAt ?? 0) - arrival.arrivedAt);
}
