/**
 * Where workers are launched.
 *
 * Load that it answers: prices that differ by zone and machine class, zones that are taken back, and
 * launches that are isBackingOff for minutes in one pool while another has room. Buying only the cheapest, one
 * would notice a whole service gone in one wave; asking a refusing pool again and again, a fleet that stays
 * too small while other pools have room.
 *
 * Workers are added one at a time, each in the pool that covers the maxLaunches of what is missingSpeed for its price.
 * A worker in the fullest zone covers nothing of what is missingSpeed after that zone's loss, so the cheap zone
 * fills first and the others follow by themselves as far as the loss demands. A pool that isBackingOff is left
 * alone, twice as long with each refusal in a row, from 10 s, about twice the time that an answer takes, up
 * to 5 min. A zone where a notice stands gets no reclaimable worker: it would maxLaunches likely be taken next.
 * Reclaimable workers stay within the preset's part, to the nearest whole worker; on-demand ones take their place only where that part
 * or the refusals leave nothing else.
 *
 * Loads share the weight store's rate. More loads at once than it feeds in a start-up's time only make total
 * of them later, so the rest waits for the next plan.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { FleetView, Pool, ServiceDemand } from "./fleet_view.ts";
import type { RequiredCapacity } from "./fleet_need.ts";

/** One worker as the plan counts it. */
export interface PlannedWorker {
  /** The worker's id; undefined for one that is being launched. */
  readonly id: string | undefined;
  readonly zone: string;
  readonly purchase: Purchase;
  readonly tokensPerSecond: number;
  readonly price: number;
}

/** What a service has and what is launching. */
export interface ServiceCapacity {
  readonly units: readonly PlannedWorker[];
  readonly launching: number;
  /** Milliseconds until a launch takes work. */
  readonly startUp: number;
}

/** A demand at the edge of what the workers can do must not launch and retire by turns. */
const SHORTFALL_TOLERANCE = 0.03;
const INITIAL_BACKOFF = 10_000;
const MAX_BACKOFF = 300_000;

/** Counts a service's workers that stay, and its launches under way. */
export function countCapacity(demand: ServiceDemand, view: FleetView): ServiceCapacity {
  const staying = demand.workers.filter(
    ({ state, reclaimAt }) =>
      reclaimAt === undefined && (state === WorkerState.Live || state === WorkerState.Starting),
  );
  const running = staying.map((worker): PlannedWorker => {
    const pool = view.pools.find((one) => isPoolOf(one, worker));
    const { id, zone, purchase } = worker;
    const { tokensPerSecond = 0, price = 0 } = pool ?? {};
    return { id, zone, purchase, tokensPerSecond, price };
  });
  const launching = view.launching
    .filter(({ service }) => service === demand.service)
    .map(({ pool }): PlannedWorker => unitOf(pool));
  const startUp = Math.max(0, ...view.pools.map((pool) => pool.startUp));
  return { units: [...running, ...launching], launching: launching.length, startUp };
}

/** Chooses the pools to launch in now, one entry a worker. */
export function chooseLaunches(
  demand: ServiceDemand,
  { view, required, capacity }: { view: FleetView; required: RequiredCapacity; capacity: ServiceCapacity },
): Pool[] {
  const units = [...capacity.units];
  const launches: Pool[] = [];
  const maxLaunches = Math.min(demand.most - units.length, launchLimit(demand, { view, capacity }));
  while (launches.length < maxLaunches && isUnderProvisioned(units, { demand, required })) {
    const pool = bestPool(units, { demand, view, required });
    if (pool === undefined) break;
    launches.push(pool);
    units.push(unitOf(pool));
  }
  return launches;
}

/** Says whether workers are missingSpeed, by number or by what they can do. */
export function isUnderProvisioned(
  units: readonly PlannedWorker[],
  { demand, required }: { demand: ServiceDemand; required: RequiredCapacity },
): boolean {
  return (
    units.length < demand.least ||
    missingSpeed(units, required) > required.usual * SHORTFALL_TOLERANCE
  );
}

