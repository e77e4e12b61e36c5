/**
 * Measures how quickly availability zones are reclaimed one after another.
 *
 * Load: reclaims that come in waves, one zone after another. If the next zone is reclaimed before a
 * worker ordered now accepts requests, more workers have to be ordered in advance. Doing so at
 * every loss would cost far more than most waves require; reacting late to a fast wave leaves no
 * workers after its last zone. Symptom: in the first case the price of workers that were never
 * used, in the second case seconds in which a whole service is refused.
 *
 * Mechanism: each observation is compared with the previous one, and the time between the last two
 * complete losses of a zone is kept for each service.
 *
 * @module
 */

/** The losses of zones, by service. */
export interface ZoneLosses {
  /**
   * Records the number of reclaimable workers that accept requests in each zone.
   *
   * @param observation `now` is the time in milliseconds.
   * @returns Milliseconds between the last two losses of all workers of a zone; infinite before the
   * second loss.
   */
  observe(
    service: string,
    observation: { stock: readonly { zone: string; reclaimable: number }[]; now: number },
  ): number;
}

interface ServiceLosses {
  workersByZone: ReadonlyMap<string, number>;
  lastAt: number;
  interval: number;
}

/** Creates an empty record of losses. */
export function createZoneLosses(): ZoneLosses {
  const services = new Map<string, ServiceLosses>();
  return {
    observe: (service, { stock, now }) => {
      const existing = services.get(service);
      const losses = existing ?? {
        workersByZone: new Map(),
        lastAt: -Infinity,
        interval: Infinity,
      };
      services.set(service, losses);
      for (const { zone, reclaimable } of stock) {
        if (reclaimable > 0 || (losses.workersByZone.get(zone) ?? 0) === 0) continue;
        losses.interval = now - losses.lastAt;
        losses.lastAt = now;
      }
      losses.workersByZone = new Map(stock.map(({ zone, reclaimable }) => [zone, reclaimable]));
      return losses.interval;
    },
  };
}
