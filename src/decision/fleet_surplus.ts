/**
 * Chooses the workers to retire.
 *
 * Load: the hour after a peak, and a switch to a smaller preset. Workers that are retired too early
 * are launched again minutes later, and their start-up is paid for twice; if all are retired at
 * once, their work in progress is added to the rest. Symptom: a fleet size that oscillates, and
 * longer gaps between tokens whenever the fleet shrinks.
 *
 * Mechanism: a worker is surplus if the rest still covers the required capacity with a tenth to
 * spare, so that a plan with the same demand doesn't launch again what was just retired. A preset's
 * maximum number is reached gradually in the same way. Each plan retires at most a tenth of the
 * workers, or one if they are fewer than ten: those with the highest price for their speed first,
 * and among equals the one with the least work in progress. A retired worker finishes its work in
 * progress, and none is retired while the others couldn't do all waiting work and all work in
 * progress within a minute.
 *
 * @module
 */
import { Purchase } from "../interface/index.ts";
import type { ServiceDemand } from "./fleet_view.ts";
import type { RequiredCapacity } from "./fleet_need.ts";
import { isUnderProvisioned } from "./fleet_pools.ts";
import type { ServiceCapacity, PlannedWorker } from "./fleet_pools.ts";

/** Milliseconds. Shorter surpluses are noise of a demand that is measured over a minute. */
export const MIN_HOLD_TIME = 60_000;

/** The rest of the workers must cover the required capacity multiplied by this factor. */
const SPARE_FACTOR = 1.1;
/** The fraction of the workers that one plan may retire. */
const MAX_RETIRE_FRACTION = 0.1;
/**
 * Seconds in which the remaining workers must be able to do all waiting work and all work in
 * progress.
 */
const DRAIN_TIME = 60;

interface SurplusView {
  readonly required: RequiredCapacity;
  readonly capacity: ServiceCapacity;
}

/** Returns whether the service has at least one surplus worker and no launches in progress. */
export function hasSurplus(demand: ServiceDemand, view: SurplusView): boolean {
  return view.capacity.launching === 0 && chooseRetirements(demand, view).length > 0;
}

/** Chooses the ids of the workers to retire now. */
export function chooseRetirements(
  demand: ServiceDemand,
  { required, capacity }: SurplusView,
): string[] {
  const maxRetirements = Math.max(1, Math.floor(capacity.workers.length * MAX_RETIRE_FRACTION));
  const order = [...capacity.workers].sort(
    (a, b) => retirementRank(a, demand) - retirementRank(b, demand),
  );
  let remaining = [...capacity.workers];
  const chosen: string[] = [];
  for (const worker of order) {
    if (chosen.length === maxRetirements) break;
    const rest = remaining.filter((other) => other !== worker);
    if (worker.id === undefined || !isSufficient(rest, { demand, required })) continue;
    remaining = rest;
    chosen.push(worker.id);
  }
  return chosen;
}

/**
 * Returns a sort key. Workers with a lower key are retired first: the most expensive for their
 * speed, then those with the least work in progress.
 */
function retirementRank(worker: PlannedWorker, demand: ServiceDemand): number {
  const work = demand.workInProgress[worker.id ?? ""] ?? 0;
  const price = worker.price / Math.max(1, worker.tokensPerSecond);
  return work / 1e9 - price;
}

function isSufficient(
  rest: readonly PlannedWorker[],
  { demand, required }: { demand: ServiceDemand; required: RequiredCapacity },
): boolean {
  const speed = rest.reduce((sum, worker) => sum + worker.tokensPerSecond, 0);
  const ids = demand.workers.map(({ id }) => id);
  const inProgress = ids.reduce((sum, id) => sum + (demand.workInProgress[id] ?? 0), 0);
  if (speed * DRAIN_TIME < inProgress + demand.waitingWork) return false;
  if (rest.length >= demand.maxWorkers) return true;
  if (!keepsReclaimableShare(rest, demand)) return false;
  const withSpare = {
    usual: required.usual * SPARE_FACTOR,
    afterZoneLoss: required.afterZoneLoss * SPARE_FACTOR,
  };
  return !isUnderProvisioned(rest, { demand, required: withSpare });
}

/**
 * Returns whether the reclaimable workers stay within the preset's share. Retiring on-demand
 * workers must not raise them above it.
 */
function keepsReclaimableShare(rest: readonly PlannedWorker[], demand: ServiceDemand): boolean {
  const reclaimable = rest.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
  return reclaimable <= Math.round(demand.maxReclaimableShare * rest.length);
}
