/**
 * How many workers a service's load keeps busy.
 *
 * Load that it answers: demand that rises within seconds, and requests that pile up because workers were taken.
 * The requests that run tell both, by Little's law without knowing any engine's speed: their number is what
 * arrives times how long it takes. But where workers are overloaded each run takes longer, and the number would
 * ask for several times what is needed; so beyond what a worker runs well, only a part of a run counts.
 *
 * A rise counts at once, since a worker takes seconds to come and a late first token is paid for at once. A fall
 * counts slowly, with a half-life of 10 s: a worker that is given back and needed again is paid for twice, and
 * when it is needed the market may be dry. The first load is always small, so what was there before it is a fall's
 * beginning as well.
 *
 * @module
 */

/** Follows one service's load. */
export interface WorkerDemand {
  /**
   * Takes in the runs at each worker.
   *
   * @param first Workers that are reckoned to be busy when the first load comes.
   */
  observe(running: readonly number[], options: { now: number; first: number }): DemandLevel;
}

/** Workers that a load keeps busy. */
export interface DemandLevel {
  readonly now: number;
  /** The same with falls counted slowly. */
  readonly lately: number;
  /** Whether there was any load yet. */
  readonly hasBegun: boolean;
}

/** Runs at which an engine still makes first tokens in a fraction of the usual targets. */
const RUNS_A_WORKER = 10;
/** Runs of one worker that count in full; those beyond wait for each other. */
const COUNTED_RUNS = 16;
const BEYOND_PART = 0.2;
const HALF_LIFE = 10_000;

/** Makes a demand that has seen nothing. */
export function createWorkerDemand(): WorkerDemand {
  let level: { readonly workers: number; readonly at: number } | undefined;
  return {
    observe: (running, { now, first }) => {
      const workers = running.reduce((sum, runs) => sum + counted(runs), 0) / RUNS_A_WORKER;
      if (level === undefined && workers === 0) return { now: 0, lately: first, hasBegun: false };
      const before = level?.workers ?? first;
      const kept = 2 ** (-(now - (level?.at ?? now)) / HALF_LIFE);
      level = { workers: Math.max(workers, workers + (before - workers) * kept), at: now };
      return { now: Math.ceil(workers), lately: Math.ceil(level.workers), hasBegun: true };
    },
  };
}

function counted(runs: number): number {
  return Math.min(runs, COUNTED_RUNS) + Math.max(0, runs - COUNTED_RUNS) * BEYOND_PART;
}
