/**
 * Command line of the soak test: `npm run soak -- --help`.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { parseArgs } from "node:util";
import { minimize } from "../faults/shrink.ts";
import { drawPlan } from "./plan.ts";
import type { SoakPlan } from "./plan.ts";
import { playSoak } from "./play.ts";
import { checkPromises } from "./promises.ts";
import type { Finding } from "./promises.ts";
import { REGRESSION_SEEDS } from "./seeds.ts";
import type { RegressionSeed } from "./seeds.ts";

const HELP = `Runs processes of the built entry instance under load and injected faults, and checks their guarantees.

  npm run soak -- [--seed N] [--count N] [--seconds S] [--processes N] [--regressions] [--shrink] [--json]

Run "node build.mjs platform" first. The exit code is 1 if a guarantee is violated; the instances' logs are then in
dist/soak/SEED. --regressions runs every seed that ever failed. --shrink repeats a failing plan with fewer and fewer
faults while it still fails.`;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    count: { type: "string", default: "1" },
    seconds: { type: "string", default: "30" },
    processes: { type: "string", default: "10" },
    regressions: { type: "boolean", default: false },
    shrink: { type: "boolean", default: false },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});

/** Maximum number of violations that are printed for one guarantee. */
const MOST_SENTENCES = 5;
const SECOND = 1_000;

async function playOne(plan: SoakPlan): Promise<Finding[]> {
  const { seen, logs } = await playSoak(plan);
  const findings = checkPromises(seen);
  if (!isBroken(findings)) return findings;
  const folder = path.join("dist", "soak", String(plan.seed));
  mkdirSync(folder, { recursive: true });
  for (const [name, lines] of logs) {
    writeFileSync(path.join(folder, `${name}.log`), `${lines.join("\n")}\n`);
  }
  writeFileSync(path.join(folder, "seen.json"), JSON.stringify(seen, undefined, 1));
  return findings;
}

function isBroken(findings: readonly Finding[]): boolean {
  return findings.some(({ broken }) => broken.length > 0);
}

function print(plan: SoakPlan, findings: readonly Finding[]): void {
  console.log(`\nseed ${plan.seed}: ${plan.instances} instances, ${plan.workers} workers`);
  for (const { kind, at, lasts, place } of plan.faults) {
    const from = (at / SECOND).toFixed(1);
    console.log(`  ${from} s  ${kind} ${place} for ${(lasts / SECOND).toFixed(1)} s`);
  }
  for (const { promise, chances, broken } of findings) {
    const verdict = broken.length === 0 ? "holds" : `VIOLATED ${broken.length} times`;
    console.log(`  ${promise}: ${verdict}, ${chances} checks`);
    for (const violation of broken.slice(0, MOST_SENTENCES)) console.log(`    ${violation}`);
  }
}

async function shrink(plan: SoakPlan): Promise<SoakPlan> {
  const faults = await minimize(plan.faults, async (remaining) =>
    isBroken(await playOne({ ...plan, faults: remaining })),
  );
  return { ...plan, faults };
}

/** Returns the seeds to run, with their sizes. */
function selectRuns(): readonly Pick<RegressionSeed, "seed" | "seconds" | "processes">[] {
  if (values.regressions) return REGRESSION_SEEDS;
  const first = Number(values.seed);
  return Array.from({ length: Number(values.count) }, (_, index) => ({
    seed: first + index,
    seconds: Number(values.seconds),
    processes: Number(values.processes),
  }));
}

if (values.help) {
  console.log(HELP);
} else {
  const failed: number[] = [];
  const totals = new Map<string, number>();
  const selected = selectRuns();
  for (const { seed, seconds, processes } of selected) {
    const plan = drawPlan(seed, { length: seconds * SECOND, processes });
    const findings = await playOne(plan);
    for (const { promise, chances } of findings) {
      totals.set(promise, (totals.get(promise) ?? 0) + chances);
    }
    if (values.json) console.log(JSON.stringify({ plan, findings }));
    else print(plan, findings);
    if (!isBroken(findings)) continue;
    failed.push(seed);
    const size = `--seconds ${seconds} --processes ${processes}`;
    console.log(`repeat with: npm run soak -- --seed ${seed} ${size}`);
    if (values.shrink) console.log(JSON.stringify(await shrink(plan)));
  }
  console.log(
    `\n${selected.length} seeds, ${failed.length} with a violated guarantee ${failed.join(" ")}`,
  );
  for (const [promise, chances] of totals) console.log(`  ${promise}: ${chances} checks`);
  if (failed.length > 0) process.exitCode = 1;
}
