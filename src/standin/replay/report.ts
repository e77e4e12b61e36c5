import { sum } from "../../decision/index.ts";
import type { FleetControl } from "./fleet_control.ts";
import { computeLowerBound } from "./lower_bound.ts";
import type { GroupMeasurements, Measurements, LatencyMeasurement } from "./measurements.ts";
import { checkOutcomes } from "./outcome_checks.ts";
import type { PolicyName } from "./policy.ts";
import type { GroupReport, Report, TimesReport } from "./report_types.ts";
import type { Trace } from "./trace.ts";

/** Input of {@linkcode buildReport}. */
export interface ReportInput {
  readonly trace: Trace;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly measurements: Measurements;
  readonly fleet: FleetControl;
  readonly now: number;
}

/** Builds the report of a finished replay. */
export function buildReport(input: ReportInput): Report {
  const { trace, policy, seed, measurements, fleet } = input;
  const costs = fleet.costByService();
  const cost = sum(costs.values());
  const groups = [...measurements.groups].sort(([a], [b]) => (a < b ? -1 : 1));
  const answered = sum(groups.map(([, group]) => group.answered));
  const goodputTokens = sum(groups.map(([, group]) => group.goodputTokens));
  const lowerBound = computeLowerBound(trace);
  const results = {
    trace: trace.header.name,
    policy,
    seed,
    groups: Object.fromEntries(groups.map(([name, group]) => [name, buildGroupReport(group)])),
    recomputed: toSortedRecord(measurements.recomputed),
    recomputedTotal: sum(measurements.recomputed.values()),
    retried: toSortedRecord(measurements.retried),
    cost: roundToFourDecimals(cost),
    costByService: toSortedRecord(costs),
    costPer1000: roundToFourDecimals((cost * 1_000) / Math.max(1, answered)),
    lowerBound: {
      work: roundToFourDecimals(lowerBound.work),
      least: roundToFourDecimals(lowerBound.least),
      total: roundToFourDecimals(lowerBound.total),
    },
    costOverBound: roundToFourDecimals(cost / lowerBound.total),
    goodput: roundToFourDecimals((goodputTokens * 1_000) / trace.header.duration),
    fleet: fleet.counts,
  };
  const outcomes = checkOutcomes(trace.header.outcomes, results);
  return { ...results, outcomes, holds: outcomes.every((check) => check.holds) };
}

function buildGroupReport(group: GroupMeasurements): GroupReport {
  const { arrived, answered, lost, late } = group;
  return {
    arrived,
    answered,
    lost,
    late,
    refused: toSortedRecord(group.refused),
    firstToken: buildTimesReport(group.firstToken),
    betweenTokens: buildTimesReport(group.betweenTokens),
  };
}

function buildTimesReport(times: LatencyMeasurement): TimesReport {
  return {
    count: times.count(),
    p50: times.percentile(50),
    p95: times.percentile(95),
    p99: times.percentile(99),
    within: roundToFourDecimals(times.shareWithinTarget()),
  };
}

function toSortedRecord(counts: ReadonlyMap<string, number>): Record<string, number> {
  const sorted = [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(sorted.map(([key, value]) => [key, roundToFourDecimals(value)]));
}

/** Rounds to four decimal places, which keep every relevant difference and stay readable. */
function roundToFourDecimals(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
