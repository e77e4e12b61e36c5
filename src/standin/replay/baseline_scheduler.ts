import type { Arrival, Job, Scheduler, ServiceSnapshot } from "../../decision/index.ts";
import { WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";

/** Chooses among the workers that a job may go to; `own` counts this instance's jobs on a worker. */
export type Choose = (
  able: readonly Worker[],
  own: (worker: string) => number,
) => Worker | undefined;

/** Takes the workers in turn. */
export function roundRobin(): Choose {
  let turn = 0;
  return (able) => able[turn++ % able.length];
}

/** Takes the worker with the fewest of this instance's own jobs. */
export const leastOutstanding: Choose = ([first, ...others], own) =>
  others.reduce(
    (least, worker) => (least === undefined || own(worker.id) < own(least.id) ? worker : least),
    first,
  );

const RATE_WINDOW = 60_000;
/** Answer tokens that are expected of a request that names no bound. */
const DEFAULT_ANSWER = 256;

/**
 * Makes a scheduler that lets all in and sends it on at once: what a plain load balancer does. It has no
 * limits, queues, hedges or ejection.
 */
export function createBaselineScheduler(choose: Choose): Scheduler {
  let workers: readonly Worker[] = [];
  const running = new Map<string, { worker: string; job: Job }>();
  const counts = new Map<string, number>();
  const arrived: { at: number; service: string; work: number }[] = [];
  const own = (worker: string): number => counts.get(worker) ?? 0;
  const arrivedBetween = (service: string, from: number, until: number): number =>
    arrived
      .filter((one) => one.service === service && one.at > from && one.at <= until)
      .reduce((sum, one) => sum + one.work, 0);
  const serviceSnapshot = (service: string, now: number): ServiceSnapshot => ({
    service,
    waitingJobs: 0,
    waitingWork: 0,
    runningJobs: [...running.values()].filter(({ job }) => job.service === service).length,
    arrivalRate: (arrivedBetween(service, now - RATE_WINDOW, now) * 1_000) / RATE_WINDOW,
    previousArrivalRate:
      (arrivedBetween(service, now - 2 * RATE_WINDOW, now - RATE_WINDOW) * 1_000) / RATE_WINDOW,
    completionRate: 0,
  });
  const adopt = (arrival: Arrival, now: number): Job => {
    const answerTokens = arrival.maxTokens ?? DEFAULT_ANSWER;
    const work = arrival.promptTokens + answerTokens;
    arrived.push({ at: now, service: arrival.service, work });
    const estimate = { work, answerTokens, cacheTokens: work, serviceTime: answerTokens * 20 };
    return { ...arrival, estimate, resumedTokens: 0 };
  };
  return {
    configure: () => undefined,
    setInstances: () => undefined,
    adopt,
    admit: (arrival, now) => ({ kind: "admitted", job: adopt(arrival, now) }),
    queueOptions: () => ({ weightOf: () => 1 }),
    place: (job, { avoid }) => {
      const able = workers.filter(
        ({ id, service, state }) =>
          service === job.service && state === WorkerState.Live && !avoid.has(id),
      );
      const chosen = choose(able, own);
      if (chosen === undefined) return { kind: "wait" };
      const { id } = chosen;
      running.set(job.id, { worker: id, job });
      counts.set(id, own(id) + 1);
      return { kind: "placed", worker: id };
    },
    hedge: () => ({ kind: "none" }),
    capacity: () => Number.MAX_SAFE_INTEGER,
    recordFirstToken: () => undefined,
    recordToken: () => undefined,
    runEnded: (id) => {
      const run = running.get(id);
      if (run === undefined) return;
      running.delete(id);
      counts.set(run.worker, own(run.worker) - 1);
    },
    jobEnded: () => undefined,
    retry: () => ({ kind: "retry", delay: 0 }),
    setWorkers: (known) => {
      workers = known;
    },
    recordLoadReport: () => undefined,
    recordCacheEvent: () => undefined,
    snapshot: (now) => {
      while (arrived[0] !== undefined && arrived[0].at <= now - 2 * RATE_WINDOW) arrived.shift();
      const services = [...new Set(workers.map((worker) => worker.service))];
      return { workers: [], services: services.map((service) => serviceSnapshot(service, now)) };
    },
  };
}
