import { NO_WORKER_COUNTS } from "./digest.ts";
import type { WorkerCounts } from "./digest.ts";
import type { GroupCounts } from "./group_totals.ts";

/** Derives the totals of all other instances from fleet totals that include this instance's own counts. */
export interface PeerTotals {
  /**
   * Applies an update of the totals.
   *
   * @param own Counts of this instance that the totals include; undefined if they include none.
   * @returns The totals without this instance's own counts.
   */
  update(
    update: GroupCounts & { readonly isSnapshot: boolean },
    own: GroupCounts | undefined,
  ): GroupCounts;
}

/** Creates empty totals. */
export function createPeerTotals(): PeerTotals {
  const countsByWorker = new Map<number, WorkerCounts>();
  const admitted = new Map<string, number>();
  return {
    update: (update, own) => {
      if (update.isSnapshot) countsByWorker.clear();
      for (const [worker, counts] of update.workerCounts) {
        if (counts.running === 0 && counts.unreadTokens === 0 && counts.runs === 0)
          countsByWorker.delete(worker);
        else countsByWorker.set(worker, counts);
      }
      for (const [account, count] of update.admitted) admitted.set(account, count);
      return {
        admitted: new Map(
          [...admitted].map(([account, count]) => [
            account,
            count - (own?.admitted.get(account) ?? 0),
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

/** Subtracts a part from a total. Both are sent at different times, so negative occupancy is clamped to 0. */
function subtract(total: WorkerCounts, part: WorkerCounts): WorkerCounts {
  return {
    running: Math.max(0, total.running - part.running),
    unreadTokens: Math.max(0, total.unreadTokens - part.unreadTokens),
    runs: total.runs - part.runs,
    failures: total.failures - part.failures,
  };
}
