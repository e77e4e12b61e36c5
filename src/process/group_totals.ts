import type { InstanceUpdate, WorkerCounts } from "./digest.ts";
import { NO_WORKER_COUNTS } from "./digest.ts";

/** Counts by worker that are summed over instances. */
export type GroupCounts = Pick<InstanceUpdate, "workerCounts">;

/** Running sums of the counts by worker received from several sources (instances or groups of instances). */
export interface GroupTotals {
  /**
   * Applies an update.
   *
   * @param source Id of the source.
   * @param isNew Whether the source started counting so recently that its complete counts are new.
   */
  receive(
    source: string,
    update: GroupCounts & { readonly isSnapshot: boolean },
    isNew: boolean,
  ): void;
  /**
   * Removes all sources that are not in `sources`. Their running work is subtracted; what they
   * counted cumulatively stays in the sums, except for workers that no remaining source lists.
   */
  retainSources(sources: ReadonlySet<string>): void;
  /** Returns the sum for one worker, excluding this instance's own counts. */
  countsOf(worker: number): WorkerCounts | undefined;
  /**
   * Returns the sum of what the present sources last reported for one worker, with their counts from before their first
   * update.
   */
  reportedOf(worker: number): WorkerCounts | undefined;
  /** Returns the sums including this instance's own counts. */
  plus(own: GroupCounts): GroupCounts;
}

interface SourceCounts {
  readonly workerCounts: Map<number, WorkerCounts>;
}

/**
 * Creates empty sums.
 *
 * Work in progress counts while its source is present. Cumulative counts (ended runs) count from the first update of a source and remain afterwards. Receivers interpret the
 * growth of these sums as new events, so the sums must not decrease when an instance ends, nor jump
 * by the past counts of a newly received instance. Only a worker's sums are dropped as a whole, once
 * no source lists the worker.
 */
export function createGroupTotals(): GroupTotals {
  const sources = new Map<string, SourceCounts>();
  const workerSums = new Map<number, WorkerCounts>();
  /** Number of sources that list each worker. */
  const sourcesPerWorker = new Map<number, number>();

  const add = (worker: number, delta: WorkerCounts): void => {
    workerSums.set(worker, addWorkerCounts(workerSums.get(worker) ?? NO_WORKER_COUNTS, delta));
  };
  const adjustSourceCount = (worker: number, delta: number): void => {
    const count = (sourcesPerWorker.get(worker) ?? 0) + delta;
    if (count > 0) {
      sourcesPerWorker.set(worker, count);
      return;
    }
    sourcesPerWorker.delete(worker);
    workerSums.delete(worker);
  };
  const removeSource = (source: string): void => {
    for (const [worker, { running, unreadTokens }] of sources.get(source)?.workerCounts ?? []) {
      add(worker, { ...NO_WORKER_COUNTS, running: -running, unreadTokens: -unreadTokens });
      adjustSourceCount(worker, -1);
    }
    sources.delete(source);
  };
  const applyWorkerCounts = (
    sourceCounts: SourceCounts,
    worker: number,
    latest: WorkerCounts,
    isCounted: boolean,
  ): void => {
    const before = sourceCounts.workerCounts.get(worker);
    const isEmpty = latest.running === 0 && latest.unreadTokens === 0 && latest.runs === 0;
    if (isEmpty && before === undefined) return;
    const { running, unreadTokens, runs, failures } = before ?? NO_WORKER_COUNTS;
    add(worker, {
      running: latest.running - running,
      unreadTokens: latest.unreadTokens - unreadTokens,
      runs: isCounted ? Math.max(0, latest.runs - runs) : 0,
      failures: isCounted ? Math.max(0, latest.failures - failures) : 0,
    });
    if (isEmpty) sourceCounts.workerCounts.delete(worker);
    else sourceCounts.workerCounts.set(worker, latest);
    if (isEmpty) adjustSourceCount(worker, -1);
    else if (before === undefined) adjustSourceCount(worker, 1);
  };
  return {
    receive: (source, update, isNew) => {
      const before = sources.get(source);
      const sourceCounts: SourceCounts = before ?? { workerCounts: new Map() };
      sources.set(source, sourceCounts);
      const isCounted = before !== undefined || isNew;
      if (update.isSnapshot) {
        for (const worker of sourceCounts.workerCounts.keys()) {
          if (!update.workerCounts.has(worker))
            applyWorkerCounts(sourceCounts, worker, NO_WORKER_COUNTS, isCounted);
        }
      }
      for (const [worker, latest] of update.workerCounts)
        applyWorkerCounts(sourceCounts, worker, latest, isCounted);
    },
    retainSources: (retained) => {
      for (const source of sources.keys()) if (!retained.has(source)) removeSource(source);
    },
    countsOf: (worker) => workerSums.get(worker),
    reportedOf: (worker) => {
      const reports = [...sources.values()].flatMap(
        ({ workerCounts }) => workerCounts.get(worker) ?? [],
      );
      return reports.length === 0 ? undefined : reports.reduce(addWorkerCounts);
    },
    plus: (own) => ({ workerCounts: addAllWorkerCounts(workerSums, own.workerCounts) }),
  };
}

/** Adds two sets of worker counts. */
function addAllWorkerCounts(
  a: ReadonlyMap<number, WorkerCounts>,
  b: ReadonlyMap<number, WorkerCounts>,
): Map<number, WorkerCounts> {
  const sums = new Map(a);
  for (const [worker, use] of b)
    sums.set(worker, addWorkerCounts(sums.get(worker) ?? NO_WORKER_COUNTS, use));
  return sums;
}

function addWorkerCounts(a: WorkerCounts, b: WorkerCounts): WorkerCounts {
  return {
    running: a.running + b.running,
    unreadTokens: a.unreadTokens + b.unreadTokens,
    runs: a.runs + b.runs,
    failures: a.failures + b.failures,
  };
}
