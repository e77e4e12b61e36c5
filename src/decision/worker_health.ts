/**
 * Estimates how likely each worker is to fail a request, based on the requests themselves.
 *
 * Load: a worker that fails some of its requests, or hangs, while its health check passes. It
 * finishes failing requests quickly, so it looks idle and attracts the most work. Symptom: an error
 * rate that matches one worker's share of the load, until the worker is removed.
 *
 * Mechanism: a worker's failures are counted with a weight that halves every 3 s. At ten requests
 * per second over all instances, three failures are enough to identify it within a second or two,
 * and a recovered worker is tried again after about ten seconds. The counts of all instances are
 * added up, since a single instance observes too little. A worker is compared with its service as a
 * whole: if all fail, the cause lies elsewhere, and avoiding workers would make it worse.
 *
 * @module
 */

/** Number of runs that ended, and how many of them failed. */
export interface RunCounts {
  readonly runs: number;
  readonly failures: number;
}

/** Hash of a worker's ID, by which instances refer to workers in their messages. */
export type WorkerHash = number;

/** Failure estimates for the workers of all services. Times are in milliseconds of the clock. */
export interface WorkerHealth {
  /** Records that a run at the worker ended. */
  recordRun(run: { worker: WorkerHash; service: string; failed: boolean; now: number }): void;
  /**
   * Receives another instance's counts by worker since its start. Counts only grow, so a lost or
   * repeated message does no harm. The counts of the first message may be old and are only the base
   * for later ones.
   */
  receiveCounts(instance: string, counts: ReadonlyMap<WorkerHash, RunCounts>, now: number): void;
  /**
   * Returns the probability, from 0 to 1, that a run at the worker fails, beyond the usual rate of
   * its service.
   */
  excessFailureRate(worker: WorkerHash, service: string, now: number): number;
  /** Returns this instance's counts for the worker since the start, to be sent to the others. */
  ownCounts(worker: WorkerHash): RunCounts;
  /** Keeps only the counts of the given workers. */
  retainWorkers(workers: ReadonlySet<WorkerHash>): void;
  /** Keeps only the counts of the given instances. The others' recent observations decay anyway. */
  retainInstances(instances: ReadonlySet<string>): void;
}

const HALF_LIFE = 3_000;
/**
 * Successful runs assumed for a worker without history, since a single failure is weak evidence.
 */
const PRIOR_RUNS = 2;
const NO_COUNTS: RunCounts = { runs: 0, failures: 0 };

/** Counts whose weight decreases with their age. */
interface DecayingCounts extends RunCounts {
  readonly at: number;
}

/** Creates estimates without observations. */
export function createWorkerHealth(): WorkerHealth {
  /**
   * Recent counts of all instances, by worker: each request looks up every worker of its service.
   */
  const recentCounts = new Map<WorkerHash, DecayingCounts>();
  const recentByService = new Map<string, DecayingCounts>();
  const ownTotals = new Map<WorkerHash, RunCounts>();
  /** The counts of each other instance, by worker. */
  const countsByInstance = new Map<string, Map<WorkerHash, RunCounts>>();

  const receiveCounts: WorkerHealth["receiveCounts"] = (instance, counts, now) => {
    const previous = countsByInstance.get(instance);
    const known = previous ?? new Map<WorkerHash, RunCounts>();
    countsByInstance.set(instance, known);
    for (const [worker, { runs, failures }] of counts) {
      const { runs: runsBefore, failures: failuresBefore } = known.get(worker) ?? NO_COUNTS;
      if (runs === 0) known.delete(worker);
      else known.set(worker, { runs, failures });
      const delta = { runs: runs - runsBefore, failures: failures - failuresBefore };
      if (previous !== undefined && delta.runs > 0)
        addDecayed(recentCounts, worker, { ...delta, now });
    }
  };
  return {
    recordRun: ({ worker, service, failed, now }) => {
      const run = { runs: 1, failures: failed ? 1 : 0 };
      const { runs, failures } = ownTotals.get(worker) ?? NO_COUNTS;
      ownTotals.set(worker, { runs: runs + run.runs, failures: failures + run.failures });
      addDecayed(recentCounts, worker, { ...run, now });
      addDecayed(recentByService, service, { ...run, now });
    },
    receiveCounts,
    excessFailureRate: (worker, service, now) => {
      const counts = recentCounts.get(worker);
      // Fast path for nearly all workers, since each request looks up every one of them.
      if (counts === undefined || counts.failures === 0) return 0;
      const { runs, failures } = decayed(counts, now);
      const serviceCounts = decayed(recentByService.get(service), now);
      const serviceRate = serviceCounts.failures / (serviceCounts.runs + PRIOR_RUNS);
      return Math.max(0, failures / (runs + PRIOR_RUNS) - serviceRate);
    },
    ownCounts: (worker) => ownTotals.get(worker) ?? NO_COUNTS,
    retainWorkers: (workers) => {
      for (const counted of [ownTotals, recentCounts]) {
        for (const worker of counted.keys()) if (!workers.has(worker)) counted.delete(worker);
      }
    },
    retainInstances: (instances) => {
      for (const instance of countsByInstance.keys())
        if (!instances.has(instance)) countsByInstance.delete(instance);
    },
  };
}

function decayFactor(age: number): number {
  return 2 ** (-Math.max(0, age) / HALF_LIFE);
}

function decayed(counts: DecayingCounts | undefined, now: number): RunCounts {
  if (counts === undefined) return NO_COUNTS;
  const factor = decayFactor(now - counts.at);
  return { runs: counts.runs * factor, failures: counts.failures * factor };
}

function addDecayed<K>(
  counted: Map<K, DecayingCounts>,
  key: K,
  { runs, failures, now }: RunCounts & { now: number },
): void {
  const previous = decayed(counted.get(key), now);
  counted.set(key, { runs: previous.runs + runs, failures: previous.failures + failures, at: now });
}
