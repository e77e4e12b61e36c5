import { RolloutState } from "../../src/interface/index.ts";
import { BOUNDS, ROLLBACK_WITHIN } from "./play.ts";
import type { Outcome } from "./play.ts";
import { Sort } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";

/** What a way to decide did with all orders. */
export interface Summary {
  readonly way: string;
  readonly good: number;
  readonly goodRolledBack: number;
  readonly goodLate: number;
  readonly bad: number;
  readonly badCompleted: number;
  /** Those of them that had given fewer bad answers until then than anybody could tell by. */
  readonly badUnseen: number;
  readonly badOpen: number;
  /** Orders over the bound, and the most that any came to of it. */
  readonly overBound: number;
  readonly greatestPart: number;
  /** Orders in which a request was sent too late after the fiftieth bad answer, and the latest, in milliseconds. */
  readonly lateRollbacks: number;
  readonly latestAfterFiftieth: number;
  /** Seeds of what went wrong. */
  readonly seeds: Readonly<Record<string, readonly number[]>>;
}

/** The part of the bound that a bad version was given. */
export function exposedPart({ tried, all }: Outcome): number {
  return tried / (all * BOUNDS.share + BOUNDS.slack);
}

/** Bad answers by which a version can be told from a good one at best. */
const LEAST_TOLD = 5;

/** Sums up what became of the orders. */
export function summarize(
  way: string,
  plays: readonly { readonly scenario: Scenario; readonly outcome: Outcome }[],
): Summary {
  const isGood = ({ scenario }: (typeof plays)[number]): boolean => scenario.sort === Sort.Good;
  const good = plays.filter(isGood);
  const bad = plays.filter((play) => !isGood(play));
  const seedsOf = (found: typeof plays): number[] => found.map(({ scenario: { seed } }) => seed);
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
  const over = bad.filter(({ outcome }) => exposedPart(outcome) > 1);
  const lateAfter = bad.filter(
    ({ outcome: { lastAfterFiftieth } }) => (lastAfterFiftieth ?? 0) > ROLLBACK_WITHIN,
  );
  return {
    way,
    good: good.length,
    goodRolledBack: rolledBack.length,
    goodLate: late.length,
    bad: bad.length,
    badCompleted: completed.length,
    badUnseen: completed.filter(({ outcome }) => outcome.badAnswers < LEAST_TOLD).length,
    badOpen: open.length,
    overBound: over.length,
    greatestPart: Math.max(0, ...bad.map(({ outcome }) => exposedPart(outcome))),
    lateRollbacks: lateAfter.length,
    latestAfterFiftieth: Math.max(0, ...bad.map(({ outcome }) => outcome.lastAfterFiftieth ?? 0)),
    seeds: {
      goodRolledBack: seedsOf(rolledBack),
      goodLate: seedsOf(late),
      badCompleted: seedsOf(completed),
      overBound: seedsOf(over),
      lateRollbacks: seedsOf(lateAfter),
    },
  };
}

/** Whether a bound was passed. */
export function isBroken({ overBound, lateRollbacks }: Summary): boolean {
  return overBound > 0 || lateRollbacks > 0;
}

const BARS = 10;
const GREATEST_BAR = 50;

/** A bar a tenth of the bound, as long as the orders of bad versions that were given so much of it. */
export function exposurePlot(outcomes: readonly Outcome[]): string {
  const counts = Array.from({ length: BARS + 1 }, () => 0);
  for (const outcome of outcomes) {
    const bar = Math.min(BARS, Math.floor(exposedPart(outcome) * BARS));
    counts[bar] = (counts[bar] ?? 0) + 1;
  }
  const most = Math.max(1, ...counts);
  return counts
    .map((count, bar) => {
      const label = bar === BARS ? "over" : `${bar * BARS}%`;
      return `${label.padStart(5)} ${"#".repeat(Math.ceil((count / most) * GREATEST_BAR))} ${count}`;
    })
    .join("\n");
}
