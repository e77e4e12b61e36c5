import { NO_USE } from "./digest.ts";
import type { WorkerUse } from "./digest.ts";
import type { GroupCounts } from "./group_totals.ts";

/** Derives the totals of all other instances from fleet totals that include this instance's own counts. */
export interface OthersView {
  /**
   * Applies an update of the totals.
   *
   * @param own Counts of this instance that the totals include; undefined if they include none.
   * @returns The totals without this instance's own counts.
   */
  heard(
    news: GroupCounts & { readonly isWhole: boolean },
    own: GroupCounts | undefined,
  ): GroupCounts;
}

/** Creates an instance with empty totals. */
export function createOthersView(): OthersView {
  const use = new Map<number, WorkerUse>();
  const admitted = new Map<string, number>();
  return {
    heard: (news, own) => {
      if (news.isWhole) use.clear();
      for (const [worker, workerUse] of news.use) {
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
        use: new Map(
          [...use].map(([worker, total]) => [
            worker,
            subtract(total, own?.use.get(worker) ?? NO_USE),
          ]),
        ),
      };
    },
  };
}

/** Subtracts a part from a total. Both are sent at different times, so negative occupancy is clamped to 0. */
function subtract(total: WorkerUse, part: WorkerUse): WorkerUse {
  return {
    running: Math.max(0, total.running - part.running),
    unreadTokens: Math.max(0, total.unreadTokens - part.unreadTokens),
    runs: total.runs - part.runs,
    failures: total.failures - part.failures,
  };
}
