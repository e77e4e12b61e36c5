/**
 * Measures the time that the scheduling decisions for one request take.
 *
 * Each request passes admission, the fair queue and placement. If one of these scans all backend servers or all queued
 * requests, its cost grows with their number and limits the request rate of an instance.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { createFairQueueClass, createScheduler, Lane, RunEnd } from "../src/decision/index.ts";
import type { Arrival, FairQueueTask, Job, Policy, Scheduler } from "../src/decision/index.ts";
import { createSeededRandom, Purchase, WorkerState } from "../src/interface/index.ts";
import type { Random, Worker } from "../src/interface/index.ts";

/** Cost of the scheduling decisions for one request, at a number of backend servers and queued requests. */
export interface DecisionCost {
  /** Number of backend servers. */
  readonly workers: number;
  /** Number of requests in the queue. */
  readonly waiting: number;
  /** Admission, in microseconds. */
  readonly admit: Quantiles;
  /** Enqueueing and dequeueing, in microseconds. */
  readonly queue: Quantiles;
  /** Placement on a backend server, in microseconds. */
  readonly place: Quantiles;
  /** All of these, in microseconds. */
  readonly total: Quantiles;
}

/** Median, 99th percentile and mean of a cost or latency, in the unit that the user of the type states. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
  readonly mean: number;
}

const WORKER_COUNTS = [13, 100, 770];
const QUEUE_LENGTHS = [10, 100, 1_000, 10_000];
const ROUNDS = 3_000;
/** Unmeasured rounds at the start, in which the just-in-time compiler optimizes the code. */
const WARM_UP_ROUNDS = 1_000;
const ACCOUNTS = 5;
const SERVICE = "desk";
/** Nanoseconds in a millisecond: the histograms record nanoseconds; the report states microseconds. */
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

const POLICY: Policy = {
  services: {
    [SERVICE]: {
      lane: Lane.Lookup,
      target: { firstToken: 1_600, betweenTokens: 44, deadline: 3_600_000 },
    },
  },
  accounts: {},
  machineClasses: {
    standard: { tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 120_000 },
  },
  offers: [],
};

/** Measures the decisions for one request at several numbers of backend servers and queue lengths. */
export function measureDecisions(): DecisionCost[] {
  return WORKER_COUNTS.flatMap((workers) =>
    QUEUE_LENGTHS.map((waiting) => measureOne(workers, waiting)),
  );
}

function measureOne(workers: number, waiting: number): DecisionCost {
  const random = createSeededRandom(1);
  const scheduler = createScheduler(POLICY);
  scheduler.setWorkers(
    Array.from({ length: workers }, (_, index) => workerOf(index)),
    0,
  );
  const queue = new (createFairQueueClass(scheduler.queueOptions(SERVICE)))();
  const jobs = new Map<FairQueueTask, Job>();
  let now = 0;
  let number = 0;
  const enqueue = (job: Job): void => {
    const run: FairQueueTask = () => Promise.resolve();
    jobs.set(run, job);
    queue.enqueue(run, { id: job.id, job });
  };
  for (let index = 0; index < waiting; index++) {
    enqueue(scheduler.adopt(arrivalOf(number++, { now, random }), now));
  }
  const costs = { admit: histogram(), queue: histogram(), place: histogram(), total: histogram() };
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
    if (round === WARM_UP_ROUNDS) for (const cost of Object.values(costs)) cost.reset();
    now += 1;
    const arrival = arrivalOf(number++, { now, random });
    const startedAt = performance.now();
    const admission = scheduler.admit(arrival, now);
    const admitted = performance.now();
    // A rejected request is adopted nevertheless, so that the queue keeps its length.
    const job = admission.kind === "admitted" ? admission.job : scheduler.adopt(arrival, now);
    const enqueueing = performance.now();
    enqueue(job);
    const run = queue.dequeue();
    const dequeued = performance.now();
    const next = run === undefined ? undefined : jobs.get(run);
    if (run === undefined || next === undefined) throw new Error("the queue returned no run");
    jobs.delete(run);
    const placing = performance.now();
    scheduler.place(next, { now, random, avoid: new Set() });
    const placed = performance.now();
    record(costs.admit, admitted - startedAt);
    record(costs.queue, dequeued - enqueueing);
    record(costs.place, placed - placing);
    record(costs.total, admitted - startedAt + dequeued - enqueueing + placed - placing);
    finish(scheduler, next, now);
  }
  const { admit, queue: queueCost, place, total } = costs;
  return {
    workers,
    waiting,
    admit: quantilesOf(admit),
    queue: quantilesOf(queueCost),
    place: quantilesOf(place),
    total: quantilesOf(total),
  };
}

function finish(scheduler: Scheduler, job: Job, now: number): void {
  scheduler.recordFirstToken(job.id, now);
  scheduler.runEnded(job.id, RunEnd.Complete, { now, answerTokens: 40 });
  scheduler.jobEnded(job, now);
}

function workerOf(index: number): Worker {
  return {
    id: `desk-${index}`,
    address: "",
    service: SERVICE,
    zone: `zone-${index % 4}`,
    machineClass: "standard",
    purchase: index % 10 === 0 ? Purchase.OnDemand : Purchase.Reclaimable,
    state: WorkerState.Live,
  };
}

const PREFIX_BLOCKS = 8;
const PREFIXES = 200;

function arrivalOf(number: number, { now, random }: { now: number; random: Random }): Arrival {
  const prefix = Math.floor(random.next() ** 2 * PREFIXES);
  return {
    id: `r${number}`,
    account: `club-${Math.floor(random.next() * ACCOUNTS)}`,
    service: SERVICE,
    model: "desk",
    lane: random.next() < 0.7 ? Lane.Lookup : Lane.Script,
    promptTokens: 200 + Math.floor(random.next() * 2_000),
    prefix: Array.from({ length: PREFIX_BLOCKS }, (_, index) => `${prefix}.${index}`),
    repeatable: true,
    detached: false,
    arrivedAt: now,
    deadlineAt: now + 3_600_000,
  };
}

function histogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e10 });
}

function record(costs: Histogram, milliseconds: number): void {
  costs.recordValue(Math.max(0, Math.round(milliseconds * NANOSECONDS_PER_MILLISECOND)));
}

function quantilesOf(costs: Histogram): Quantiles {
  const microseconds = (nanoseconds: number): number => Math.round(nanoseconds / 10) / 100;
  return {
    p50: microseconds(costs.getValueAtPercentile(50)),
    p99: microseconds(costs.getValueAtPercentile(99)),
    mean: microseconds(costs.mean),
  };
}
