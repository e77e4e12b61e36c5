/**
 * How many workers of which machine class in which availability zone, bought how.
 *
 * Load that it answers: work that doubles within minutes and is gone an hour later; a cloud that takes back
 * a whole availability zone of reclaimable instances in seconds and then refuses new ones there. Too few
 * workers, and every first token is late until the next ones have started and loaded; too many, and the
 * contract is lost on cost. Each plan compares what is needed with what is there and coming, and says what
 * to launch and what to retire; nothing is remembered but the smoothed demand and since when there
 * has been too much.
 *
 * How much is needed is in `fleet_need.ts`, where it is bought in `fleet_pools.ts`, what is given back in
 * `fleet_surplus.ts`; each has its reasons with it.
 *
 * @module
 */
import { smoothDemand, requiredCapacity } from "./fleet_need.ts";
import { countCapacity, chooseLaunches } from "./fleet_pools.ts";
import type { ServiceCapacity } from "./fleet_pools.ts";
import { chooseRetirements, hasSurplus, MIN_HOLD_TIME } from "./fleet_surplus.ts";
import type { FleetPlan, FleetView, SmoothedDemand, Pool, ServiceDemand } from "./fleet_view.ts";

/**
 * Plans the fleet.
 *
 * @returns What to launch and to retire now, and what the next plan is to be given.
 */
export function planFleet(view: FleetView): FleetPlan {
  const plans = view.services.map((demand) => planService(demand, view));
  const since = plans.flatMap(({ service, surplusSince }) =>
    surplusSince === undefined ? [] : [[service, surplusSince] as const],
  );
  return {
    launches: plans.flatMap(({ service, launches }) => launches.map((pool) => ({ service, pool }))),
    retire: plans.flatMap(({ retire }) => retire),
    memory: {
      surplusSince: Object.fromEntries(since),
      smoothedDemand: Object.fromEntries(plans.map(({ service, level }) => [service, level])),
    },
  };
}

interface ServicePlan {
  readonly service: string;
  readonly launches: readonly Pool[];
  readonly retire: readonly string[];
  readonly surplusSince: number | undefined;
  readonly level: SmoothedDemand;
}

function planService(demand: ServiceDemand, view: FleetView): ServicePlan {
  const { service } = demand;
  const capacity = countCapacity(demand, view);
  const before = view.memory?.smoothedDemand?.[service];
  const level = smoothDemand(demand, { before, now: view.now });
  const required = requiredCapacity(demand, { level, startUp: capacity.startUp });
  const launches = chooseLaunches(demand, { view, required, capacity });
  if (launches.length > 0 || !hasSurplus(demand, { required, capacity })) {
    return { service, launches, retire: [], surplusSince: undefined, level };
  }
  const surplusSince = view.memory?.surplusSince[service] ?? view.now;
  const isHeldLongEnough = view.now - surplusSince >= minHoldTime(capacity);
  const retire = isHeldLongEnough ? chooseRetirements(demand, { required, capacity }) : [];
  return { service, launches: [], retire, surplusSince, level };
}

/**
 * How long a surplus is kept. To launch again costs a start-up that is paid for and does nothing; keeping
 * the worker for just as long costs the same. Whoever gives it back then pays at most twice what knowing
 * the future would have cost.
 */
function minHoldTime(capacity: ServiceCapacity): number {
  return Math.max(MIN_HOLD_TIME, capacity.startUp);
}
