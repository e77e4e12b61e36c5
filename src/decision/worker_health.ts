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

/** Runs that ended at a worker and how many of them failed, old ones with less weight. */
export interface RunTally {
  readonly runs: number;
  readonly failures: number;
}

/** What is believed of the workers of all services. */
export interface WorkerHealth {
  /** A run at the worker has ended. */
  ended(run: { worker: string; service: string; failed: boolean; now: number }): void;
  /** What other instances saw, by worker; it replaces what the same instance said before. */
  heard(instance: string, tallies: ReadonlyMap<string, RunTally>, now: number): void;
  /** The chance, from 0 to 1, that a run fails there beyond what is usual in its service. */
  excess(worker: string, service: string, now: number): number;
  /** What this instance saw itself, for the others. */
  tally(worker: string, now: number): RunTally;
  /** Forgets workers that are gone. */
  keepOnly(workers: ReadonlySet<string>): void;
}

const HALF_LIFE = 3_000;
/** Runs that a worker without history is reckoned to have ended well: one failure alone says little. */
const PRIOR_RUNS = 2;
/** Runs below this are what is left of taking away what was added. */
const ROUNDING = 1e-9;

interface Decaying {
  runs: number;
  failures: number;
  at: number;
}

/** Makes a belief that has seen nothing. */
export function createWorkerHealth(): WorkerHealth {
  const own = new Map<string, Decaying>();
  const services = new Map<string, Decaying>();
  /** By instance, what it said last. */
  const said = new Map<string, { tallies: ReadonlyMap<string, RunTally>; at: number }>();
  /**
   * By worker, what the other instances said, added up. A request asks for every worker of its service, many times
   * as often as an instance is heard: with 63 instances and 257 workers the adding up took milliseconds of each.
   */
  const others = new Map<string, Decaying>();

  const total = (worker: string, now: number): RunTally => {
    const mine = decayed(own.get(worker), now);
    const theirs = decayed(others.get(worker), now);
    return { runs: mine.runs + theirs.runs, failures: mine.failures + theirs.failures };
  };
  const addToOthers = (worker: string, { runs, failures }: RunTally, now: number): void => {
    const before = decayed(others.get(worker), now);
    const sum = { runs: before.runs + runs, failures: before.failures + failures };
    if (sum.runs < ROUNDING) others.delete(worker);
    else others.set(worker, { ...sum, at: now });
  };
  const heard: WorkerHealth["heard"] = (instance, tallies, now) => {
    const before = said.get(instance);
    const kept = before === undefined ? 0 : -keptPart(now - before.at);
    for (const [worker, { runs, failures }] of before?.tallies ?? []) {
      addToOthers(worker, { runs: runs * kept, failures: failures * kept }, now);
    }
    for (const [worker, tally] of tallies) addToOthers(worker, tally, now);
    said.set(instance, { tallies, at: now });
  };
  return {
    ended: ({ worker, service, failed, now }) => {
      add(own, worker, { failed, now });
      add(services, service, { failed, now });
    },
    heard,
    excess: (worker, service, now) => {
      const { runs, failures } = total(worker, now);
      const usual = decayed(services.get(service), now);
      const usualPart = usual.failures / (usual.runs + PRIOR_RUNS);
      return Math.max(0, failures / (runs + PRIOR_RUNS) - usualPart);
    },
    tally: (worker, now) => decayed(own.get(worker), now),
    keepOnly: (workers) => {
      for (const id of own.keys()) if (!workers.has(id)) own.delete(id);
    },
  };
}

function keptPart(age: number): number {
  return 2 ** (-Math.max(0, age) / HALF_LIFE);
}

function decayed(tally: Decaying | undefined, now: number): RunTally {
  if (tally === undefined) return { runs: 0, failures: 0 };
  const kept = keptPart(now - tally.at);
  return { runs: tally.runs * kept, failures: tally.failures * kept };
}

function add(
  tallies: Map<string, Decaying>,
  key: string,
  { failed, now }: { failed: boolean; now: number },
): void {
  const { runs, failures } = decayed(tallies.get(key), now);
  tallies.set(key, { runs: runs + 1, failures: failures + (failed ? 1 : 0), at: now });
}
