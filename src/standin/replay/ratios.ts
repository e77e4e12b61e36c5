import { PolicyName } from "./policy.ts";
import type { Report } from "./report_shape.ts";

/** How the policy in use compares with the others on one trace; a part is absent where nothing compares. */
export interface Ratios {
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
const ALONE = "_lookups";

/** Works out the ratios of every trace that was played under the policy in use. */
export function ratiosOf(reports: readonly Report[]): Ratios[] {
  const current = reports.filter(({ policy }) => policy === PolicyName.Current);
  return current.map((report) => {
    const same = reports.filter(
      ({ trace, seed }) => trace === report.trace && seed === report.seed,
    );
    const by = (name: PolicyName): Report | undefined => same.find(({ policy }) => policy === name);
    const alone = current.find(({ trace }) => trace === `${report.trace}${ALONE}`);
    const onDemand = by(PolicyName.OnDemandOnly);
    const restart = by(PolicyName.RestartOnReclaim);
    return {
      trace: report.trace,
      ...(onDemand === undefined ? {} : { costOverOnDemand: ratio(report.cost, onDemand.cost) }),
      costOverBound: report.costOverBound,
      ...(restart === undefined || restart.recomputedTotal === 0
        ? {}
        : { recomputedOverRestart: ratio(report.recomputedTotal, restart.recomputedTotal) }),
      goodputOverBest: ratio(report.goodput, Math.max(...same.map(({ goodput }) => goodput))),
      lookupsOverAlone: alone === undefined ? {} : lookupRatios(report, alone),
    };
  });
}

function lookupRatios(report: Report, alone: Report): Record<string, number> {
  return Object.fromEntries(
    Object.entries(alone.groups).map(([name, group]) => {
      const among = report.groups[name]?.firstToken.p99 ?? 0;
      return [name, ratio(among, group.firstToken.p99)];
    }),
  );
}

function ratio(a: number, b: number): number {
  return b === 0 ? 0 : Math.round((a / b) * 1_000) / 1_000;
}
