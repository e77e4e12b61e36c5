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
 * - On-demand workers that are there from the start are kept until enough reclaimable ones take requests.
 *
 * @module
 */
import { Purchase } from "../interface/index.ts";
import type { ServiceScaling } from "../version/index.ts";

/** Workers of one service in one zone. */
export interface ZoneStock {
  readonly zone: string;
  readonly reclaimable: number;
  readonly onDemand: number;
  /** Whether the last order of reclaimable workers found none to be had. */
  readonly isDry: boolean;
}

/** What the mix is planned from. */
export interface MixView {
  readonly scaling: ServiceScaling;
  /** Workers that take requests, by zone. */
  readonly stock: readonly ZoneStock[];
  /** Workers that the load keeps busy, if it is spread well; undefined until any load was seen. */
  readonly inUse: number | undefined;
}

/** What is to be ordered. */
export interface MixOrder {
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/** Zones whose reclaimable workers may all be gone at once: one is taken, and a second before the first is back. */
const ZONES_LOST = 2;
/** Workers a zone before any load was seen: what a usual load needs, with two zones gone. */
const FIRST_A_ZONE = 4;
/** Least reclaimable workers a zone: with one alone, a crash leaves the zone's sessions without a home. */
const LEAST_A_ZONE = 2;
/** What is bought on demand goes beyond what is in use by this part, since what is in use is seen late. */
const ON_DEMAND_ROOM = 1.25;

/** Plans the orders of a service: one for each zone and purchase. */
export function planMix({ scaling, stock, inUse }: MixView): MixOrder[] {
  const zones = [...scaling.zonePrices].sort(([, a], [, b]) => a - b).map(([zone]) => zone);
  const target = reclaimableTarget(scaling, { zones: zones.length, inUse });
  const hereIn = (zone: string): ZoneStock =>
    stock.find((one) => one.zone === zone) ?? { zone, reclaimable: 0, onDemand: 0, isDry: false };
  // Where the market gives none, what is there is all that can be counted on; elsewhere the rest is coming.
  const reachable = zones.map((zone) => {
    const { reclaimable, isDry } = hereIn(zone);
    return isDry ? Math.min(reclaimable, target) : target;
  });
  const counted = reachable.reduce((sum, count) => sum + count, 0);
  let missing = Math.max(0, Math.ceil((inUse ?? 0) * ON_DEMAND_ROOM) - counted);
  const shares = zones.map((zone, index) => {
    const room = Math.max(0, scaling.most - (reachable[index] ?? 0));
    // What is there on demand already goes on before more is bought in a cheaper zone.
    const evenly = Math.max(hereIn(zone).onDemand, Math.ceil(missing / (zones.length - index)));
    const share = Math.min(missing, room, evenly);
    missing -= share;
    return share;
  });
  return zones.flatMap((zone, index) => {
    const onDemand = shares[index] ?? 0;
    return [
      { zone, purchase: Purchase.Reclaimable, count: Math.min(target, scaling.most - onDemand) },
      { zone, purchase: Purchase.OnDemand, count: onDemand },
    ];
  });
}

/** Reclaimable workers a zone. */
function reclaimableTarget(
  { least, most }: ServiceScaling,
  { zones, inUse }: { zones: number; inUse: number | undefined },
): number {
  if (inUse === undefined) return Math.min(most, Math.max(least, FIRST_A_ZONE));
  const left = Math.max(1, zones - ZONES_LOST);
  return Math.min(most, Math.max(least, LEAST_A_ZONE, Math.ceil(inUse / left)));
}
