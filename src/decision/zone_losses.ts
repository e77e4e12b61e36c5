/**
 * How fast availability zones are taken one after the other.
 *
 * Load that it answers: reclaims that come in waves, one zone and then the next. Whether the next is taken before a
 * worker that is ordered now takes requests decides how many have to be ordered ahead. Ahead of every loss it would cost
 * far more than most waves take; behind a fast wave nothing is left when its last zone goes. One would notice the first
 * by the price of workers that never had work, the second by seconds in which a whole service is refused.
 *
 * @module
 */

/** The losses of zones, by service. */
export interface ZoneLosses {
  /**
   * Takes in the reclaimable workers that take requests in each zone.
   *
   * @returns Milliseconds between the last two losses of all workers of a zone; infinite before two.
   */
  observe(
    service: string,
    seen: { stock: readonly { zone: string; reclaimable: number }[]; now: number },
  ): number;
}

interface Losses {
  ready: ReadonlyMap<string, number>;
  lastAt: number;
  gap: number;
}

/** Makes losses of which none has been seen. */
export function createZoneLosses(): ZoneLosses {
  const services = new Map<string, Losses>();
  return {
    observe: (service, { stock, now }) => {
      const before = services.get(service);
      const losses = before ?? { ready: new Map(), lastAt: -Infinity, gap: Infinity };
      services.set(service, losses);
      for (const { zone, reclaimable } of stock) {
        if (reclaimable > 0 || (losses.ready.get(zone) ?? 0) === 0) continue;
        losses.gap = now - losses.lastAt;
        losses.lastAt = now;
      }
      losses.ready = new Map(stock.map(({ zone, reclaimable }) => [zone, reclaimable]));
      return losses.gap;
    },
  };
}
