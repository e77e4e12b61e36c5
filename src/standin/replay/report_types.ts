import type { FleetCounts } from "./fleet_control.ts";
import type { LowerBound } from "./lower_bound.ts";
import type { PolicyName } from "./policy.ts";

/** A required outcome compared with the result. */
export interface OutcomeCheck {
  readonly name: string;
  readonly bound: "at most" | "at least";
  /** The bound that the trace sets. */
  readonly stated: number;
  /** The value that was measured. */
  readonly found: number;
  readonly holds: boolean;
}

/** Percentiles in milliseconds, and the share within the target. */
export interface TimesReport {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly within: number;
}

/** Results of one service and lane. */
export interface GroupReport {
  /** Requests that arrived. */
  readonly arrived: number;
  /** Requests answered completely before the deadline. */
  readonly answered: number;
  /** Accepted requests that ended without a complete answer. */
  readonly lost: number;
  /** Lost requests whose deadline passed. */
  readonly late: number;
  /** Refused requests, by reason. */
  readonly refused: Readonly<Record<string, number>>;
  readonly firstToken: TimesReport;
  readonly betweenTokens: TimesReport;
}

/** Results of a replay. It is written as JSON. */
export interface Report {
  readonly trace: string;
  readonly policy: PolicyName;
  readonly seed: number;
  /** Results of each group, by `SERVICE/LANE`. */
  readonly groups: Readonly<Record<string, GroupReport>>;
  /** Tokens computed again, by cause. */
  readonly recomputed: Readonly<Record<string, number>>;
  readonly recomputedTotal: number;
  /** Runs after the first, by cause. */
  readonly retried: Readonly<Record<string, number>>;
  /** Cost in euros. */
  readonly cost: number;
  /** Cost in euros, by service. */
  readonly costByService: Readonly<Record<string, number>>;
  /** Cost in euros of 1,000 complete answers. */
  readonly costPer1000: number;
  readonly lowerBound: LowerBound;
  /** Cost divided by the lower bound. */
  readonly costOverBound: number;
  /**
   * Tokens per second of answers that were complete within the trace and whose first token was
   * within the target.
   */
  readonly goodput: number;
  readonly fleet: FleetCounts;
  /** The outcomes that the trace requires. */
  readonly outcomes: readonly OutcomeCheck[];
  readonly holds: boolean;
}
