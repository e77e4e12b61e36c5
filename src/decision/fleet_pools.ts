/**
 * Chooses the pools in which workers are launched.
 *
 * Load: prices that differ by zone and machine class, zones that are reclaimed, and launches that
 * are refused for minutes in one pool while another has capacity. If only the cheapest pool were
 * used, a whole service could be lost in one wave of reclaims; if a refusing pool were tried again
 * and again, the fleet would stay too small while other pools have capacity.
 *
 * Workers are added one at a time, each in the pool that covers the most missing capacity for its
 * price. A worker in the zone with the most capacity covers nothing of what is missing after the
 * loss of that zone, so the cheap zone fills first and the others follow as far as the loss
 * requires. After a refusal a pool is skipped for 10 s, about twice the time that a response takes;
 * the time doubles with each consecutive refusal up to 5 min. A zone with a reclaim notice gets no
 * reclaimable worker, which would most likely be reclaimed next. Reclaimable workers stay within
 * the preset's share, rounded to the nearest whole worker; on-demand workers are used only if that
 * share or the refusals leave no other choice.
 *
 * All model loads share the rate of the weight store. More loads at once than it can serve within a
 * start-up time would only make all of them later, so the rest waits for the next plan.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { FleetView, Pool, ServiceDemand } from "./fleet_view.ts";
import type { RequiredCapacity } from "./fleet_need.ts";

/** One worker as counted by the plan. */
export interface PlannedWorker {
  /** The worker's id; undefined for a worker that is being launched. */
  readonly id: string | undefined;
  readonly zone: string;
  readonly purchase: Purchase;
  readonly tokensPerSecond: number;
  /** Euros per hour. */
  readonly price: number;
}

/** The running and launching workers of a service. */
export interface ServiceCapacity {
  readonly workers: readonly PlannedWorker[];
  /** Number of launches in progress. */
  readonly launching: number;
  /** Milliseconds from a launch until the worker accepts work. */
  readonly startUp: number;
}

/**
 * The missing capacity up to which no worker is launched, as a fraction of the required capacity.
 * Otherwise a demand close to the capacity would cause launches and retirements by turns.
 */
const SHORTFALL_TOLERANCE = 0.03;
/** Milliseconds. */
const INITIAL_BACKOFF = 10_000;
/** Milliseconds. */
const MAX_BACKOFF = 300_000;

/** Counts a service's workers that stay, and its launches in progress. */
export function countCapacity(demand: ServiceDemand, view: FleetView): ServiceCapacity {
  const staying = demand.workers.filter(
    ({ state, reclaimAt }) =>
      reclaimAt === undefined && (state === WorkerState.Live || state === WorkerState.Starting),
  );
  const running = staying.map((worker): PlannedWorker => {
    const pool = view.pools.find((candidate) => isPoolOf(candidate, worker));
    const { id, zone, purchase } = worker;
    const { tokensPerSecond = 0, price = 0 } = pool ?? {};
    return { id, zone, purchase, tokensPerSecond, price };
  });
  const launching = view.launching
    .filter(({ service }) => service === demand.service)
    .map(({ pool }): PlannedWorker => toPlannedWorker(pool));
  const startUp = Math.max(0, ...view.pools.map((pool) => pool.startUp));
  return { workers: [...running, ...launching], launching: launching.length, startUp };
}

/** Chooses the pools to launch in now, one entry per worker. */
export function chooseLaunches(
  demand: ServiceDemand,
  {
    view,
    required,
    capacity,
  }: { view: FleetView; required: RequiredCapacity; capacity: ServiceCapacity },
): Pool[] {
  const workers = [...capacity.workers];
  const launches: Pool[] = [];
  const maxLaunches = Math.min(
    demand.maxWorkers - workers.length,
    launchLimit(demand, { view, capacity }),
  );
  while (launches.length < maxLaunches && isUnderProvisioned(workers, { demand, required })) {
    const pool = bestPool(workers, { demand, view, required });
    if (pool === undefined) break;
    launches.push(pool);
    workers.push(toPlannedWorker(pool));
  }
  return launches;
}

