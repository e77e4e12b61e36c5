import { countsByWindow } from "../decision/index.ts";
import type { AccountCount, WindowCounts } from "../decision/index.ts";
import { createChangeLog } from "./change_log.ts";
import { NO_USE } from "./digest.ts";
import type { InstanceNews, WorkerUse } from "./digest.ts";

/** Complete counts that an instance can send at one moment. */
export type OwnState = Omit<InstanceNews, "isWhole" | "age" | "time">;

/** Records counts by round, so that each receiver can be sent what it has not acknowledged. */
export interface OwnNews {
  /** Records the counts of a round. Round numbers start at 1 and increase. */
  note(state: OwnState, round: number): void;
  /**
   * Returns the update for a receiver as of the last recorded round; undefined before the first.
   *
   * @param since The last round that the receiver acknowledged; 0 if there is none.
   */
  since(since: number): Omit<InstanceNews, "age" | "time"> | undefined;
}

/**
 * Number of rounds for which removals are retained: half a minute, or some seconds during a burst.
 * A receiver that has not acknowledged a round since then is sent a full snapshot, because it may
 * have entries whose removal is no longer recorded here.
 */
export const REMEMBERED_ROUNDS = 128;

/** Creates a log without any recorded round. */
export function createOwnNews(): OwnNews {
  const same = (a: number, b: number): boolean => a === b;
  const admitted = createChangeLog<string, number>({ gone: 0, equals: same });
  const use = createChangeLog<number, WorkerUse>({ gone: NO_USE, equals: isSameUse });
  /** Count of an account in a window, keyed by window number and account name. */
  const usage = createChangeLog<string, AccountCount>({ gone: NO_COUNT, equals: isSameCount });
  let latest: OwnState | undefined;
  let last = 0;
  return {
    note: (state, round) => {
      latest = state;
      last = round;
      admitted.note(state.admitted, round);
      use.note(state.use, round);
      usage.note(usageByKey(state.usage), round);
      for (const log of [admitted, use, usage]) log.forgetGone(round - REMEMBERED_ROUNDS);
    },
    since: (since) => {
      if (latest === undefined) return undefined;
      const isWhole = since <= last - REMEMBERED_ROUNDS || since === 0;
      const from = isWhole ? 0 : since;
      return {
        isWhole,
        admitted: admitted.since(from),
        usage: countsByWindow(told(usage.since(from))),
        use: use.since(from),
        leaving: latest.leaving,
      };
    },
  };
}

const NO_COUNT: AccountCount = { window: 0, account: "", count: 0 };

function isSameCount(a: AccountCount, b: AccountCount): boolean {
  return a.window === b.window && a.account === b.account && a.count === b.count;
}

function isSameUse(a: WorkerUse, b: WorkerUse): boolean {
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

/** Leaves out the tombstones of windows that are no longer kept. */
function told(counts: ReadonlyMap<string, AccountCount>): AccountCount[] {
  return [...counts.values()].filter(({ account }) => account !== "");
}