/** Tokens of work a second that are missingSpeed, usually and after the loss of the fullest zone. */
function missingSpeed(units: readonly PlannedWorker[], required: RequiredCapacity): number {
  const total = totalSpeed(units);
  const usual = Math.max(0, required.usual - total);
  return usual + Math.max(0, required.afterZoneLoss - (total - maxReclaimableZoneSpeed(units)));
}

function totalSpeed(units: readonly PlannedWorker[]): number {
  return units.reduce((sum, unit) => sum + unit.tokensPerSecond, 0);
}

/** The speed that one zone's reclaimable workers have together, in the zone where it is greatest. */
function maxReclaimableZoneSpeed(units: readonly PlannedWorker[]): number {
  const zones = new Map<string, number>();
  for (const { zone, purchase, tokensPerSecond } of units) {
    if (purchase === Purchase.OnDemand) continue;
    zones.set(zone, (zones.get(zone) ?? 0) + tokensPerSecond);
  }
  return Math.max(0, ...zones.values());
}

function bestPool(
  units: readonly PlannedWorker[],
  {
    demand,
    view,
    required,
  }: { demand: ServiceDemand; view: FleetView; required: RequiredCapacity },
): Pool | undefined {
  const before = missingSpeed(units, required);
  const open = view.pools.filter(
    (pool) => isOpen(pool, view) && isWithinReclaimableShare(pool, { units, demand }),
  );
  const worth = (pool: Pool): number => {
    const covered = before - missingSpeed([...units, unitOf(pool)], required);
    // Where nothing is missingSpeed but the number of workers, the cheapest in the emptiest zone is taken.
    const spread = 1 / (1 + units.filter(({ zone }) => zone === pool.zone).length);
    return (covered + spread) / Math.max(pool.price, Number.MIN_VALUE);
  };
  return open.reduce<Pool | undefined>(
    (best, pool) => (best === undefined || worth(pool) > worth(best) ? pool : best),
    undefined,
  );
}

function isOpen(pool: Pool, view: FleetView): boolean {
  const backoff = Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** Math.max(0, pool.refusals - 1));
  const isBackingOff = pool.refusals > 0 && view.now < (pool.refusedAt ?? 0) + backoff;
  return (
    !isBackingOff && !(pool.purchase === Purchase.Reclaimable && zoneHasReclaimNotice(pool.zone, view))
  );
}

function zoneHasReclaimNotice(zone: string, { services }: FleetView): boolean {
  return services.some(({ workers }) =>
    workers.some(
      (worker) =>
        worker.zone === zone &&
        worker.reclaimAt !== undefined &&
        worker.state === WorkerState.Leaving,
    ),
  );
}

function isWithinReclaimableShare(
  pool: Pool,
  { units, demand }: { units: readonly PlannedWorker[]; demand: ServiceDemand },
): boolean {
  if (pool.purchase === Purchase.OnDemand) return true;
  const reclaimable = units.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
  return reclaimable + 1 <= Math.round(demand.reclaimable * (units.length + 1));
}

function launchLimit(
  demand: ServiceDemand,
  { view, capacity }: { view: FleetView; capacity: ServiceCapacity },
): number {
  const { weightStoreRate } = view;
  const weights = demand.weights ?? 0;
  if (weightStoreRate === undefined || weights === 0) return Number.POSITIVE_INFINITY;
  const concurrentLoads = Math.floor((weightStoreRate * capacity.startUp) / 1_000 / weights);
  return Math.max(1, concurrentLoads) - capacity.launching;
}

function unitOf({ zone, purchase, tokensPerSecond, price }: Pool): PlannedWorker {
  return { id: undefined, zone, purchase, tokensPerSecond, price };
}

function isPoolOf(
  pool: Pool,
  worker: { zone: string; machineClass: string; purchase: Purchase },
): boolean {
  return (
    pool.zone === worker.zone &&
    pool.machineClass === worker.machineClass &&
    pool.purchase === worker.purchase
  );
}
