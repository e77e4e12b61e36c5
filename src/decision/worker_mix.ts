/**
 * Plans how many workers of a service each availability zone should have, and how they are
 * purchased.
 *
 * Load: all reclaimable workers of a zone are reclaimed at once, and for some seconds none are
 * available there or anywhere; a second zone may follow seconds later. Reclaimable workers cost a
 * fraction of on-demand workers, so a reserve of reclaimable ones is cheaper than any on-demand
 * workers, as long as a zone can be lost without late first tokens. Symptom: with too few workers,
 * first tokens that are late while the market is empty; with too many, only a higher price.
 *
 * Mechanism:
 *
 * - Reclaimable workers are spread evenly over all zones, enough to meet the demand after the loss
 *   of two zones.
 * - If some of them are missing, because their zone was reclaimed or the market has none, on-demand
 *   workers replace them for that time, in the cheapest zones that have room. These start as fast
 *   as any worker, and are returned once the reclaimable ones are back.
 * - While a market is empty, the zones that may be reclaimed next are included in the plan: their
 *   replacement is ordered in advance, as far as prompts have to be processed in time.
 * - On-demand workers that exist from the start are kept until enough reclaimable ones accept
 *   requests.
 *
 * @module
 */
import { Purchase } from "../interface/index.ts";
import type { ServiceScaling } from "../version/index.ts";
import { sum } from "./sum.ts";
import type { DemandLevel } from "./worker_demand.ts";

/** Workers of one service in one zone. */
export interface ZoneStock {
  readonly zone: string;
  readonly reclaimable: number;
  /** On-demand workers that are ordered here, ready or not. */
  readonly ordered: number;
  /** Whether the market recently had no reclaimable workers here. */
  readonly isExhausted: boolean;
}

/** Input for {@linkcode planMix}. */
export interface MixContext {
  readonly scaling: ServiceScaling;
  /** Workers that accept requests, by zone. */
  readonly stock: readonly ZoneStock[];
  /** Number of workers that the load keeps busy if it is spread evenly. */
  readonly demand: DemandLevel;
  /**
   * Highest number of on-demand workers wanted within the last seconds; they are kept until the
   * market has workers again.
   */
  readonly heldOnDemand: number;
  /**
   * Milliseconds between the last two losses of all of a zone's reclaimable workers; infinite
   * before the second loss.
   */
  readonly lossInterval: number;
}

/** The workers to order, and the need for on-demand workers. */
export interface MixPlan {
  /** One order for each zone and type of purchase. */
  readonly orders: readonly MixOrder[];
  /** Number of on-demand workers wanted now. */
  readonly wantedOnDemand: number;
}

