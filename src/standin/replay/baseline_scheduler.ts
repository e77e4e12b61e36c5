import type { Arrival, Job, Scheduler, ServiceSnapshot } from "../../decision/index.ts";
import { WorkerState } from "../../interface/index.ts";
import type { Worker } from "../../interface/index.ts";

/**
 * Selects a worker for a job among the candidates. `runningOn` returns how many jobs this instance
 * has on a worker.
 */
export type WorkerSelector = (
  candidates: readonly Worker[],
  runningOn: (worker: string) => number,
) => Worker | undefined;

/** Creates a selector that takes the workers in turn. */
export function roundRobin(): WorkerSelector {
  let next = 0;
  return (candidates) => candidates[next++ % candidates.length];
}

/** Selects the worker with the fewest jobs of this instance. */
export const leastOutstanding: WorkerSelector = ([first, ...others], runningOn) =>
  others.reduce(
    (fewest, worker) =>
      fewest === undefined || runningOn(worker.id) < runningOn(fewest.id) ? worker : fewest,
    first,
  );

/** Window of the arrival rate in milliseconds. */
const ARRIVAL_RATE_WINDOW = 60_000;
/** Expected answer tokens of a request without a limit. */
const DEFAULT_ANSWER_TOKENS = 256;

/**
 * Creates a scheduler that admits every request and dispatches it at once, as a simple load
 * balancer does. It has no limits, queues, hedges or ejection.
 *
 * @param choose Selects the worker of each job.
 */
export function createBaselineScheduler(choose: WorkerSelector): Scheduler {
  let workers: readonly Worker[] = [];
  const running = new Map<string, { worker: string; job: Job }>();
  const runCounts = new Map<string, number>();
  const recentArrivals: { at: number; service: string; work: number }[] = [];
  const runningOn = (worker: string): number => runCounts.get(worker) ?? 0;
  const workArrived = (service: string, from: number, until: number): number =>
    recentArrivals
      .filter((item) => item.service === service && item.at > from && item.at <= until)
      .reduce((sum, item) => sum + item.work, 0);
  const serviceSnapshot = (service: string, now: number): ServiceSnapshot => ({
    service,
    waitingJobs: 0,
    waitingWork: 0,
    runningJobs: [...running.values()].filter(({ job }) => job.service === service).length,
    arrivalRate:
      (workArrived(service, now - ARRIVAL_RATE_WINDOW, now) * 1_000) / ARRIVAL_RATE_WINDOW,
    previousArrivalRate:
      (workArrived(service, now - 2 * ARRIVAL_RATE_WINDOW, now - ARRIVAL_RATE_WINDOW) * 1_000) /
      ARRIVAL_RATE_WINDOW,
    completionRate: 0,
  });
  const adopt = (arrival: Arrival, now: number): Job => {
    const answerTokens = arrival.maxTokens ?? DEFAULT_ANSWER_TOKENS;
    const work = arrival.promptTokens + answerTokens;
    recentArrivals.push({ at: now, service: arrival.service, work });
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
      const candidates = workers.filter(
        ({ id, service, state }) =>
          service === job.service && state === WorkerState.Live && !avoid.has(id),
      );
      const chosen = choose(candidates, runningOn);
      if (chosen === undefined) return { kind: "wait" };
      const { id } = chosen;
      running.set(job.id, { worker: id, job });
      runCounts.set(id, runningOn(id) + 1);
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
      runCounts.set(run.worker, runningOn(run.worker) - 1);
    },
    jobEnded: () => undefined,
    retry: () => ({ kind: "retry", delay: 0 }),
    setWorkers: (updated) => {
      workers = updated;
    },
    recordLoadReport: () => undefined,
    recordCacheEvent: () => undefined,
    snapshot: (now) => {
      while (
        recentArrivals[0] !== undefined &&
        recentArrivals[0].at <= now - 2 * ARRIVAL_RATE_WINDOW
      )
        recentArrivals.shift();
      const services = [...new Set(workers.map((worker) => worker.service))];
      return { workers: [], services: services.map((service) => serviceSnapshot(service, now)) };
    },
  };
}