/** Returns whether the service has too few workers, by number or by capacity. */
export function isUnderProvisioned(
  workers: readonly PlannedWorker[],
  { demand, required }: { demand: ServiceDemand; required: RequiredCapacity },
): boolean {
  return (
    workers.length < demand.minWorkers ||
    missingSpeed(workers, required) > required.usual * SHORTFALL_TOLERANCE
  );
}

/**
 * Returns the missing tokens of work per second: in ordinary operation plus after the loss of the
 * zone with the most reclaimable capacity.
 */
function missingSpeed(workers: readonly PlannedWorker[], required: RequiredCapacity): number {
  const total = totalSpeed(workers);
  const usual = Math.max(0, required.usual - total);
  return usual + Math.max(0, required.afterZoneLoss - (total - maxReclaimableZoneSpeed(workers)));
}

function totalSpeed(workers: readonly PlannedWorker[]): number {
  return workers.reduce((sum, worker) => sum + worker.tokensPerSecond, 0);
}

/** Returns the highest total speed of one zone's reclaimable workers. */
function maxReclaimableZoneSpeed(workers: readonly PlannedWorker[]): number {
  const zones = new Map<string, number>();
  for (const { zone, purchase, tokensPerSecond } of workers) {
    if (purchase === Purchase.OnDemand) continue;
    zones.set(zone, (zones.get(zone) ?? 0) + tokensPerSecond);
  }
  return Math.max(0, ...zones.values());
}

function bestPool(
  workers: readonly PlannedWorker[],
  {
    demand,
    view,
    required,
  }: { demand: ServiceDemand; view: FleetView; required: RequiredCapacity },
): Pool | undefined {
  const before = missingSpeed(workers, required);
  const openPools = view.pools.filter(
    (pool) => isOpen(pool, view) && isWithinReclaimableShare(pool, { workers, demand }),
  );
  const valueForPrice = (pool: Pool): number => {
    const covered = before - missingSpeed([...workers, toPlannedWorker(pool)], required);
    // If only the number of workers is too small, the cheapest pool in the zone with the fewest
    // workers is used.
    const spread = 1 / (1 + workers.filter(({ zone }) => zone === pool.zone).length);
    return (covered + spread) / Math.max(pool.price, Number.MIN_VALUE);
  };
  return openPools.reduce<Pool | undefined>(
    (best, pool) => (best === undefined || valueForPrice(pool) > valueForPrice(best) ? pool : best),
    undefined,
  );
}

function isOpen(pool: Pool, view: FleetView): boolean {
  const backoff = Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** Math.max(0, pool.refusals - 1));
  const isBackingOff = pool.refusals > 0 && view.now < (pool.refusedAt ?? 0) + backoff;
  return (
    !isBackingOff &&
    !(pool.purchase === Purchase.Reclaimable && zoneHasReclaimNotice(pool.zone, view))
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
  { workers, demand }: { workers: readonly PlannedWorker[]; demand: ServiceDemand },
): boolean {
  if (pool.purchase === Purchase.OnDemand) return true;
  const reclaimable = workers.filter(({ purchase }) => purchase === Purchase.Reclaimable).length;
  return reclaimable + 1 <= Math.round(demand.maxReclaimableShare * (workers.length + 1));
}

function launchLimit(
  demand: ServiceDemand,
  { view, capacity }: { view: FleetView; capacity: ServiceCapacity },
): number {
  const { weightStoreRate } = view;
  const weights = demand.weightBytes ?? 0;
  if (weightStoreRate === undefined || weights === 0) return Number.POSITIVE_INFINITY;
  const concurrentLoads = Math.floor((weightStoreRate * capacity.startUp) / 1_000 / weights);
  return Math.max(1, concurrentLoads) - capacity.launching;
}

function toPlannedWorker({ zone, purchase, tokensPerSecond, price }: Pool): PlannedWorker {
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
