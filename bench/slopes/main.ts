/**
 * How costs grow with size: `npm run slopes -- [--json]`.
 *
 * Control is measured on real entry instances over loopback, without load, all in this process. Figures
 * depend on the machine and on what else it does.
 *
 * @module
 */
import { parseArgs } from "node:util";
import { resolveAddresses } from "../../src/decision/index.ts";
import { createSeededRandom } from "../../src/interface/index.ts";
import { measureControl } from "./control_cost.ts";
import type { ControlCost } from "./control_cost.ts";
import { fitLine } from "./fit.ts";
import type { Fit, Point } from "./fit.ts";

const MEMBERS = [3, 6, 9, 20];
const RESOLVE_MEMBERS = [3, 9, 20, 63, 380];
const RESOLVES = 2_000;

interface Slope {
  readonly name: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

function slopeOf(name: string, points: readonly Point[]): Slope {
  return { name, points, fit: fitLine(points) };
}

function resolveTime(members: number): number {
  const alive = Array.from({ length: members }, (_, index) => ({
    id: `e${index}#1`,
    address: `127.0.0.1:${7_000 + index}`,
    callerAddress: `127.0.0.1:${8_000 + index}`,
    zone: `z${index % 3}`,
  }));
  const random = createSeededRandom(1);
  const view = { alive, owner: undefined, load: new Map<string, number>(), account: "club" };
  const began = performance.now();
  for (let count = 0; count < RESOLVES; count++) resolveAddresses(view, random);
  return ((performance.now() - began) * 1_000) / RESOLVES;
}

const { values } = parseArgs({ options: { json: { type: "boolean", default: false } } });
const costs: ControlCost[] = [];
for (const members of MEMBERS) costs.push(await measureControl(members));
const pointsOf = (key: "bytes" | "core" | "heap"): Point[] =>
  costs.map((cost) => ({ size: cost.instances, value: cost[key] }));
const slopes = [
  slopeOf("control: bytes a second of one instance, by members", pointsOf("bytes")),
  slopeOf("control: share of a core of one instance, by members", pointsOf("core")),
  slopeOf("heap of one instance in bytes, by members", pointsOf("heap")),
  slopeOf(
    "resolve: microseconds, by members",
    RESOLVE_MEMBERS.map((size) => ({ size, value: resolveTime(size) })),
  ),
];
if (values.json) console.log(JSON.stringify({ slopes }));
else {
  for (const { name, points, fit } of slopes) {
    console.log(`${name}: slope ${fit.slope}, intercept ${fit.intercept}, error ${fit.error}`);
    for (const { size, value } of points) console.log(`  ${size}: ${value}`);
  }
}
