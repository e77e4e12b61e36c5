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
    news: GroupCounts & { readonly isSnapshot: boolean },
    own: GroupCounts | undefined,
  ): GroupCounts;
}

/** Creates an instance with empty totals. */
export function createPeerTotals(): PeerTotals {
  const use = new Map<number, WorkerCounts>();
  const admitted = new Map<string, number>();
  return {
    update: (news, own) => {
      if (news.isSnapshot) use.clear();
      for (const [worker, workerUse] of news.workerCounts) {
        if (workerUse.running === 0 && workerUse.unreadTokens === 0 && workerUse.runs === 0)
          use.delete(worker);
        else use.set(worker, workerUse);
      }
      for (const [account, count] of news.admitted) admitted.set(account, count);
      return {
        admitted: new Map(
          [...admitted].map(([account, count]) => [
            account,
            count - (own?.admitted.get(account) ?? 0),
          ]),
        ),
        workerCounts: new Map(
          [...use].map(([worker, total]) => [
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
