import type { FleetCounts } from "./fleet_control.ts";
import type { LowerBound } from "./lower_bound.ts";
import type { PolicyName } from "./policy.ts";

/** One stated outcome against what was found. */
export interface OutcomeCheck {
  readonly name: string;
  readonly bound: "at most" | "at least";
  readonly stated: number;
  readonly found: number;
  readonly holds: boolean;
}

/** Quantiles in milliseconds, and the part within the target. */
export interface TimesReport {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly within: number;
}

/** What was measured of the requests of one service and lane. */
export interface GroupReport {
  readonly arrived: number;
  readonly answered: number;
  readonly lost: number;
  readonly late: number;
  /** Requests turned away, by reason. */
  readonly refused: Readonly<Record<string, number>>;
  readonly firstToken: TimesReport;
  readonly betweenTokens: TimesReport;
}

/** What a replay found. */
export interface Report {
  readonly trace: string;
  readonly policy: PolicyName;
  readonly seed: number;
  /** By `SERVICE/LANE`. */
  readonly groups: Readonly<Record<string, GroupReport>>;
  /** Tokens computed again, by cause. */
  readonly recomputed: Readonly<Record<string, number>>;
  readonly recomputedTotal: number;
  /** Runs after the first, by cause. */
  readonly retried: Readonly<Record<string, number>>;
  /** Euros. */
  readonly cost: number;
  readonly costByService: Readonly<Record<string, number>>;
  /** Euros for 1,000 whole answers. */
  readonly costPer1000: number;
  readonly lowerBound: LowerBound;
  /** Cost over the lower bound. */
  readonly costOverBound: number;
  /** Tokens a second of answers that were whole within the trace and began in time. */
  readonly goodput: number;
  readonly fleet: FleetCounts;
  /** The trace's stated outcomes. */
  readonly outcomes: readonly OutcomeCheck[];
  readonly holds: boolean;
}
