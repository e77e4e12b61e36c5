/**
 * Estimates the probability that a worker is reclaimed soon.
 *
 * Load: reclaims come in waves. When a few instances of an availability zone get a notice, the rest
 * of the zone usually follows within seconds. Work that is moved from the first to the next is
 * moved again and computed again each time. Symptom: requests with three or more attempts during a
 * wave.
 *
 * Mechanism: the fraction of a zone's reclaimable workers that got a notice recently is used as the
 * probability that any other of them gets one next. It halves in 30 s: a wave that hasn't reached a
 * worker within a minute has most likely ended, and avoiding a zone for much longer leaves paid
 * capacity unused.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** The reclaim risk by availability zone. */
export interface ReclaimRisk {
  /**
   * Updates the risk from the current list of workers; a notice counts when it is first observed.
   */
  observe(workers: readonly Worker[], now: number): void;
  /**
   * Returns the probability, from 0 to 1, that the worker is reclaimed before a job of one minute
   * ends.
   */
  probability(worker: Worker, now: number): number;
}

/** Milliseconds. */
const RISK_HALF_LIFE = 30_000;
/** Without any notice: about one reclaim per instance in four hours, for a job of one minute. */
const BASE_PROBABILITY = 1 / 240;

interface ZoneNotices {
  risk: number;
  at: number;
}

/** Creates the risk estimate before any notice. */
export function createReclaimRisk(): ReclaimRisk {
  const seen = new Set<string>();
  const zones = new Map<string, ZoneNotices>();
  const riskOf = (zone: string, now: number): number => {
    const notices = zones.get(zone);
    return notices === undefined ? 0 : notices.risk * 2 ** (-(now - notices.at) / RISK_HALF_LIFE);
  };
  return {
    observe: (workers, now) => {
      const withNewNotice = workers.filter(
        (worker) => hasReclaimNotice(worker) && !seen.has(worker.id),
      );
      for (const worker of withNewNotice) {
        seen.add(worker.id);
        const fraction = 1 / Math.max(1, reclaimableIn(workers, worker.zone));
        zones.set(worker.zone, { risk: Math.min(1, riskOf(worker.zone, now) + fraction), at: now });
      }
      const known = new Set(workers.map(({ id }) => id));
      for (const id of seen) if (!known.has(id)) seen.delete(id);
    },
    probability: (worker, now) => {
      if (worker.purchase === Purchase.OnDemand) return 0;
      return Math.max(BASE_PROBABILITY, riskOf(worker.zone, now));
    },
  };
}

/** Returns whether the cloud has announced that it reclaims the worker's instance. */
export function hasReclaimNotice(worker: Worker): boolean {
  return worker.reclaimAt !== undefined && worker.state !== WorkerState.Gone;
}

function reclaimableIn(workers: readonly Worker[], zone: string): number {
  return workers.filter(
    (worker) => worker.zone === zone && worker.purchase === Purchase.Reclaimable,
  ).length;
}
