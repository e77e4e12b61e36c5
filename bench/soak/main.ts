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

const HELP = `Plays the built entry instance as processes under faults from outside, and checks the promises.

  npm run soak -- [--seed N] [--count N] [--seconds S] [--processes N] [--regressions] [--shrink] [--json]

Run "node build.mjs platform" first. Exit code 1 where a promise was broken; the instances' logs then stand in
dist/soak/SEED. With --regressions every seed is played that ever failed. With --shrink a failing plan is played again with fewer and fewer faults, as long as it fails.`;

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

/** Sentences that are printed of one broken promise. */
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
    const verdict = broken.length === 0 ? "holds" : `BROKEN ${broken.length} times`;
    console.log(`  ${promise}: ${verdict}, ${chances} chances`);
    for (const sentence of broken.slice(0, MOST_SENTENCES)) console.log(`    ${sentence}`);
  }
}

async function shrink(plan: SoakPlan): Promise<SoakPlan> {
  const faults = await minimize(plan.faults, async (left) =>
    isBroken(await playOne({ ...plan, faults: left })),
  );
  return { ...plan, faults };
}

/** What is to be played. */
function runs(): readonly Pick<RegressionSeed, "seed" | "seconds" | "processes">[] {
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
  const all = runs();
  for (const { seed, seconds, processes } of all) {
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
    console.log(`again: npm run soak -- --seed ${seed} ${size}`);
    if (values.shrink) console.log(JSON.stringify(await shrink(plan)));
  }
  console.log(`\n${all.length} seeds, ${failed.length} with a broken promise ${failed.join(" ")}`);
  for (const [promise, chances] of totals) console.log(`  ${promise}: ${chances} chances`);
  if (failed.length > 0) process.exitCode = 1;
}
