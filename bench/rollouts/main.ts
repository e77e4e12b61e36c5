/**
 * Compares ways to decide on the rollout of a new version: `npm run rollouts -- [--seed N] [--runs N] [--way NAME]...
 * [--json]`.
 *
 * Each way runs the same simulated rollouts. The report states how many good versions were rolled back, how many bad
 * versions were completed and how many requests bad versions received. The exit code is 1 if the way that the product
 * uses exceeds a bound.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { JUDGES } from "./judges.ts";
import type { Ramp } from "./judges.ts";
import { simulateOrder } from "./simulate_order.ts";
import type { RolloutResult } from "./simulate_order.ts";
import { exposurePlot, isBoundExceeded, summarize } from "./report.ts";
import type { Summary } from "./report.ts";
import { generateScenario, VersionBehavior } from "./scenario.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "200" },
    way: { type: "string", multiple: true, default: [] },
    json: { type: "boolean", default: false },
  },
});

const RAMPS: readonly Ramp[] = ["few", "even"];
/** Name of the way that the product uses. */
const PRODUCT_METHOD = "ratio, few";
const ways = Object.entries(JUDGES).flatMap(([name, judge]) =>
  RAMPS.map((ramp) => ({ name: `${name}, ${ramp}`, judge, ramp })),
);
const selected =
  values.way.length === 0 ? ways : ways.filter(({ name }) => values.way.includes(name));
const first = Number(values.seed);
const scenarios = Array.from({ length: Number(values.runs) }, (_, run) =>
  generateScenario(first + run),
);

const summaries: Summary[] = [];
const plots = new Map<string, string>();
for (const { name, judge, ramp } of selected) {
  const results: { scenario: (typeof scenarios)[number]; outcome: RolloutResult }[] = [];
  for (const scenario of scenarios) {
    results.push({ scenario, outcome: await simulateOrder(scenario, { judge, ramp }) });
  }
  summaries.push(summarize(name, results));
  const bad = results.filter(({ scenario }) => scenario.behavior !== VersionBehavior.Good);
  plots.set(name, exposurePlot(bad.map(({ outcome }) => outcome)));
}

if (values.json) console.log(JSON.stringify(summaries, undefined, 2));
else {
  console.table(
    summaries.map(({ seeds, ...row }) => ({
      ...row,
      seeds: Object.values(seeds).flat().length,
      greatestPart: row.greatestPart.toFixed(2),
      latestAfterFiftieth: Math.round(row.latestAfterFiftieth),
    })),
  );
  for (const { way, seeds } of summaries) {
    console.log(
      `\n${way}: share of the exposure bound that bad versions received\n${plots.get(way)}`,
    );
    for (const [problem, failedSeeds] of Object.entries(seeds)) {
      if (failedSeeds.length > 0) console.log(`${problem}: ${failedSeeds.join(" ")}`);
    }
  }
}
process.exitCode = summaries.some((one) => one.way === PRODUCT_METHOD && isBoundExceeded(one))
  ? 1
  : 0;
