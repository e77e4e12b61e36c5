import type { RunCounts } from "../decision/index.ts";

type Sums = ReadonlyMap<number, RunCounts>;

/** Sums as they stood at earlier moments. */
export interface CountHistory {
  /** Keeps the sums of a moment, in milliseconds that only grow; of moments that follow close on another, the first. */
  note(at: number, sums: Sums): void;
  /** The latest sums that were kept of a moment no later than this, or else the first; undefined where there are none. */
  at(moment: number): Sums | undefined;
}

/** Milliseconds between two moments that are kept, and how many are: an order of some minutes. */
const PERIOD = 500;
const GREATEST_KEPT = 512;

/** Makes a history of nothing. */
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

/** What was counted after earlier sums; sums may fall where those that counted have ended. */
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
