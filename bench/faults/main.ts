/**
 * Command line of the fault simulation: `npm run faults -- --help`.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { runScenario } from "./run_scenario.ts";
import { generateScenario } from "./scenario.ts";
import type { Scenario } from "./scenario.ts";
import { shrinkScenario } from "./shrink.ts";

const HELP = `Runs workloads with faults on simulated entry instances in memory, and checks their guarantees.

  npm run faults -- [--seed N] [--count K] [--json]

The exit code is 1 if a guarantee is violated. Example: npm run faults -- --seed 1 --count 100`;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    count: { type: "string", default: "100" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});

/** A seed that violates a guarantee, as printed in the report. */
interface Failure {
  readonly seed: number;
  readonly broken: readonly string[];
  readonly repeat: string;
  readonly smallest: Scenario;
}

async function runSeed(seed: number): Promise<Failure | undefined> {
  const scenario = generateScenario(seed);
  const { violations } = await runScenario(scenario);
  if (violations.length === 0) return undefined;
  const smallest = await shrinkScenario(
    scenario,
    async (reduced) => (await runScenario(reduced)).violations.length > 0,
  );
  return {
    seed,
    broken: violations,
    repeat: `npm run faults -- --seed ${seed} --count 1`,
    smallest,
  };
}

if (values.help) {
  console.log(HELP);
} else {
  const first = Number(values.seed);
  const count = Number(values.count);
  const started = performance.now();
  const failures: Failure[] = [];
  // A long-lived signal that accumulates listeners retains everything that they reference: a memory leak.
  let warnings = 0;
  process.on("warning", ({ name }) => {
    if (name === "MaxListenersExceededWarning") warnings++;
  });
  for (let seed = first; seed < first + count; seed++) {
    const failure = await runSeed(seed);
    if (failure === undefined) continue;
    failures.push(failure);
    if (!values.json) console.log(failure.repeat, JSON.stringify(failure, undefined, 1));
  }
  const time = Math.round(performance.now() - started);
  // Node.js emits warnings asynchronously.
  await new Promise((resolve) => setImmediate(resolve));
  const report = { seed: first, count, failed: failures.length, warnings, time };
  console.log(JSON.stringify(values.json ? { ...report, failures } : report));
  if (failures.length > 0 || warnings > 0) process.exitCode = 1;
}
