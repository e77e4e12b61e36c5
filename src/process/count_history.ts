import type { RunCounts } from "../decision/index.ts";

type Sums = ReadonlyMap<number, RunCounts>;

/** Keeps snapshots of run counts at earlier times. */
export interface CountHistory {
  /**
   * Records the counts at a time in milliseconds, which must not decrease. A snapshot is skipped if
   * the previous one is too recent.
   */
  note(at: number, sums: Sums): void;
  /**
   * Returns the latest snapshot taken at or before `moment`, or the oldest one if all are later;
   * undefined if there is none.
   */
  at(moment: number): Sums | undefined;
}

/**
 * Minimum milliseconds between two snapshots, and the maximum number of snapshots: together they
 * cover a few minutes.
 */
const PERIOD = 500;
const GREATEST_KEPT = 512;

/** Creates an empty history. */
export function createCountHistory(): CountHistory {
  const kept: { readonly at: number; readonly sums: Sums }[] = [];
  return {
    note: (at, sums) => {
      const last = kept.at(-1);
      if (last !== undefined && at - last.at < PERIOD) return;
      kept.push({ at, sums: new Map([...sums].map(([key, counts]) => [key, { ...counts }])) });
      if (kept.length > GREATEST_KEPT) kept.shift();
    },
    at: (moment) => (kept.findLast(({ at }) => at <= moment) ?? kept[0])?.sums,
  };
}

/**
 * Returns the increase from `before` to `now`. A count is never negative: totals decrease when an
 * instance that contributed to them ends.
 */
export function countsSince(now: Sums, before: Sums): Map<number, RunCounts> {
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
