import { comparePolicies } from "./policy_comparison.ts";
import type { PolicyComparison } from "./policy_comparison.ts";
import type { GroupReport, Report, TimesReport } from "./report_types.ts";

/** Formats a report as text, with the results of each group and of the whole replay. */
export function formatReport(report: Report): string {
  const lines = [
    `${report.trace}, policy ${report.policy}, seed ${report.seed}`,
    ...Object.entries(report.groups).flatMap(([name, group]) => formatGroup(name, group)),
    `  recomputed ${report.recomputedTotal} tokens${formatCounts(report.recomputed)}`,
    `  retried${formatCounts(report.retried)}`,
    `  cost ${report.cost} EUR, ${report.costPer1000} EUR for 1,000 answers, ` +
      `${report.costOverBound} of the lower bound ${report.lowerBound.total} EUR`,
    `  goodput ${report.goodput} tokens/s`,
    `  workers: at most ${report.fleet.peak}, launched ${report.fleet.launched}, ` +
      `refused ${report.fleet.refused}, reclaimed ${report.fleet.reclaimed}, ` +
      `retired ${report.fleet.retired}`,
    ...report.outcomes.map(
      ({ name, bound, stated, found, holds }) =>
        `  ${holds ? "holds" : "FAILS"}: ${name} ${bound} ${stated}, found ${found}`,
    ),
  ];
  return lines.join("\n");
}

function formatGroup(name: string, group: GroupReport): string[] {
  const { arrived, answered, lost, late, refused } = group;
  return [
    `  ${name}: arrived ${arrived}, answered ${answered}, lost ${lost} (late ${late})` +
      `, refused${formatCounts(refused)}`,
    `    first token ${formatTimes(group.firstToken)}`,
    `    between tokens ${formatTimes(group.betweenTokens)}`,
  ];
}

function formatTimes({ p50, p95, p99, within }: TimesReport): string {
  return `p50 ${p50} p95 ${p95} p99 ${p99} ms, ${within} within target`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const parts = Object.entries(counts).map(([key, value]) => `${key} ${value}`);
  return parts.length === 0 ? " none" : `: ${parts.join(", ")}`;
}

/**
 * Formats reports as a table with one line per trace and policy, followed by the ratios of the
 * policies.
 */
export function formatComparison(reports: readonly Report[]): string {
  const header = [
    "trace",
    "policy",
    "holds",
    "cost",
    "of bound",
    "recomputed",
    "lost",
    "refused",
    "goodput",
    "first token within, p99 by group",
  ];
  const rows = reports.map((report) => {
    const groups = Object.entries(report.groups);
    const sumOverGroups = (pick: (group: GroupReport) => number): number =>
      groups.reduce((sum, [, group]) => sum + pick(group), 0);
    return [
      report.trace,
      report.policy,
      report.holds ? "yes" : "no",
      String(report.cost),
      String(report.costOverBound),
      String(report.recomputedTotal),
      String(sumOverGroups((group) => group.lost)),
      String(sumOverGroups((group) => sumValues(group.refused))),
      String(Math.round(report.goodput)),
      groups
        .map(([name, { firstToken }]) => `${name} ${firstToken.within} ${firstToken.p99}`)
        .join("; "),
    ];
  });
  return [
    formatColumns([header, ...rows]),
    ...comparePolicies(reports).map(formatPolicyComparison),
  ].join("\n");
}

function formatPolicyComparison(ratios: PolicyComparison): string {
  const { trace, costOverOnDemand, costOverBound, recomputedOverRestart, goodputOverBest } = ratios;
  const parts = [
    `cost ${costOverBound} of the lower bound`,
    ...(costOverOnDemand === undefined ? [] : [`${costOverOnDemand} of on-demand-only`]),
    ...(recomputedOverRestart === undefined
      ? []
      : [`recomputed ${recomputedOverRestart} of restart-on-reclaim`]),
    `goodput ${goodputOverBest} of the best`,
    ...Object.entries(ratios.lookupsOverAlone).map(
      ([name, value]) => `p99 of ${name} ${value} of alone`,
    ),
  ];
  return `${trace}, current: ${parts.join(", ")}`;
}

function sumValues(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((a, b) => a + b, 0);
}

function formatColumns(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? "").length)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