/** The number of workers of one purchase type that a zone should have. */
export interface MixOrder {
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/**
 * Number of zones that may lose all reclaimable workers at once: one, and a second before the first
 * has recovered.
 */
const TOLERATED_ZONE_LOSSES = 2;
/**
 * Number of zones that may be reclaimed before a worker ordered now accepts requests, while a
 * market is empty: one, or two if the last two losses were about one start-up time apart. The
 * replacement for a zone has to be ordered before the next one is reclaimed.
 */
const EXPECTED_ZONE_LOSSES = { slow: 1, fast: 2 };
/**
 * Losses count as fast up to this many start-up times apart. With a quarter more than one, workers
 * ordered at a loss are ready at about the time of the next loss.
 */
const FAST_LOSS_START_UPS = 1.25;
/**
 * Before any load, the existing on-demand workers indicate the usual demand: this many reclaimable
 * workers replace one of them.
 */
const RECLAIMABLE_PER_ON_DEMAND = 0.9;
/**
 * Minimum number of reclaimable workers per zone. With a single one, a crash would leave the zone's
 * sessions without a home worker.
 */
const MIN_PER_ZONE = 2;
/** Factor by which on-demand orders exceed the demand, since the measured demand lags behind. */
const ON_DEMAND_HEADROOM = 1.25;

/**
 * Estimates the number of workers that a service's first load will keep busy, from the workers that
 * exist before it.
 *
 * @param existing Number of existing workers by purchase type.
 */
export function estimateInitialDemand(
  { zonePrices }: ServiceScaling,
  existing: { reclaimable: number; onDemand: number },
): number {
  const wanted = existing.reclaimable + existing.onDemand * RECLAIMABLE_PER_ON_DEMAND;
  const perZone = Math.ceil(wanted / Math.max(1, zonePrices.size));
  return perZone * Math.max(1, zonePrices.size - TOLERATED_ZONE_LOSSES);
}

/** Plans a service's orders: one for each zone and type of purchase. */
export function planMix({
  scaling,
  stock,
  demand,
  heldOnDemand,
  lossInterval,
}: MixContext): MixPlan {
  const target = reclaimableTarget(scaling, { zones: stock.length, inUse: demand.smoothed });
  // If the market is empty, only the existing workers are available; otherwise the rest will start
  // soon.
  const available = stock.map(({ reclaimable, isExhausted }) =>
    isExhausted ? Math.min(reclaimable, target) : target,
  );
  const isMarketEmpty = stock.some(({ isExhausted }) => isExhausted);
  const isFastWave = lossInterval <= scaling.startUp * FAST_LOSS_START_UPS;
  const expectedLosses = isFastWave ? EXPECTED_ZONE_LOSSES.fast : EXPECTED_ZONE_LOSSES.slow;
  const missing = Math.max(
    0,
    Math.ceil(demand.current * ON_DEMAND_HEADROOM) - sum(available),
    isMarketEmpty ? demand.smoothedPrefill - remainingAfterLosses(available, expectedLosses) : 0,
  );
  const isRecovered = stock.every(
    ({ reclaimable, isExhausted }) => !isExhausted && reclaimable >= target,
  );
  // Once the market has workers again, each reclaimable worker that accepts requests replaces an
  // on-demand one.
  const ready = sum(stock.map(({ reclaimable }) => reclaimable));
  const keptOnDemand = isMarketEmpty
    ? heldOnDemand
    : Math.min(heldOnDemand, Math.max(0, demand.smoothed - ready));
  const wanted = isRecovered ? 0 : Math.max(missing, keptOnDemand);
  // One place stays free for a reclaimable worker while the market is empty: only an order shows
  // when it has workers again.
  const freePlaces = stock.map(({ reclaimable, isExhausted }) =>
    Math.max(0, scaling.maxWorkers - Math.min(reclaimable, target) - (isExhausted ? 1 : 0)),
  );
  const onDemand = spreadOnDemand(wanted, { stock, freePlaces, prices: scaling.zonePrices });
  const orders = stock.flatMap(({ zone }, index) => {
    const bought = onDemand[index] ?? 0;
    const reclaimable = Math.max(0, Math.min(target, scaling.maxWorkers - bought));
    return [
      { zone, purchase: Purchase.Reclaimable, count: reclaimable },
      { zone, purchase: Purchase.OnDemand, count: bought },
    ];
  });
  return { orders, wantedOnDemand: missing };
}

/**
 * Returns the number of reclaimable workers that remain after the fullest `losses` zones are
 * reclaimed.
 */
function remainingAfterLosses(available: readonly number[], losses: number): number {
  const fullestLast = [...available].sort((a, b) => a - b);
  return sum(fullestLast.slice(0, Math.max(0, fullestLast.length - losses)));
}

/**
 * Spreads on-demand workers over the zones. Workers that are already ordered stay in their zone as
 * far as they are wanted: returning one and buying another elsewhere costs twice and takes time.
 */
function spreadOnDemand(
  wanted: number,
  options: {
    stock: readonly ZoneStock[];
    freePlaces: readonly number[];
    prices: ReadonlyMap<string, number>;
  },
): number[] {
  const { stock, freePlaces, prices } = options;
  const counts = stock.map(({ ordered }, index) => Math.min(ordered, freePlaces[index] ?? 0));
  const price = (index: number): number => prices.get(stock[index]?.zone ?? "") ?? 1;
  const cheapestFirst = [...stock.keys()].sort((a, b) => price(a) - price(b));
  for (let total = sum(counts); total > wanted; total--) {
    const mostExpensive = cheapestFirst.findLast((index) => (counts[index] ?? 0) > 0) ?? 0;
    counts[mostExpensive] = (counts[mostExpensive] ?? 0) - 1;
  }
  for (let total = sum(counts); total < wanted; total++) {
    // Spread evenly, so that no zone's loss removes most of them; the cheapest zone wins a tie.
    const zonesWithFreePlaces = cheapestFirst.filter(
      (index) => (counts[index] ?? 0) < (freePlaces[index] ?? 0),
    );
    const minCount = Math.min(...zonesWithFreePlaces.map((index) => counts[index] ?? 0));
    const next = zonesWithFreePlaces.find((index) => counts[index] === minCount);
    if (next === undefined) break;
    counts[next] = minCount + 1;
  }
  return counts;
}

/** Returns the number of reclaimable workers that each zone should have. */
function reclaimableTarget(
  { minWorkers: least, maxWorkers: most }: ServiceScaling,
  { zones, inUse }: { zones: number; inUse: number },
): number {
  const remainingZones = Math.max(1, zones - TOLERATED_ZONE_LOSSES);
  return Math.min(most, Math.max(least, MIN_PER_ZONE, Math.ceil(inUse / remainingZones)));
}
