/**
 * Which workers are given back.
 *
 * Load that it answers: the hour after a peak, and a switch to a smaller preset. Given back too early,
 * workers are launched again minutes later and their start-up is paid twice; given back all at once, what
 * they still do is pressed onto the rest. One would notice a fleet that swings, and gaps that lengthen
 * whenever it shrinks.
 *
 * A worker is surplus if the rest still covers the need with a tenth to spare, so that the same figures
 * never launch what they have just retired; a preset's maxRetirements number is kept to in the same way, gradually.
 * Each plan gives back at most a tenth of the workers, the dearest for its speed first, and among equals the
 * one with the least in progress. A worker that is given back finishes what it has; and none is while the
 * others couldn't do all that is in progress within a minute.
 *
 * @module
 */
import { Purchase } from "../interface/index.ts";
import type { ServiceDemand } from "./fleet_view.ts";
import type { RequiredCapacity } from "./fleet_need.ts";
import { isUnderProvisioned } from "./fleet_pools.ts";
import type { ServiceCapacity, PlannedWorker } from "./fleet_pools.ts";

/** Shorter surpluses are noise of a demand that is measured over a minute. */
export const MIN_HOLD_TIME = 60_000;

const SPARE_FACTOR = 1.1;
const MAX_RETIRE_FRACTION = 0.1;
/** Work in progress must be doable by what is left in this time, in seconds. */
const DRAIN_TIME = 60;

interface SurplusView {
  readonly required: RequiredCapacity;
  readonly capacity: ServiceCapacity;
}

/** Says whether the service has a worker too many. */
export function hasSurplus(demand: ServiceDemand, view: SurplusView): boolean {
  return view.capacity.launching === 0 && chooseRetirements(demand, view).length > 0;
}

/** Chooses the workers to give back now. */
export function chooseRetirements(
  demand: ServiceDemand,
  { required, capacity }: SurplusView,
): string[] {
  const maxRetirements = Math.max(1, Math.floor(capacity.units.length * MAX_RETIRE_FRACTION));
  const order = [...capacity.units].sort(
    (a, b) => retirementRank(a, demand) - retirementRank(b, demand),
  );
  let left = [...capacity.units];
  const chosen: string[] = [];
  for (const unit of order) {
    if (chosen.length === maxRetirements) break;
    const rest = left.filter((other) => other !== unit);
    if (unit.id === undefined || !isSufficient(rest, { demand, required })) continue;
    left = rest;
    chosen.push(unit.id);
  }
  return chosen;
}

/** Lower is given back sooner: the dearest for its speed, then the emptiest. */
function retirementRank(unit: PlannedWorker, demand: ServiceDemand): number {
  const work = demand.inProgress[unit.id ?? ""] ?? 0;
  const price = unit.price / Math.max(1, unit.tokensPerSecond);
  return work / 1e9 - price;
}

function isSufficient(
  rest: readonly PlannedWorker[],
  { demand, required }: { demand: ServiceDemand; required: RequiredCapacity },
): boolean {
  const speed = rest.reduce((sum, unit) => sum + unit.tokensPerSecond, 0);
  const ids = demand.workers.map(({ id }) => id);
  const inProgress = ids.reduce((sum, id) => sum + (demand.inProgress[id] ?? 0), 0);
  if (speed * DRAIN_TIME < inProgress + demand.waiting) return false;
  if (rest.length >= demand.most) return true;
  if (!keepsReclaimableShare(rest, demand)) return false;
  const withSpare = {
    usual: required.usual * SPARE_FACTOR,
    afterZoneLoss: required.afterZoneLoss * SPARE_FACTOR,
  };
  return !isUnderProvisioned(rest, { demand, required: withSpare });
}

/** Giving back the last on-demand workers must not leave more than the preset's part reclaimable. */
function keepsReclaimableShare(rest: readonly PlannedWorker[], demand: ServiceDemand): boolean {
  const reclaimable = rest.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
  return reclaimable <= Math.round(demand.reclaimable * rest.length);
}
