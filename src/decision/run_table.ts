/**
 * The runs of this instance's jobs: one per job, two while a hedge runs.
 *
 * @module
 */
import { Lane } from "./job.ts";
import type { Job } from "./job.ts";
import type { PoolWorker } from "./worker_pool.ts";

/** One run of a job on a worker. */
export interface Run {
  readonly job: Job;
  readonly worker: PoolWorker;
  readonly dispatchedAt: number;
  /** Prompt tokens that the worker is expected to compute before the first token. */
  readonly uncachedTokens: number;
  /** Time of the run's last token; undefined before the first. */
  lastTokenAt: number | undefined;
}

/** Runs by job id, with the workers on which each job failed. */
export interface RunTable {
  /** Adds a run. */
  start(job: Job, details: { worker: PoolWorker; uncachedTokens: number; now: number }): void;
  /** Returns the job's current runs. */
  runsOf(id: string): readonly Run[];
  /** Returns the job's run on the worker; without a worker, its first run. */
  find(id: string, worker: string | undefined): Run | undefined;
  /** Ends a run. If it failed, its worker is excluded for the job from now on. */
  end(run: Run, failed: boolean): void;
  /** Returns how many of the job's runs failed. */
  failures(id: string): number;
  /**
   * Returns the workers that must not get the job: those on which it failed, those on which it
   * runs, and the given ones.
   */
  excludedWorkers(id: string, alsoExcluded: ReadonlySet<string>): ReadonlySet<string>;
  /** Removes the job and its history. */
  remove(id: string): void;
}

interface JobRuns {
  runs: Run[];
  readonly failedOn: Set<string>;
  failures: number;
}

/** Creates a table without runs. */
export function createRunTable(): RunTable {
  const entries = new Map<string, JobRuns>();
  const entryOf = (id: string): JobRuns => {
    const known = entries.get(id) ?? { runs: [], failedOn: new Set(), failures: 0 };
    entries.set(id, known);
    return known;
  };
  const runsOf = (id: string): readonly Run[] => entries.get(id)?.runs ?? [];
  return {
    start: (job, { worker, uncachedTokens, now }) => {
      const run = { job, worker, uncachedTokens, dispatchedAt: now, lastTokenAt: undefined };
      entryOf(job.id).runs.push(run);
      worker.queuedPrefillTokens += uncachedTokens;
      if (job.lane === Lane.Lookup) worker.ownLookups++;
    },
    runsOf,
    find: (id, worker) => {
      if (worker === undefined) return runsOf(id)[0];
      return runsOf(id).find((run) => run.worker.worker.id === worker);
    },
    end: (run, failed) => {
      if (run.lastTokenAt === undefined) run.worker.queuedPrefillTokens -= run.uncachedTokens;
      if (run.job.lane === Lane.Lookup) run.worker.ownLookups--;
      const entry = entryOf(run.job.id);
      entry.runs = entry.runs.filter((other) => other !== run);
      if (!failed) return;
      entry.failures++;
      entry.failedOn.add(run.worker.worker.id);
    },
    failures: (id) => entries.get(id)?.failures ?? 0,
    excludedWorkers: (id, alsoExcluded) => {
      const entry = entries.get(id);
      if (entry === undefined) return alsoExcluded;
      const running = entry.runs.map((run) => run.worker.worker.id);
      return new Set([...alsoExcluded, ...entry.failedOn, ...running]);
    },
    remove: (id) => entries.delete(id),
  };
}
