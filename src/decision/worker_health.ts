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
  ended(run: { worker: WorkerHash; service: string; failed: boolean; now: number }): void;
  /**
   * Receives another instance's counts by worker since its start. Counts only grow, so a lost or
   * repeated message does no harm. The counts of the first message may be old and are only the base
   * for later ones.
   */
  heard(instance: string, counts: ReadonlyMap<WorkerHash, RunCounts>, now: number): void;
  /**
   * Returns the probability, from 0 to 1, that a run at the worker fails, beyond the usual rate of
   * its service.
   */
  excess(worker: WorkerHash, service: string, now: number): number;
  /** Returns this instance's counts for the worker since the start, to be sent to the others. */
  ownCounts(worker: WorkerHash): RunCounts;
  /** Deletes all other workers. */
  keepOnly(workers: ReadonlySet<WorkerHash>): void;
  /** Deletes the counts of all other instances. Their recent observations decay on their own. */
  keepInstances(instances: ReadonlySet<string>): void;
}

const HALF_LIFE = 3_000;
/**
 * Successful runs assumed for a worker without history, since a single failure is weak evidence.
 */
const PRIOR_RUNS = 2;
const NOTHING: RunCounts = { runs: 0, failures: 0 };

/** Counts whose weight decreases with their age. */
interface Decaying extends RunCounts {
  readonly at: number;
}

/** Creates estimates without observations. */
export function createWorkerHealth(): WorkerHealth {
  /**
   * Recent counts of all instances, by worker: each request looks up every worker of its service.
   */
  const lately = new Map<WorkerHash, Decaying>();
  const services = new Map<string, Decaying>();
  const own = new Map<WorkerHash, RunCounts>();
  /** The counts of each other instance, by worker. */
  const said = new Map<string, Map<WorkerHash, RunCounts>>();

  const heard: WorkerHealth["heard"] = (instance, counts, now) => {
    const before = said.get(instance);
    const known = before ?? new Map<WorkerHash, RunCounts>();
    said.set(instance, known);
    for (const [worker, { runs, failures }] of counts) {
      const { runs: runsBefore, failures: failuresBefore } = known.get(worker) ?? NOTHING;
      if (runs === 0) known.delete(worker);
      else known.set(worker, { runs, failures });
      const more = { runs: runs - runsBefore, failures: failures - failuresBefore };
      if (before !== undefined && more.runs > 0) add(lately, worker, { ...more, now });
    }
  };
  return {
    ended: ({ worker, service, failed, now }) => {
      const run = { runs: 1, failures: failed ? 1 : 0 };
      const { runs, failures } = own.get(worker) ?? NOTHING;
      own.set(worker, { runs: runs + run.runs, failures: failures + run.failures });
      add(lately, worker, { ...run, now });
      add(services, service, { ...run, now });
    },
    heard,
    excess: (worker, service, now) => {
      const counts = lately.get(worker);
      // Fast path for nearly all workers, since each request looks up every one of them.
      if (counts === undefined || counts.failures === 0) return 0;
      const { runs, failures } = decayed(counts, now);
      const usual = decayed(services.get(service), now);
      const usualPart = usual.failures / (usual.runs + PRIOR_RUNS);
      return Math.max(0, failures / (runs + PRIOR_RUNS) - usualPart);
    },
    ownCounts: (worker) => own.get(worker) ?? NOTHING,
    keepOnly: (workers) => {
      for (const counted of [own, lately]) {
        for (const worker of counted.keys()) if (!workers.has(worker)) counted.delete(worker);
      }
    },
    keepInstances: (instances) => {
      for (const instance of said.keys()) if (!instances.has(instance)) said.delete(instance);
    },
  };
}

function keptPart(age: number): number {
  return 2 ** (-Math.max(0, age) / HALF_LIFE);
}

function decayed(counts: Decaying | undefined, now: number): RunCounts {
  if (counts === undefined) return NOTHING;
  const kept = keptPart(now - counts.at);
  return { runs: counts.runs * kept, failures: counts.failures * kept };
}

function add<K>(
  counted: Map<K, Decaying>,
  key: K,
  { runs, failures, now }: RunCounts & { now: number },
): void {
  const before = decayed(counted.get(key), now);
  counted.set(key, { runs: before.runs + runs, failures: before.failures + failures, at: now });
}
