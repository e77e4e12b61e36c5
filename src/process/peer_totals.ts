import { isRecentPeriod, parseAdmissionKey } from "./admission_period.ts";
import type { AdmissionKey } from "./admission_period.ts";
import { NO_WORKER_COUNTS } from "./digest.ts";
import type { InstanceUpdate, WorkerCounts } from "./digest.ts";

/** Counts of which totals over all instances are sent. */
export type SummedCounts = Pick<InstanceUpdate, "admitted" | "workerCounts">;

/** Derives the totals of all other instances from fleet totals that include this instance's own counts. */
export interface PeerTotals {
  /**
   * Applies an update of the totals.
   *
   * @param own Counts of this instance that the totals include; undefined if they include none.
   * @returns The totals without this instance's own counts.
   */
  update(
    update: SummedCounts & { readonly isSnapshot: boolean },
    own: SummedCounts | undefined,
  ): SummedCounts;
}

/** Creates empty totals. */
export function createPeerTotals(): PeerTotals {
  const countsByWorker = new Map<number, WorkerCounts>();
  const admitted = new Map<AdmissionKey, number>();
  return {
    update: (update, own) => {
      if (update.isSnapshot) countsByWorker.clear();
      for (const [worker, counts] of update.workerCounts) {
        if (counts.running === 0 && counts.unreadTokens === 0 && counts.runs === 0)
          countsByWorker.delete(worker);
        else countsByWorker.set(worker, counts);
      }
      for (const [key, amount] of update.admitted) admitted.set(key, amount);
      removeEarlierPeriods(admitted);
      return {
        admitted: new Map(
          [...admitted].map(([key, amount]) => [
            key,
            Math.max(0, amount - (own?.admitted.get(key) ?? 0)),
          ]),
        ),
        workerCounts: new Map(
          [...countsByWorker].map(([worker, total]) => [
            worker,
            subtract(total, own?.workerCounts.get(worker) ?? NO_WORKER_COUNTS),
          ]),
        ),
      };
    },
  };
}

/** Removes the amounts of periods that are no longer exchanged. */
function removeEarlierPeriods(admitted: Map<AdmissionKey, number>): void {
  const periods = [...admitted.keys()].map((key) => parseAdmissionKey(key).period);
  const last = Math.max(0, ...periods);
  for (const key of admitted.keys())
    if (!isRecentPeriod(parseAdmissionKey(key).period, last)) admitted.delete(key);
}

/** Subtracts a part from a total. Both are sent at different times, so negative occupancy is clamped to 0. */
function subtract(total: WorkerCounts, part: WorkerCounts): WorkerCounts {
  return {
    running: Math.max(0, total.running - part.running),
    unreadTokens: Math.max(0, total.unreadTokens - part.unreadTokens),
    runs: total.runs - part.runs,
    failures: total.failures - part.failures,
  };
}
