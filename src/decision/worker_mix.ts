/**
 * How many workers of a service there are to be in each availability zone, and how they are bought.
 *
 * Load that it answers: a zone's reclaimable workers are all taken back at once, and for some seconds none are
 * to be had there or anywhere; a second zone may follow seconds later. Reclaimable workers cost a fraction of
 * those on demand, so holding the reserve in reclaimable ones is cheaper than buying any on demand, as long as
 * a zone may go without first tokens getting late. One would notice too few by first tokens that are late for as
 * long as the market is dry, and too many by the price alone.
 *
 * - Reclaimable workers are spread over all zones, more in the cheaper ones, so that the fullest zone is no
 *   great part of them.
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
}

/** What the mix is planned from. */
export interface MixView {
  readonly scaling: ServiceScaling;
  /** Workers that take requests, by zone. */
  readonly stock: readonly ZoneStock[];
  /** Workers that are to be there, so that some may be taken. */
  readonly needed: number;
  /** Workers that the load of this moment can't do without. */
  readonly inUse: number;
}

/** What is to be ordered. */
export interface MixOrder {
  readonly zone: string;
  readonly purchase: Purchase;
  readonly count: number;
}

/** Plans the orders of a service: one for each zone and purchase. */
export function planMix({ scaling, stock, needed, inUse }: MixView): MixOrder[] {
  const zones = [...scaling.zonePrices].sort(([, a], [, b]) => a - b).map(([zone]) => zone);
  const perZone = Math.max(scaling.least, Math.ceil(needed / Math.max(1, zones.length)));
  const target = Math.min(scaling.most, perZone);
  const ready = stock.reduce((sum, { reclaimable }) => sum + reclaimable, 0);
  // What is there on demand while there is no load yet, as before the first callers come, needn't be kept.
  let missing = Math.max(0, Math.min(needed, inUse + zones.length) - ready);
  return zones.flatMap((zone) => {
    const here = stock.find((candidate) => candidate.zone === zone);
    const room = Math.max(0, scaling.most - target);
    const share = Math.min(missing, room, Math.max(perZone, here?.onDemand ?? 0));
    missing -= share;
    return [
      { zone, purchase: Purchase.Reclaimable, count: target },
      { zone, purchase: Purchase.OnDemand, count: share },
    ];
  });
}
