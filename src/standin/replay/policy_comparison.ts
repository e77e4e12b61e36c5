import { PolicyName } from "./policy.ts";
import type { Report } from "./report_types.ts";

/**
 * Ratios of the current policy to the others on one trace. A ratio is absent if there is nothing to
 * compare with.
 */
export interface PolicyComparison {
  readonly trace: string;
  /** Cost divided by that of the on-demand-only policy. */
  readonly costOverOnDemand?: number;
  /** Cost divided by the lower bound. */
  readonly costOverBound: number;
  /** Recomputed tokens divided by those of the restart-on-reclaim policy. */
  readonly recomputedOverRestart?: number;
  /** Goodput divided by the highest of all policies. */
  readonly goodputOverBest: number;
  /**
   * 99th percentile of the lookups' time to first token divided by that of the same lookups without
   * other requests, by group.
   */
  readonly lookupsOverAlone: Readonly<Record<string, number>>;
}

/** Suffix of the name of a trace that contains only the lookups of another one. */
const LOOKUPS_ONLY_SUFFIX = "_lookups";

/** Computes the ratios of each trace that was replayed with the current policy. */
export function comparePolicies(reports: readonly Report[]): PolicyComparison[] {
  const currentReports = reports.filter(({ policy }) => policy === PolicyName.Current);
  return currentReports.map((report) => {
    const comparable = reports.filter(
      ({ trace, seed }) => trace === report.trace && seed === report.seed,
    );
    const reportOf = (name: PolicyName): Report | undefined =>
      comparable.find(({ policy }) => policy === name);
    const lookupsOnly = currentReports.find(
      ({ trace }) => trace === `${report.trace}${LOOKUPS_ONLY_SUFFIX}`,
    );
    const onDemand = reportOf(PolicyName.OnDemandOnly);
    const restart = reportOf(PolicyName.RestartOnReclaim);
    return {
      trace: report.trace,
      ...(onDemand === undefined
        ? {}
        : { costOverOnDemand: roundedRatio(report.cost, onDemand.cost) }),
      costOverBound: report.costOverBound,
      ...(restart === undefined || restart.recomputedTotal === 0
        ? {}
        : { recomputedOverRestart: roundedRatio(report.recomputedTotal, restart.recomputedTotal) }),
      goodputOverBest: roundedRatio(
        report.goodput,
        Math.max(...comparable.map(({ goodput }) => goodput)),
      ),
      lookupsOverAlone: lookupsOnly === undefined ? {} : compareLookups(report, lookupsOnly),
    };
  });
}

function compareLookups(report: Report, lookupsOnly: Report): Record<string, number> {
  return Object.fromEntries(
    Object.entries(lookupsOnly.groups).map(([name, group]) => {
      const withScripts = report.groups[name]?.firstToken.p99 ?? 0;
      return [name, roundedRatio(withScripts, group.firstToken.p99)];
    }),
  );
}

function roundedRatio(a: number, b: number): number {
  return b === 0 ? 0 : Math.round((a / b) * 1_000) / 1_000;
}
