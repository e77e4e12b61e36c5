/**
 * How far workers are to be trusted, judged by the requests themselves.
 *
 * Load that it answers: a worker that fails part of its requests, or hangs, while its health check is good.
 * It ends failing requests quickly, so it looks idle and draws the most work. One would notice a share of
 * errors that fits one worker's share of the load, for as long as nobody takes it away.
 *
 * A worker's failures are counted with a weight that halves every 3 s: at ten requests a second over all
 * instances three failures are enough to tell, within a second or two, and a worker that has recovered is
 * tried again after about ten seconds. What all instances saw is added up, since one of them alone sees too
 * little. A worker is compared with its service as a whole: when all fail the cause lies elsewhere, and
 * avoiding workers would make it worse.
 *
 * @module
 */

/** Runs that ended at a worker and how many of them failed. */
export interface RunCounts {
  readonly runs: number;
  readonly failures: number;
}

/** A worker, by the hash of its id: instances name workers to each other by it. */
export type WorkerHash = number;

/** What is believed of the workers of all services. */
export interface WorkerHealth {
  /** A run at the worker has ended. */
  ended(run: { worker: WorkerHash; service: string; failed: boolean; now: number }): void;
  /**
   * What another instance has counted since its start, by worker. Counts only grow, so that one that is heard twice,
   * or never, does no harm. What it had counted when it was first heard may be long ago and isn't taken in.
   */
  heard(instance: string, counts: ReadonlyMap<WorkerHash, RunCounts>, now: number): void;
  /** The chance, from 0 to 1, that a run fails there beyond what is usual in its service. */
  excess(worker: WorkerHash, service: string, now: number): number;
  /** What this instance has counted at the worker since its start, for the others. */
  ownCounts(worker: WorkerHash): RunCounts;
  /** Forgets workers that are gone. */
  keepOnly(workers: ReadonlySet<WorkerHash>): void;
  /** Forgets what instances that are gone have counted; what they saw lately fades by itself. */
  keepInstances(instances: ReadonlySet<string>): void;
}

const HALF_LIFE = 3_000;
/** Runs that a worker without history is reckoned to have ended well: one failure alone says little. */
const PRIOR_RUNS = 2;
const NOTHING: RunCounts = { runs: 0, failures: 0 };

/** Runs and failures that count the less the longer they are ago. */
interface Decaying extends RunCounts {
  readonly at: number;
}

/** Makes a belief that has seen nothing. */
export function createWorkerHealth(): WorkerHealth {
  /** By worker, what all instances saw lately: a request asks for every worker of its service. */
  const lately = new Map<WorkerHash, Decaying>();
  const services = new Map<string, Decaying>();
  const own = new Map<WorkerHash, RunCounts>();
  /** By instance, what it has counted at the workers. */
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
      // So it is with nearly all workers, and a request asks for each of them.
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
