import { countsByWindow } from "../decision/index.ts";
import type { AccountCount, WindowCounts } from "../decision/index.ts";
import type { AdmissionKey } from "./admission_period.ts";
import { createChangeLog } from "./change_log.ts";
import { NO_WORKER_COUNTS } from "./digest.ts";
import type { InstanceUpdate, WorkerCounts } from "./digest.ts";

/** Complete counts that an instance can send at one moment. */
export type InstanceCounts = Omit<InstanceUpdate, "isSnapshot" | "uptime" | "time">;

/** Records counts by round, so that each receiver can be sent what it has not acknowledged. */
export interface CountLog {
  /** Records the counts of a round. Round numbers start at 1 and increase. */
  record(state: InstanceCounts, round: number): void;
  /**
   * Returns the update for a receiver as of the last recorded round; undefined before the first.
   *
   * @param since The last round that the receiver acknowledged; 0 if there is none.
   */
  since(since: number): Omit<InstanceUpdate, "uptime" | "time"> | undefined;
}

/**
 * Number of rounds for which removals are retained: half a minute, or some seconds during a burst.
 * A receiver that has not acknowledged a round since then is sent a full snapshot, because it may
 * have entries whose removal is no longer recorded here.
 */
export const RETAINED_ROUNDS = 128;

/** Creates a log without any recorded round. */
export function createCountLog(): CountLog {
  const isEqual = (a: number, b: number): boolean => a === b;
  const admitted = createChangeLog<AdmissionKey, number>({ tombstone: 0, equals: isEqual });
  const workerCounts = createChangeLog<number, WorkerCounts>({
    tombstone: NO_WORKER_COUNTS,
    equals: isSameWorkerCounts,
  });
  /** Count of an account in a window, keyed by window number and account name. */
  const usage = createChangeLog<string, AccountCount>({ tombstone: NO_COUNT, equals: isSameCount });
  let latest: InstanceCounts | undefined;
  let lastRound = 0;
  return {
    record: (state, round) => {
      latest = state;
      lastRound = round;
      admitted.record(state.admitted, round);
      workerCounts.record(state.workerCounts, round);
      usage.record(usageByKey(state.usage), round);
      for (const log of [admitted, workerCounts, usage]) log.prune(round - RETAINED_ROUNDS);
    },
    since: (since) => {
      if (latest === undefined) return undefined;
      const isSnapshot = since <= lastRound - RETAINED_ROUNDS || since === 0;
      const from = isSnapshot ? 0 : since;
      return {
        isSnapshot,
        admitted: withoutRemoved(admitted.since(from)),
        usage: countsByWindow(withoutTombstones(usage.since(from))),
        workerCounts: workerCounts.since(from),
        leavingWorkers: latest.leavingWorkers,
      };
    },
  };
}

const NO_COUNT: AccountCount = { window: 0, account: "", count: 0 };

function isSameCount(a: AccountCount, b: AccountCount): boolean {
  return a.window === b.window && a.account === b.account && a.count === b.count;
}

function isSameWorkerCounts(a: WorkerCounts, b: WorkerCounts): boolean {
  return (
    a.running === b.running &&
    a.unreadTokens === b.unreadTokens &&
    a.runs === b.runs &&
    a.failures === b.failures
  );
}

function usageByKey(windows: readonly WindowCounts[]): Map<string, AccountCount> {
  return new Map(
    windows.flatMap(({ window, counts }) =>
      Object.entries(counts).map(([account, count]) => [
        `${window}/${account}`,
        { window, account, count },
      ]),
    ),
  );
}

/** Leaves out the tombstones of periods whose amounts are no longer exchanged. */
function withoutRemoved(
  amounts: ReadonlyMap<AdmissionKey, number>,
): ReadonlyMap<AdmissionKey, number> {
  return new Map([...amounts].filter(([, amount]) => amount > 0));
}

/** Leaves out the tombstones of windows that are no longer kept. */
function withoutTombstones(counts: ReadonlyMap<string, AccountCount>): AccountCount[] {
  return [...counts.values()].filter(({ account }) => account !== "");
}
