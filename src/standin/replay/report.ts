import { sum } from "../../decision/index.ts";
import type { FleetControl } from "./fleet_control.ts";
import { lowerBoundOf } from "./lower_bound.ts";
import type { GroupMeasurements, Measurements, Times } from "./measurements.ts";
import { checkOutcomes } from "./outcomes.ts";
import type { PolicyName } from "./policy.ts";
import type { GroupReport, Report, TimesReport } from "./report_shape.ts";
import type { Trace } from "./trace.ts";

/** What a report is built from. */
export interface ReportSource {
  readonly trace: Trace;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly measurements: Measurements;
  readonly fleet: FleetControl;
  readonly now: number;
}

/** Builds the report of a replay that has ended. */
export function buildReport(source: ReportSource): Report {
  const { trace, policy, seed, measurements, fleet } = source;
  const costs = fleet.costs();
  const cost = sum(costs.values());
  const groups = [...measurements.groups].sort(([a], [b]) => (a < b ? -1 : 1));
  const answered = sum(groups.map(([, group]) => group.answered));
  const timely = sum(groups.map(([, group]) => group.timelyTokens));
  const bound = lowerBoundOf(trace);
  const found = {
    trace: trace.header.name,
    policy,
    seed,
    groups: Object.fromEntries(groups.map(([name, group]) => [name, groupReport(group)])),
    recomputed: record(measurements.recomputed),
    recomputedTotal: sum(measurements.recomputed.values()),
    retried: record(measurements.retried),
    cost: rounded(cost),
    costByService: record(costs),
    costPer1000: rounded((cost * 1_000) / Math.max(1, answered)),
    lowerBound: {
      work: rounded(bound.work),
      least: rounded(bound.least),
      total: rounded(bound.total),
    },
    costOverBound: rounded(cost / bound.total),
    goodput: rounded((timely * 1_000) / trace.header.duration),
    fleet: fleet.counts,
  };
  const outcomes = checkOutcomes(trace.header.outcomes, found);
  return { ...found, outcomes, holds: outcomes.every((check) => check.holds) };
}

function groupReport(group: GroupMeasurements): GroupReport {
  const { arrived, answered, lost, late } = group;
  return {
    arrived,
    answered,
    lost,
    late,
    refused: record(group.refused),
    firstToken: timesReport(group.firstToken),
    betweenTokens: timesReport(group.betweenTokens),
  };
}

function timesReport(times: Times): TimesReport {
  return {
    count: times.count(),
    p50: times.percentile(50),
    p95: times.percentile(95),
    p99: times.percentile(99),
    within: rounded(times.within()),
  };
}

function record(counts: ReadonlyMap<string, number>): Record<string, number> {
  const sorted = [...counts].sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(sorted.map(([key, value]) => [key, rounded(value)]));
}

/** Four digits behind the point are enough to read, and hide no difference that matters. */
function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
