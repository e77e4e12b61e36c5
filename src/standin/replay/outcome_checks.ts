import type { OutcomeCheck, Report } from "./report_types.ts";
import type { ExpectedOutcomes } from "./trace.ts";

/** Compares the results of a replay with the outcomes that its trace requires. */
export function checkOutcomes(
  required: ExpectedOutcomes,
  results: Pick<Report, "groups" | "recomputedTotal" | "cost" | "goodput">,
): OutcomeCheck[] {
  const groups = Object.values(results.groups);
  const checks = [
    checkMax("lost", required.lost, sumOf(groups.map((group) => group.lost))),
    checkMax("recomputed", required.recomputed, results.recomputedTotal),
    checkMax("cost", required.cost, results.cost),
    checkMin("goodput", required.goodput, results.goodput),
    ...Object.entries(required.services).flatMap(([name, outcome]) => {
      const group = results.groups[name];
      const answered = (group?.answered ?? 0) / Math.max(1, group?.arrived ?? 0);
      return [
        checkMin(`${name} firstToken`, outcome.firstToken, group?.firstToken.within ?? 0),
        checkMin(`${name} betweenTokens`, outcome.betweenTokens, group?.betweenTokens.within ?? 0),
        checkMin(`${name} answered`, outcome.answered, answered),
        checkMax(`${name} firstTokenP99`, outcome.firstTokenP99, group?.firstToken.p99 ?? Infinity),
      ];
    }),
  ];
  return checks.filter((check) => check !== undefined);
}

function checkMax(
  name: string,
  required: number | undefined,
  found: number,
): OutcomeCheck | undefined {
  if (required === undefined) return undefined;
  return { name, bound: "at most", stated: required, found, holds: found <= required };
}

function checkMin(
  name: string,
  required: number | undefined,
  found: number,
): OutcomeCheck | undefined {
  if (required === undefined) return undefined;
  return { name, bound: "at least", stated: required, found, holds: found >= required };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
