import type { OutcomeCheck, Report } from "./report_types.ts";
import type { ExpectedOutcomes } from "./trace.ts";

/** Compares what a replay found with what its trace states. */
export function checkOutcomes(
  stated: ExpectedOutcomes,
  results: Pick<Report, "groups" | "recomputedTotal" | "cost" | "goodput">,
): OutcomeCheck[] {
  const groups = Object.values(results.groups);
  const checks = [
    atMost("lost", stated.lost, sumOf(groups.map((group) => group.lost))),
    atMost("recomputed", stated.recomputed, results.recomputedTotal),
    atMost("cost", stated.cost, results.cost),
    atLeast("goodput", stated.goodput, results.goodput),
    ...Object.entries(stated.services).flatMap(([name, outcome]) => {
      const group = results.groups[name];
      const answered = (group?.answered ?? 0) / Math.max(1, group?.arrived ?? 0);
      return [
        atLeast(`${name} firstToken`, outcome.firstToken, group?.firstToken.within ?? 0),
        atLeast(`${name} betweenTokens`, outcome.betweenTokens, group?.betweenTokens.within ?? 0),
        atLeast(`${name} answered`, outcome.answered, answered),
        atMost(`${name} firstTokenP99`, outcome.firstTokenP99, group?.firstToken.p99 ?? Infinity),
      ];
    }),
  ];
  return checks.filter((check) => check !== undefined);
}

function atMost(name: string, stated: number | undefined, found: number): OutcomeCheck | undefined {
  if (stated === undefined) return undefined;
  return { name, bound: "at most", stated, found, holds: found <= stated };
}

function atLeast(
  name: string,
  stated: number | undefined,
  found: number,
): OutcomeCheck | undefined {
  if (stated === undefined) return undefined;
  return { name, bound: "at least", stated, found, holds: found >= stated };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
