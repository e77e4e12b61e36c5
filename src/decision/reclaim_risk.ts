/**
 * How likely a worker is to be taken back soon.
 *
 * Load that it answers: reclaims come in waves. When a few instances of an availability zone get notice,
 * the rest of the zone usually follows within seconds. Work that is moved from the first onto the next is
 * moved again, and recomputed each time. One would notice it as requests with three and more attempts
 * during a wave.
 *
 * The part of a zone's reclaimable workers that got notice lately is taken as the chance that any other of
 * them gets it next. It halves in 30 s: a wave that hasn't reached a worker within a minute has most likely
 * passed it by, and a zone that is avoided for much longer is capacity that is paid for and unused.
 *
 * @module
 */
import { Purchase, WorkerState } from "../interface/index.ts";
import type { Worker } from "../interface/index.ts";

/** What is believed about reclaims, by availability zone. */
export interface ReclaimRisk {
  /** Takes in the workers as they are known now; a notice counts when it is first seen. */
  observe(workers: readonly Worker[], now: number): void;
  /** The chance, from 0 to 1, that the worker is taken before a job of a minute ends. */
  probability(worker: Worker, now: number): number;
}

const RISK_HALF_LIFE = 30_000;
/** Without any notice: about one reclaim an instance in four hours, for a job of a minute. */
const BASE_PROBABILITY = 1 / 240;

interface ZoneNotices {
  risk: number;
  at: number;
}

/** Makes a belief that has seen no notice. */
export function createReclaimRisk(): ReclaimRisk {
  const seen = new Set<string>();
  const zones = new Map<string, ZoneNotices>();
  const riskOf = (zone: string, now: number): number => {
    const notices = zones.get(zone);
    return notices === undefined ? 0 : notices.risk * 2 ** (-(now - notices.at) / RISK_HALF_LIFE);
  };
  return {
    observe: (workers, now) => {
      const fresh = workers.filter((worker) => hasReclaimNotice(worker) && !seen.has(worker.id));
      for (const worker of fresh) {
        seen.add(worker.id);
        const part = 1 / Math.max(1, reclaimableIn(workers, worker.zone));
        zones.set(worker.zone, { risk: Math.min(1, riskOf(worker.zone, now) + part), at: now });
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

/** Says whether the cloud has said that it takes the worker's instance. */
export function hasReclaimNotice(worker: Worker): boolean {
  return worker.reclaimAt !== undefined && worker.state !== WorkerState.Gone;
}

function reclaimableIn(workers: readonly Worker[], zone: string): number {
  return workers.filter(
    (worker) => worker.zone === zone && worker.purchase === Purchase.Reclaimable,
  ).length;
}
