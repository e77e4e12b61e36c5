import type { InstanceNews, WorkerUse } from "./digest.ts";
import { NO_USE } from "./digest.ts";

/** Counts that are summed over instances. */
export type GroupCounts = Pick<InstanceNews, "admitted" | "use">;

/** Running sums of the counts received from several sources (instances or groups of instances). */
export interface GroupTotals {
  /**
   * Applies an update.
   *
   * @param source Id of the source.
   * @param isNew Whether the source started counting so recently that its complete counts are new.
   */
  heard(source: string, news: GroupCounts & { readonly isWhole: boolean }, isNew: boolean): void;
  /**
   * Removes all sources that are not in `sources`. Their running work is subtracted; what they
   * counted cumulatively stays in the sums.
   */
  keepSources(sources: ReadonlySet<string>): void;
  /** Returns the sum for one worker, excluding this instance's own counts. */
  useOf(worker: number): WorkerUse | undefined;
  /** Returns the sums including this instance's own counts. */
  with(own: GroupCounts): GroupCounts;
}

interface Said {
  readonly admitted: Map<string, number>;
  readonly use: Map<number, WorkerUse>;
}

/**
 * Creates empty sums.
 *
 * Work in progress counts while its source is present. Cumulative counts (admitted requests, ended
 * runs) count from the first update of a source and remain afterwards. Receivers interpret the
 * growth of these sums as new events, so the sums must not decrease when an instance ends, nor jump
 * by the past counts of a newly received instance.
 */
export function createGroupTotals(): GroupTotals {
  const sources = new Map<string, Said>();
  const admitted = new Map<string, number>();
  const use = new Map<number, WorkerUse>();
  /** Number of sources that list each worker. */
  const named = new Map<number, number>();

  const add = (worker: number, by: WorkerUse): void => {
    use.set(worker, addUse(use.get(worker) ?? NO_USE, by));
  };
  const name = (worker: number, by: number): void => {
    const count = (named.get(worker) ?? 0) + by;
    if (count > 0) {
      named.set(worker, count);
      return;
    }
    named.delete(worker);
    use.delete(worker);
  };
  const forget = (source: string): void => {
    for (const [worker, { running, unreadTokens }] of sources.get(source)?.use ?? []) {
      add(worker, { ...NO_USE, running: -running, unreadTokens: -unreadTokens });
      name(worker, -1);
    }
    sources.delete(source);
  };
  const heardUse = (known: Said, worker: number, said: WorkerUse, counts: boolean): void => {
    const before = known.use.get(worker);
    const isGone = said.running === 0 && said.unreadTokens === 0 && said.runs === 0;
    if (isGone && before === undefined) return;
    const { running, unreadTokens, runs, failures } = before ?? NO_USE;
    add(worker, {
      running: said.running - running,
      unreadTokens: said.unreadTokens - unreadTokens,
      runs: counts ? Math.max(0, said.runs - runs) : 0,
      failures: counts ? Math.max(0, said.failures - failures) : 0,
    });
    if (isGone) known.use.delete(worker);
    else known.use.set(worker, said);
    if (isGone) name(worker, -1);
    else if (before === undefined) name(worker, 1);
  };
  return {
    heard: (source, news, isNew) => {
      const before = sources.get(source);
      const known: Said = before ?? { admitted: new Map(), use: new Map() };
      sources.set(source, known);
      const counts = before !== undefined || isNew;
      if (news.isWhole) {
        for (const worker of known.use.keys()) {
          if (!news.use.has(worker)) heardUse(known, worker, NO_USE, counts);
        }
      }
      for (const [worker, said] of news.use) heardUse(known, worker, said, counts);
      for (const [account, count] of news.admitted) {
        const more = count - (known.admitted.get(account) ?? 0);
        known.admitted.set(account, count);
        if (counts) admitted.set(account, (admitted.get(account) ?? 0) + more);
      }
    },
    keepSources: (kept) => {
      for (const source of sources.keys()) if (!kept.has(source)) forget(source);
    },
    useOf: (worker) => use.get(worker),
    with: (own) => ({
      admitted: addCounts(admitted, own.admitted),
      use: addUses(use, own.use),
    }),
  };
}

/** Adds two sets of worker counts. */
function addUses(
  a: ReadonlyMap<number, WorkerUse>,
  b: ReadonlyMap<number, WorkerUse>,
): Map<number, WorkerUse> {
  const sums = new Map(a);
  for (const [worker, use] of b) sums.set(worker, addUse(sums.get(worker) ?? NO_USE, use));
  return sums;
}

function addUse(a: WorkerUse, b: WorkerUse): WorkerUse {
  return {
    running: a.running + b.running,
    unreadTokens: a.unreadTokens + b.unreadTokens,
    runs: a.runs + b.runs,
    failures: a.failures + b.failures,
  };
}

function addCounts(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): Map<string, number> {
  const sums = new Map(a);
  for (const [account, count] of b) sums.set(account, (sums.get(account) ?? 0) + count);
  return sums;
}
