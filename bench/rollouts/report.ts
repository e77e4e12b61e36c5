import { RolloutState } from "../../src/interface/index.ts";
import { EXPOSURE_BOUND, ROLLBACK_TIME_LIMIT } from "./simulate_order.ts";
import type { RolloutResult } from "./simulate_order.ts";
import { VersionBehavior } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";

/** Results of one way to decide, over all orders. */
export interface Summary {
  readonly way: string;
  /** Number of orders of good versions. */
  readonly good: number;
  /** Good versions that were rolled back by mistake. */
  readonly goodRolledBack: number;
  /** Good versions that were not rolled back but not completed by the deadline. */
  readonly goodLate: number;
  /** Number of orders of bad versions. */
  readonly bad: number;
  /** Bad versions that were completed. */
  readonly badCompleted: number;
  /** Completed bad versions with too few bad answers to detect them. */
  readonly badUnseen: number;
  /** Bad versions whose order was still running at the end. */
  readonly badOpen: number;
  /** Orders of bad versions that exceeded the exposure bound. */
  readonly overBound: number;
  /** Greatest share of the exposure bound that a bad version received. */
  readonly greatestPart: number;
  /** Orders in which a request was sent too late after the fiftieth bad answer. */
  readonly lateRollbacks: number;
  /** Latest request after the fiftieth bad answer, in milliseconds. */
  readonly latestAfterFiftieth: number;
  /** Seeds of the problematic orders, by the name of the problem. */
  readonly seeds: Readonly<Record<string, readonly number[]>>;
}

/** Returns the share of the exposure bound that a version received; above 1 the bound is exceeded. */
export function exposureRatio({ newVersionRequests, totalRequests }: RolloutResult): number {
  return newVersionRequests / (totalRequests * EXPOSURE_BOUND.share + EXPOSURE_BOUND.slack);
}

/** Minimum number of bad answers by which a bad version can be distinguished from a good one. */
const MIN_DETECTABLE_FAILURES = 5;

/** Summarizes the results of all orders. */
export function summarize(
  way: string,
  results: readonly { readonly scenario: Scenario; readonly outcome: RolloutResult }[],
): Summary {
  const isGood = ({ scenario }: (typeof results)[number]): boolean =>
    scenario.behavior === VersionBehavior.Good;
  const good = results.filter(isGood);
  const bad = results.filter((result) => !isGood(result));
  const seedsOf = (selected: typeof results): number[] =>
    selected.map(({ scenario: { seed } }) => seed);
  const rolledBack = good.filter(({ outcome }) => outcome.state === RolloutState.RolledBack);
  const late = good.filter(
    ({ scenario, outcome: { state, endedAt } }) =>
      state !== RolloutState.RolledBack &&
      (state !== RolloutState.Completed || (endedAt ?? Infinity) > scenario.duration),
  );
  const completed = bad.filter(({ outcome }) => outcome.state === RolloutState.Completed);
  const open = bad.filter(
    ({ outcome: { state } }) => state === undefined || state === RolloutState.Running,
  );
  const over = bad.filter(({ outcome }) => exposureRatio(outcome) > 1);
  const lateAfter = bad.filter(
    ({ outcome: { lastRequestAfterFiftieth } }) =>
      (lastRequestAfterFiftieth ?? 0) > ROLLBACK_TIME_LIMIT,
  );
  return {
    way,
    good: good.length,
    goodRolledBack: rolledBack.length,
    goodLate: late.length,
    bad: bad.length,
    badCompleted: completed.length,
    badUnseen: completed.filter(({ outcome }) => outcome.badAnswers < MIN_DETECTABLE_FAILURES)
      .length,
    badOpen: open.length,
    overBound: over.length,
    greatestPart: Math.max(0, ...bad.map(({ outcome }) => exposureRatio(outcome))),
    lateRollbacks: lateAfter.length,
    latestAfterFiftieth: Math.max(
      0,
      ...bad.map(({ outcome }) => outcome.lastRequestAfterFiftieth ?? 0),
    ),
    seeds: {
      goodRolledBack: seedsOf(rolledBack),
      goodLate: seedsOf(late),
      badCompleted: seedsOf(completed),
      overBound: seedsOf(over),
      lateRollbacks: seedsOf(lateAfter),
    },
  };
}

/** Returns whether a bound was exceeded. */
export function isBoundExceeded({ overBound, lateRollbacks }: Summary): boolean {
  return overBound > 0 || lateRollbacks > 0;
}

/** Number of bars up to the bound; one more bar is above it. */
const BARS = 10;
/** Length of the longest bar, in characters. */
const MAX_BAR_LENGTH = 50;

/** Plots a histogram of the exposure: one bar per tenth of the bound, with the number of orders. */
export function exposurePlot(outcomes: readonly RolloutResult[]): string {
  const counts = Array.from({ length: BARS + 1 }, () => 0);
  for (const outcome of outcomes) {
    const bar = Math.min(BARS, Math.floor(exposureRatio(outcome) * BARS));
    counts[bar] = (counts[bar] ?? 0) + 1;
  }
  const maxCount = Math.max(1, ...counts);
  return counts
    .map((count, bar) => {
      const label = bar === BARS ? "over" : `${bar * BARS}%`;
      return `${label.padStart(5)} ${"#".repeat(Math.ceil((count / maxCount) * MAX_BAR_LENGTH))} ${count}`;
    })
    .join("\n");
}
