/**
 * How many workers of a service there are to be in each availability zone, and how they are bought.
 *
 * Load that it answers: a zone's reclaimable workers are all taken back at once, and for some seconds none are
 * to be had there or anywhere; a second zone may follow seconds later. Reclaimable workers cost a fraction of
 * those on demand, so holding the reserve in reclaimable ones is cheaper than buying any on demand, as long as
 * a zone may go without first tokens getting late. One would notice too few by first tokens that are late for as
 * long as the market is dry, and too many by the price alone.
 *
 * - Reclaimable workers are spread evenly over all zones, as many as are needed after two zones have gone.
 * - What is missing of them, because their zone was taken or the market gives none, is bought on demand for
 *   that time, in the cheapest zones that have room. It comes as fast as any worker does; and it is given back
 *   once the reclaimable ones are there again.
 * - While a market is dry, the zones that are taken next are reckoned with as well: what replaces them is ordered
 *   before they go, as far as prompts have to be read in time.
 * - On-demand workers that are there from the start are kept until enough reclaimable ones take requests.
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
  /** Workers on demand that are ordered here, ready or not. */
  readonly ordered: number;
  /** Whether the market lately had no reclaimable workers here. */
  readonly isDry: boolean;
}

/** What the mix is planned from. */
export interface MixView {
  readonly scaling: ServiceScaling;
  /** Workers that take requests, by zone. */
  readonly stock: readonly ZoneStock[];
  /** Workers that the load keeps busy, if it is spread well. */
  readonly inUse: DemandLevel;
  /** Workers on demand that were wanted within the last seconds, at most: until the market is back they stay. */
  readonly held: number;
  /** Milliseconds between the last two losses of all of a zone's reclaimable workers; infinite before two. */
  readonly lossGap: number;
}

/** What is to be ordered, and why. */
export interface MixPlan {
  /** One for each zone and purchase. */
  readonly orders: readonly MixOrder[];
  /** Workers on demand that are wanted at this moment. */
  readonly onDemand: number;
}

/** What is to be ordered. */
export interface MixOrder {
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/** Zones whose reclaimable workers may all be gone at once: one is taken, and a second before the first is back. */
const ZONES_LOST = 2;
/**
 * Zones that may be taken before a worker that is ordered now takes requests, while a market is dry: one, or two where
 * the last two were taken within about a start-up. What replaces a zone has to be ordered before the next is taken.
 */
const ZONES_FOLLOWING = { slow: 1, fast: 2 };
/**
 * Zones count as taken fast one after the other up to this many start-ups apart: with a quarter more than one, what is
 * ordered at a loss is there about when the next zone goes.
 */
const FAST_START_UPS = 1.25;
/** Before any load was seen, what is there on demand tells what is usual: so many reclaimable ones replace one. */
const FIRST_PART = 0.9;
/** Least reclaimable workers a zone: with one alone, a crash leaves the zone's sessions without a home. */
const LEAST_A_ZONE = 2;
/** What is bought on demand goes beyond what is in use by this part, since what is in use is seen late. */
const ON_DEMAND_ROOM = 1.25;

/**
 * Workers that a service's first load is reckoned to keep busy, by what is there before it.
 *
 * @param there Workers that are there, by purchase.
 */
export function firstInUse(
  { zonePrices }: ServiceScaling,
  there: { reclaimable: number; onDemand: number },
): number {
  const wanted = there.reclaimable + there.onDemand * FIRST_PART;
  const aZone = Math.ceil(wanted / Math.max(1, zonePrices.size));
  return aZone * Math.max(1, zonePrices.size - ZONES_LOST);
}

/** Plans the orders of a service: one for each zone and purchase. */
export function planMix({ scaling, stock, inUse, held, lossGap }: MixView): MixPlan {
  const target = reclaimableTarget(scaling, { zones: stock.length, inUse: inUse.lately });
  // Where the market gives none, what is there is all that can be counted on; elsewhere the rest is coming.
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
  // Once the market gives again, each reclaimable worker that takes requests replaces one on demand.
  const ready = sum(stock.map(({ reclaimable }) => reclaimable));
  const kept = isInWave ? held : Math.min(held, Math.max(0, inUse.lately - ready));
  const wanted = isBack ? 0 : Math.max(missing, kept);
  // One place is always left to ask the dry market for: only an order shows that it has workers again.
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

/** Reclaimable workers that are left when so many more zones have been taken, the fullest of them. */
function leftAfterMore(reachable: readonly number[], following: number): number {
  const fullestLast = [...reachable].sort((a, b) => a - b);
  return sum(fullestLast.slice(0, Math.max(0, fullestLast.length - following)));
}

/**
 * Spreads workers on demand over the zones. What is ordered already stays where it is as far as it is wanted:
 * a worker that is given back in one zone and bought in another is paid for twice, and there only once.
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
    // Evenly, so that no zone's loss takes most of them; among equals in the cheapest.
    const open = cheapestFirst.filter((index) => (counts[index] ?? 0) < (rooms[index] ?? 0));
    const least = Math.min(...open.map((index) => counts[index] ?? 0));
    const next = open.find((index) => counts[index] === least);
    if (next === undefined) break;
    counts[next] = least + 1;
  }
  return counts;
}

/** Reclaimable workers a zone. */
function reclaimableTarget(
  { least, most }: ServiceScaling,
  { zones, inUse }: { zones: number; inUse: number },
): number {
  const left = Math.max(1, zones - ZONES_LOST);
  return Math.min(most, Math.max(least, LEAST_A_ZONE, Math.ceil(inUse / left)));
}
