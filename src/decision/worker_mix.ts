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
  readonly isDry: boolean;
}

/**
 * Input for {@linkcode planMix}.
 */
export interface MixView {
  readonly scaling: ServiceScaling;
  /** Workers that accept requests, by zone. */
  readonly stock: readonly ZoneStock[];
  /** Number of workers that the load keeps busy if it is spread evenly. */
  readonly inUse: DemandLevel;
  /**
   * Highest number of on-demand workers wanted within the last seconds; they are kept until the
   * market has workers again.
   */
  readonly held: number;
  /**
   * Milliseconds between the last two losses of all of a zone's reclaimable workers; infinite
   * before the second loss.
   */
  readonly lossGap: number;
}

/** The workers to order, and the need for on-demand workers. */
export interface MixPlan {
  /** One order for each zone and type of purchase. */
  readonly orders: readonly MixOrder[];
  /** Number of on-demand workers wanted now. */
  readonly onDemand: number;
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
const ZONES_LOST = 2;
/**
 * Number of zones that may be reclaimed before a worker ordered now accepts requests, while a
 * market is empty: one, or two if the last two losses were about one start-up time apart. The
 * replacement for a zone has to be ordered before the next one is reclaimed.
 */
const ZONES_FOLLOWING = { slow: 1, fast: 2 };
/**
 * Losses count as fast up to this many start-up times apart. With a quarter more than one, workers
 * ordered at a loss are ready at about the time of the next loss.
 */
const FAST_START_UPS = 1.25;
/**
 * Before any load, the existing on-demand workers indicate the usual demand: this many reclaimable
 * workers replace one of them.
 */
const FIRST_PART = 0.9;
/**
 * Minimum number of reclaimable workers per zone. With a single one, a crash would leave the zone's
 * sessions without a home worker.
 */
const LEAST_A_ZONE = 2;
/** Factor by which on-demand orders exceed the demand, since the measured demand lags behind. */
const ON_DEMAND_ROOM = 1.25;

/**
 * Estimates the number of workers that a service's first load will keep busy, from the workers that
 * exist before it.
 *
 * @param there Number of existing workers by purchase type.
 */
export function firstInUse(
  { zonePrices }: ServiceScaling,
  there: { reclaimable: number; onDemand: number },
): number {
  const wanted = there.reclaimable + there.onDemand * FIRST_PART;
  const aZone = Math.ceil(wanted / Math.max(1, zonePrices.size));
  return aZone * Math.max(1, zonePrices.size - ZONES_LOST);
}

/** Plans a service's orders: one for each zone and type of purchase. */
export function planMix({ scaling, stock, inUse, held, lossGap }: MixView): MixPlan {
  const target = reclaimableTarget(scaling, { zones: stock.length, inUse: inUse.lately });
  // If the market is empty, only the existing workers are available; otherwise the rest will start
  // soon.
  const reachable = stock.map(({ reclaimable, isDry }) =>
    isDry ? Math.min(reclaimable, target) : target,
  );
  const isInWave = stock.some(({ isDry }) => isDry);
  const isFast = lossGap <= scaling.startUp * FAST_START_UPS;
  const following = isFast ? ZONES_FOLLOWING.fast : ZONES_FOLLOWING.slow;
  const missing = Math.max(
    0,
    Math.ceil(inUse.now * ON_DEMAND_ROOM) - sum(reachable),
    isInWave ? inUse.reading - leftAfterMore(reachable, following) : 0,
  );
  const isBack = stock.every(({ reclaimable, isDry }) => !isDry && reclaimable >= target);
  // Once the market has workers again, each reclaimable worker that accepts requests replaces an
  // on-demand one.
  const ready = sum(stock.map(({ reclaimable }) => reclaimable));
  const kept = isInWave ? held : Math.min(held, Math.max(0, inUse.lately - ready));
  const wanted = isBack ? 0 : Math.max(missing, kept);
  // One place stays free for a reclaimable worker while the market is empty: only an order shows
  // when it has workers again.
  const rooms = stock.map(({ reclaimable, isDry }) =>
    Math.max(0, scaling.most - Math.min(reclaimable, target) - (isDry ? 1 : 0)),
  );
  const onDemand = spread(wanted, { stock, rooms, prices: scaling.zonePrices });
  const orders = stock.flatMap(({ zone }, index) => {
    const bought = onDemand[index] ?? 0;
    const reclaimable = Math.max(0, Math.min(target, scaling.most - bought));
    return [
      { zone, purchase: Purchase.Reclaimable, count: reclaimable },
      { zone, purchase: Purchase.OnDemand, count: bought },
    ];
  });
  return { orders, onDemand: missing };
}

/**
 * Returns the number of reclaimable workers that remain after the fullest `following` zones are
 * reclaimed.
 */
function leftAfterMore(reachable: readonly number[], following: number): number {
  const fullestLast = [...reachable].sort((a, b) => a - b);
  return sum(fullestLast.slice(0, Math.max(0, fullestLast.length - following)));
}

/**
 * Spreads on-demand workers over the zones. Workers that are already ordered stay in their zone as
 * far as they are wanted: returning one and buying another elsewhere costs twice and takes time.
 */
function spread(
  wanted: number,
  options: {
    stock: readonly ZoneStock[];
    rooms: readonly number[];
    prices: ReadonlyMap<string, number>;
  },
): number[] {
  const { stock, rooms, prices } = options;
  const counts = stock.map(({ ordered }, index) => Math.min(ordered, rooms[index] ?? 0));
  const price = (index: number): number => prices.get(stock[index]?.zone ?? "") ?? 1;
  const cheapestFirst = [...stock.keys()].sort((a, b) => price(a) - price(b));
  for (let total = sum(counts); total > wanted; total--) {
    const dearest = cheapestFirst.findLast((index) => (counts[index] ?? 0) > 0) ?? 0;
    counts[dearest] = (counts[dearest] ?? 0) - 1;
  }
  for (let total = sum(counts); total < wanted; total++) {
    // Spread evenly, so that no zone's loss removes most of them; the cheapest zone wins a tie.
    const open = cheapestFirst.filter((index) => (counts[index] ?? 0) < (rooms[index] ?? 0));
    const least = Math.min(...open.map((index) => counts[index] ?? 0));
    const next = open.find((index) => counts[index] === least);
    if (next === undefined) break;
    counts[next] = least + 1;
  }
  return counts;
}

/** Returns the number of reclaimable workers that each zone should have. */
function reclaimableTarget(
  { least, most }: ServiceScaling,
  { zones, inUse }: { zones: number; inUse: number },
): number {
  const left = Math.max(1, zones - ZONES_LOST);
  return Math.min(most, Math.max(least, LEAST_A_ZONE, Math.ceil(inUse / left)));
}
