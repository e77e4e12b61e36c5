import { PolicyName } from "./policy.ts";
import type { Report } from "./report_types.ts";

/** How the policy in use compares with the others on one trace; a part is absent where nothing compares. */
export interface PolicyComparison {
  readonly trace: string;
  /** Cost over that of buying on demand alone. */
  readonly costOverOnDemand?: number;
  readonly costOverBound: number;
  /** Recomputed tokens over those of beginning again. */
  readonly recomputedOverRestart?: number;
  /** Goodput over the best of all policies. */
  readonly goodputOverBest: number;
  /** Lookups' 99th percentile to the first token over that of the same lookups alone, by group. */
  readonly lookupsOverAlone: Readonly<Record<string, number>>;
}

/** A trace of the lookups of another one alone is named after it, with this ending. */
const LOOKUPS_ONLY_SUFFIX = "_lookups";

/** Works out the ratios of every trace that was played under the policy in use. */
export function comparePolicies(reports: readonly Report[]): PolicyComparison[] {
  const current = reports.filter(({ policy }) => policy === PolicyName.Current);
  return current.map((report) => {
    const comparable = reports.filter(
      ({ trace, seed }) => trace === report.trace && seed === report.seed,
    );
    const reportOf = (name: PolicyName): Report | undefined =>
      comparable.find(({ policy }) => policy === name);
    const lookupsOnly = current.find(
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
