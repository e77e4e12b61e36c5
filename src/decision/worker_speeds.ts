/**
 * Estimates how much slower or faster each worker is than the usual worker of its service.
 *
 * Load: workers of one service on machines of unequal speed, and workers that are slowed for a
 * while by something else on their machine. If all are expected to be equally fast, a slow worker
 * with a short queue looks as good as a fast one, so it gets as many requests and its queue grows
 * up to the point where the fast workers' queues are as long. Symptom: first events that are late
 * at some workers only, while others are idle, and requests that are accepted although their worker
 * can't start them in time.
 *
 * Mechanism: the observed times to first events at a worker, divided by the expected times, in sums
 * over all instances with a half-life. The expected times assume the service's usual speed, so this
 * ratio contains the error of the assumed speed and the queues that an instance doesn't know of.
 * Both are the same for all workers of a service on average; so the ratio is compared with the
 * median of the service. A single ratio is wrong by a factor of several, since an instance learns
 * of the queues that others cause only with the next digest. Therefore a worker needs several
 * observations, a single one counts with a bounded factor, and differences that don't matter for
 * callers are ignored. A slower worker harms its callers at once, so an increase applies at once. A
 * worker that seems faster again may only have had fewer requests, so a decrease applies gradually.
 *
 * @module
 */
import { hashText } from "../version/index.ts";
import type { Amount, CountKey, SharedCounts } from "./shared_counts.ts";
import { sum } from "./sum.ts";
import type { WorkerHash } from "./worker_health.ts";

/** A worker whose speed is estimated. */
export interface MeasuredWorker {
  readonly id: string;
  /** Hash of the ID. */
  readonly hash: WorkerHash;
  /** When the worker started, in Unix milliseconds. A restarted worker is another one. */
  readonly startedAt: number;
  readonly service: string;
}

/** The speeds of the workers of all services. Times are in milliseconds of the clock. */
export interface WorkerSpeeds {
  /** Replaces the workers. Those that are known keep their estimates. */
  setWorkers(workers: readonly MeasuredWorker[]): void;
  /**
   * Records that a first event came `observed` milliseconds after the request was sent to the
   * worker, where a worker of the service's usual speed was expected to need `expected`. An unknown
   * worker changes nothing.
   */
  recordPrefill(
    worker: WorkerHash,
    prefill: { readonly expected: number; readonly observed: number; readonly now: number },
  ): void;
  /** Returns the factor by which the worker's times exceed those of a usual one; 1 if unknown. */
  slowness(worker: WorkerHash, now: number): number;
}

/**
 * After this time, in milliseconds, an observation has half of its weight. A worker that becomes
 * 2.4 times slower passes the tolerance after one second, before its queue makes most of its
 * requests late.
 */
const HALF_LIFE = 2_000;
/** Milliseconds per unit of the exchanged totals: less than most observations. */
const UNIT = 50;
/**
 * Observations of usual speed that are assumed for each worker. A single observation that counts
 * with the largest factor then stays within the tolerance.
 */
const PRIOR_OBSERVATIONS = 8;
/** Expected time of an observation in milliseconds, until there is one. */
const INITIAL_OBSERVATION_SIZE = 100;
/** Weight of the latest observation in the averages of their sizes. */
const SIZE_WEIGHT = 0.02;
/**
 * Workers within this factor of the median count as usual. Estimates of equal workers differ as much
 * by chance, since they contain queues that the instances didn't know of. To react to that would
 * move requests between workers without a gain for callers.
 */
const TOLERANCE = 1.4;
/** Clocks may not resolve shorter times, in milliseconds. */
const MIN_OBSERVED = 1;
/** Range of the factor. Beyond it, the worker is hung or idle, and other decisions apply. */
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 4;
/**
 * Time in which the factor may halve, in milliseconds. The queue of a worker that recovers needs a
 * few seconds until it is as short as the others.
 */
const DECREASE_HALF_LIFE = 4_000;
/**
 * Milliseconds for which factors are kept, since every request reads them for all workers of a
 * service. It is short against the second in which an increase has to take effect.
 */
const REFRESH_INTERVAL = 250;
/** Milliseconds in which a worker's change is reported at most once: a busy fleet has changes all the time. */
const REPORT_INTERVAL = 5_000;
/** Ratio of two factors from which a change is reported. */
const REPORTED_RATIO = 4 / 3;
/** A worker without observations. */
const UNKNOWN = { slowness: 1, reported: { slowness: 1, at: -Infinity } };

/** A worker with its estimate. */
interface Estimate {
  readonly id: string;
  readonly key: CountKey;
  readonly group: ServiceGroup;
  slowness: number;
  /** The slowness that was last reported as a change. */
  reported: ReportedSlowness;
}

interface ReportedSlowness {
  readonly slowness: number;
  readonly at: number;
}

/** The workers of a service. */
interface ServiceGroup {
  readonly estimates: Estimate[];
  /** Averages over this instance's observations: of the expected time, and of its square. */
  size: number;
  squaredSize: number;
  /** Median over the workers of the observed time divided by the expected one. */
  median: number;
  refreshedAt: number;
}

/**
 * Creates estimates without workers.
 *
 * @param counts Where observations are counted over all instances.
 * @param options `onChange` is called with the ID of a worker whose slowness has changed by more
 * than a third since the last call for it, or is 1 again, at most once in five seconds for each worker.
 */
