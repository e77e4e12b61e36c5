import type { RunCounts } from "../decision/index.ts";

type CountsByKey = ReadonlyMap<number, RunCounts>;

/** Keeps snapshots of run counts at earlier times. */
export interface CountHistory {
  /**
   * Records the counts at a time in milliseconds, which must not decrease. A snapshot is skipped if
   * the previous one is too recent.
   */
  note(at: number, sums: CountsByKey): void;
  /**
   * Returns the latest snapshot taken at or before `moment`, or the oldest one if all are later;
   * undefined if there is none.
   */
  at(moment: number): CountsByKey | undefined;
}

/**
 * Minimum milliseconds between two snapshots, and the maximum number of snapshots: together they
 * cover a few minutes.
 */
const MIN_INTERVAL = 500;
const MAX_SNAPSHOTS = 512;

/** Creates an empty history. */
export function createCountHistory(): CountHistory {
  const snapshots: { readonly at: number; readonly sums: CountsByKey }[] = [];
  return {
    note: (at, sums) => {
      const last = snapshots.at(-1);
      if (last !== undefined && at - last.at < MIN_INTERVAL) return;
      snapshots.push({ at, sums: new Map([...sums].map(([key, counts]) => [key, { ...counts }])) });
      if (snapshots.length > MAX_SNAPSHOTS) snapshots.shift();
    },
    at: (moment) => (snapshots.findLast(({ at }) => at <= moment) ?? snapshots[0])?.sums,
  };
}

/**
 * Returns the increase from `before` to `now`. A count is never negative: totals decrease when an
 * instance that contributed to them ends.
 */
export function countsSince(now: CountsByKey, before: CountsByKey): Map<number, RunCounts> {
  const found = new Map<number, RunCounts>();
  for (const [key, { runs, failures }] of now) {
    const earlier = before.get(key) ?? { runs: 0, failures: 0 };
    found.set(key, {
      runs: Math.max(0, runs - earlier.runs),
      failures: Math.max(0, failures - earlier.failures),
    });
  }
  return found;
}
