/**
 * Plans how many workers of which machine class run in which availability zone, and how they are
 * bought.
 *
 * Load: work that doubles within minutes and is gone an hour later, and a cloud that reclaims a
 * whole availability zone of reclaimable instances in seconds and then refuses new ones there. With
 * too few workers every first token is late until the next ones have started and loaded their
 * model; with too many, the cost exceeds what the contract allows.
 *
 * Mechanism: each plan compares the required capacity with the running and launching workers and
 * returns what to launch and what to retire. Only the smoothed demand and the start of the current
 * surplus are kept between plans.
 *
 * `fleet_need.ts` computes the required capacity, `fleet_pools.ts` chooses the launches and
 * `fleet_surplus.ts` the retirements; each explains its own rules.
 *
 * @module
 */
import { smoothDemand, requiredCapacity } from "./fleet_need.ts";
import { countCapacity, chooseLaunches } from "./fleet_pools.ts";
import type { ServiceCapacity } from "./fleet_pools.ts";
import { chooseRetirements, hasSurplus, MIN_HOLD_TIME } from "./fleet_surplus.ts";
import type { FleetPlan, FleetView, SmoothedDemand, Pool, ServiceDemand } from "./fleet_view.ts";

/**
 * Plans the fleet of all services.
 *
 * @returns The workers to launch and to retire now, and the state for the next plan.
 */
export function planFleet(view: FleetView): FleetPlan {
  const plans = view.services.map((demand) => planService(demand, view));
  const since = plans.flatMap(({ service, surplusSince }) =>
    surplusSince === undefined ? [] : [[service, surplusSince] as const],
  );
  return {
    launches: plans.flatMap(({ service, launches }) => launches.map((pool) => ({ service, pool }))),
    retire: plans.flatMap(({ retire }) => retire),
    plannerState: {
      surplusSince: Object.fromEntries(since),
      smoothedDemand: Object.fromEntries(plans.map(({ service, smoothed }) => [service, smoothed])),
    },
  };
}

interface ServicePlan {
  readonly service: string;
  readonly launches: readonly Pool[];
  readonly retire: readonly string[];
  readonly surplusSince: number | undefined;
  readonly smoothed: SmoothedDemand;
}

function planService(demand: ServiceDemand, view: FleetView): ServicePlan {
  const { service } = demand;
  const capacity = countCapacity(demand, view);
  const before = view.plannerState?.smoothedDemand?.[service];
  const smoothed = smoothDemand(demand, { before, now: view.now });
  const required = requiredCapacity(demand, { smoothed, startUp: capacity.startUp });
  const launches = chooseLaunches(demand, { view, required, capacity });
  if (launches.length > 0 || !hasSurplus(demand, { required, capacity })) {
    return { service, launches, retire: [], surplusSince: undefined, smoothed };
  }
  const surplusSince = view.plannerState?.surplusSince[service] ?? view.now;
  const isHeldLongEnough = view.now - surplusSince >= minHoldTime(capacity);
  const retire = isHeldLongEnough ? chooseRetirements(demand, { required, capacity }) : [];
  return { service, launches: [], retire, surplusSince, smoothed };
}

/**
 * Returns the milliseconds for which a surplus is kept. A new launch costs a start-up time that is
 * paid for and produces nothing; keeping the worker for the same time costs as much. Retiring after
 * that time costs at most twice what a plan with knowledge of the future would cost.
 */
function minHoldTime(capacity: ServiceCapacity): number {
  return Math.max(MIN_HOLD_TIME, capacity.startUp);
}