export function createWorkerSpeeds(
  counts: SharedCounts,
  options: { readonly onChange?: (worker: string, slowness: number) => void } = {},
): WorkerSpeeds {
  const { onChange = () => undefined } = options;
  let groups = new Map<string, ServiceGroup>();
  let estimates = new Map<WorkerHash, Estimate>();

  const setWorkers: WorkerSpeeds["setWorkers"] = (workers) => {
    const groupsBefore = groups;
    const estimatesBefore = estimates;
    groups = new Map();
    estimates = new Map();
    for (const worker of workers) {
      const group = groups.get(worker.service) ?? emptiedGroup(groupsBefore.get(worker.service));
      groups.set(worker.service, group);
      const key = speedKey(worker);
      const known = estimatesBefore.get(worker.hash);
      const { slowness, reported } = known?.key === key ? known : UNKNOWN;
      const estimate = { id: worker.id, key, group, slowness, reported };
      group.estimates.push(estimate);
      estimates.set(worker.hash, estimate);
      counts.track(key, { halfLife: HALF_LIFE, unit: UNIT });
    }
    const kept = new Set([...estimates.values()].map(({ key }) => key));
    const removed = new Set(
      [...estimatesBefore.values()].map(({ key }) => key).filter((key) => !kept.has(key)),
    );
    // Other decisions count under other keys.
    if (removed.size > 0) counts.retainKeys((key) => !removed.has(key));
  };
  const report = (estimate: Estimate, now: number): void => {
    const { id, slowness, reported } = estimate;
    if (!isReportable(slowness, reported.slowness) || now - reported.at < REPORT_INTERVAL) return;
    estimate.reported = { slowness, at: now };
    onChange(id, slowness);
  };
  const refresh = (group: ServiceGroup, now: number): void => {
    const passed = now - group.refreshedAt;
    if (passed < REFRESH_INTERVAL) return;
    group.refreshedAt = now;
    const prior = PRIOR_OBSERVATIONS * observationSize(group);
    const amounts = group.estimates.map(({ key }) => counts.recent(key, now));
    const reliable = amounts.filter(({ base }) => base >= prior);
    group.median = medianRatio(reliable.length > 0 ? reliable : [totalOf(amounts)]) ?? group.median;
    const lowestFactor = 2 ** (-passed / DECREASE_HALF_LIFE);
    group.estimates.forEach((estimate, index) => {
      const { value, base } = amounts[index] ?? { value: 0, base: 0 };
      const ratio = (value / group.median + prior) / (base + prior);
      estimate.slowness = significant(Math.max(ratio, estimate.slowness * lowestFactor));
      report(estimate, now);
    });
  };
  return {
    setWorkers,
    recordPrefill: (worker, { expected, observed, now }) => {
      const estimate = estimates.get(worker);
      if (estimate === undefined || expected <= 0) return;
      const { group, key } = estimate;
      refresh(group, now);
      group.size += (expected - group.size) * SIZE_WEIGHT;
      group.squaredSize += (expected ** 2 - group.squaredSize) * SIZE_WEIGHT;
      // A longer time doesn't show a slower worker but an unknown queue.
      const limit = expected * group.median * MAX_SLOWNESS;
      const value = Math.min(Math.max(MIN_OBSERVED, observed), limit);
      counts.add(key, { value, base: expected }, now);
    },
    slowness: (worker, now) => {
      const estimate = estimates.get(worker);
      if (estimate === undefined) return 1;
      refresh(estimate.group, now);
      return estimate.slowness;
    },
  };
}

/** Returns the key under which all instances count the observations at a worker. */
function speedKey({ id, startedAt }: MeasuredWorker): CountKey {
  return hashText(`speed:${id}@${startedAt}`);
}

/** Returns a group without workers that keeps what is known about its service. */
function emptiedGroup(known: ServiceGroup | undefined): ServiceGroup {
  const initial = {
    size: INITIAL_OBSERVATION_SIZE,
    squaredSize: INITIAL_OBSERVATION_SIZE ** 2,
    median: 1,
    refreshedAt: -Infinity,
  };
  return { ...(known ?? initial), estimates: [] };
}

/**
 * Returns the expected time of the observation to which the average millisecond belongs. A sum
 * divided by it is the number of observations of equal size that would be as reliable.
 */
function observationSize({ size, squaredSize }: ServiceGroup): number {
  return squaredSize / size;
}

/** Returns the factor within its range, and 1 if the difference is insignificant. */
function significant(factor: number): number {
  if (factor <= TOLERANCE && factor >= 1 / TOLERANCE) return 1;
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, factor));
}

function isReportable(slowness: number, before: number): boolean {
  if (slowness === before) return false;
  return slowness === 1 || Math.max(slowness / before, before / slowness) > REPORTED_RATIO;
}

function totalOf(amounts: readonly Amount[]): Amount {
  return {
    value: sum(amounts.map(({ value }) => value)),
    base: sum(amounts.map(({ base }) => base)),
  };
}

/** Returns the median of the values divided by their bases; undefined if all bases are 0. */
function medianRatio(amounts: readonly Amount[]): number | undefined {
  const sorted = amounts
    .filter(({ base }) => base > 0)
    .map(({ value, base }) => value / base)
    .sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)];
  const lower = sorted[Math.floor((sorted.length - 1) / 2)];
  return upper === undefined || lower === undefined ? undefined : (upper + lower) / 2;
}
