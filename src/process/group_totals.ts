import type { InstanceNews, WorkerUse } from "./digest.ts";
import { NO_USE } from "./digest.ts";

/** What is added up over instances. */
export type GroupCounts = Pick<InstanceNews, "admitted" | "use">;

/** The sums of what several instances, or groups of them, say. */
export interface GroupTotals {
  /**
   * Takes in news.
   *
   * @param source Whose they are.
   * @param isNew Whether the source has begun to count so lately that all that it has counted is new.
   */
  heard(source: string, news: GroupCounts & { readonly isWhole: boolean }, isNew: boolean): void;
  /** Forgets all other sources: what they had at workers has ended, and what they have counted stays. */
  keepSources(sources: ReadonlySet<string>): void;
  /** The sum at one worker, without what this instance has itself. */
  useOf(worker: number): WorkerUse | undefined;
  /** The sums with what this instance has itself. */
  with(own: GroupCounts): GroupCounts;
}

interface Said {
  readonly admitted: Map<string, number>;
  readonly use: Map<number, WorkerUse>;
}

/**
 * Makes sums of nothing.
 *
 * What a source has at a worker counts while the source is there. What it counts up (requests admitted, runs ended)
 * counts from when it was first heard and stays: whoever is told the sums takes their growth for what happened, so they
 * may neither fall when an instance ends nor rise by what one that is newly heard did long ago.
 */
export function createGroupTotals(): GroupTotals {
  const sources = new Map<string, Said>();
  const admitted = new Map<string, number>();
  const use = new Map<number, WorkerUse>();
  /** By worker, how many sources name it. */
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

/** Adds up what two have at workers. */
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
