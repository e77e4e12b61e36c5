/**
 * Measures how costs grow with the size of the fleet: `npm run slopes -- [--json]`.
 *
 * Control traffic is measured on real entry instances over loopback, without load, all in this process. A cost
 * that grows with the number of instances limits the size of a fleet. The results depend on the machine and its
 * other load.
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

/** Numbers of instances at which control traffic is measured. */
const CONTROL_SIZES = [3, 6, 9, 20];
/** Numbers of instances at which the resolution of an address is timed. */
const RESOLVE_SIZES = [3, 9, 20, 63, 380];
/** Number of timed resolutions. */
const RESOLVE_COUNT = 2_000;

/** Measurements of one cost, with the line fitted to them. */
interface Slope {
  readonly name: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

function slopeOf(name: string, points: readonly Point[]): Slope {
  return { name, points, fit: fitLine(points) };
}

/** Returns the time of one address resolution, in microseconds. */
function resolveTime(members: number): number {
  const alive = Array.from({ length: members }, (_, index) => ({
    id: `e${index}#1`,
    address: `127.0.0.1:${7_000 + index}`,
    callerAddress: `127.0.0.1:${8_000 + index}`,
    zone: `z${index % 3}`,
  }));
  const random = createSeededRandom(1);
  const view = { alive, owner: undefined, load: new Map<string, number>(), account: "club" };
  const startedAt = performance.now();
  for (let count = 0; count < RESOLVE_COUNT; count++) resolveAddresses(view, random);
  return ((performance.now() - startedAt) * 1_000) / RESOLVE_COUNT;
}

const { values } = parseArgs({ options: { json: { type: "boolean", default: false } } });
const costs: ControlCost[] = [];
for (const members of CONTROL_SIZES) costs.push(await measureControl(members));
const pointsOf = (key: "bytes" | "core" | "heap"): Point[] =>
  costs.map((cost) => ({ size: cost.instances, value: cost[key] }));
const slopes = [
  slopeOf("control: bytes a second of one instance, by members", pointsOf("bytes")),
  slopeOf("control: share of a core of one instance, by members", pointsOf("core")),
  slopeOf("heap of one instance in bytes, by members", pointsOf("heap")),
  slopeOf(
    "resolve: microseconds, by members",
    RESOLVE_SIZES.map((size) => ({ size, value: resolveTime(size) })),
  ),
];
if (values.json) console.log(JSON.stringify({ slopes }));
else {
  for (const { name, points, fit } of slopes) {
    console.log(`${name}: slope ${fit.slope}, intercept ${fit.intercept}, error ${fit.error}`);
    for (const { size, value } of points) console.log(`  ${size}: ${value}`);
  }
}
