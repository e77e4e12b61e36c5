import { RetryCause, WorkerState } from "../interface/index.ts";
import type { LoadReport, Random, Worker } from "../interface/index.ts";
import type { FairQueueOptions } from "./fair_queue.ts";
import type { Admission, Arrival, Job, Placement } from "./job.ts";
import { EMPTY_POLICY } from "./policy.ts";
import type { Policy } from "./policy.ts";

/** How a job's run ended, for what is learned from it. */
export enum RunEnd {
  Complete = "complete",
  Failed = "failed",
  Cancelled = "cancelled",
  /** Goes on elsewhere. */
  Moved = "moved",
}

/** A cache event of a backend server: late, and some are missing. */
export interface CacheEvent {
  readonly worker: string;
  readonly kind: "stored" | "evicted";
  /** Prefix hashes, as in {@linkcode Arrival}. */
  readonly blocks: readonly string[];
}

/** Whether a job that failed is sent again. */
export type Retry = { readonly kind: "retry"; readonly delay: number } | { readonly kind: "stop" };

/** What {@linkcode Scheduler.place} may use besides the job. */
export interface PlaceOptions {
  readonly now: number;
  readonly random: Random;
  /** Workers that have failed this job: never the same one twice. */
  readonly avoid: ReadonlySet<string>;
}

/** Whether a job whose first token is late is sent to a second worker as well. */
export type Hedge =
  | { readonly kind: "hedge"; readonly worker: string }
  /** Ask again after `delay` milliseconds if the first token hasn't come by then. */
  | { readonly kind: "later"; readonly delay: number }
  /** Not to be repeated, no budget, or no other worker with room. */
  | { readonly kind: "none" };

/** What {@linkcode Scheduler.hedge} may use besides the job. */
export interface HedgeOptions extends PlaceOptions {
  /** When the job was dispatched. */
  readonly dispatchedAt: number;
}

/** How a run ended, besides {@linkcode RunEnd}. */
export interface RunEndDetails {
  readonly now: number;
  /** What the answer came to, tokens resumed from included. */
  readonly answerTokens: number;
  /** The run's worker, where a hedge makes two runs of one job; else the job's only run is meant. */
  readonly worker?: string;
  /** Why a run failed: a connection that went silent says nothing against the worker. */
  readonly cause?: RetryCause;
}

/** What the scheduler believes of one worker, for status pages and tests. */
export interface WorkerSnapshot {
  readonly worker: string;
  readonly service: string;
  /** Jobs that may run at once on the worker, from all entry instances. */
  readonly limit: number;
  /** Jobs believed to be on the worker, from all entry instances. */
  readonly load: number;
  /** Jobs of this entry instance on the worker. */
  readonly own: number;
  readonly ejected: boolean;
}

/** What the scheduler believes now. */
export interface SchedulerSnapshot {
  readonly workers: readonly WorkerSnapshot[];
  readonly services: readonly ServiceSnapshot[];
}

/** One service in a {@linkcode SchedulerSnapshot}; feeds the fleet decision too. */
export interface ServiceSnapshot {
  readonly service: string;
  /** Jobs and tokens of work admitted and not yet placed, here. */
  readonly waitingJobs: number;
  readonly waitingWork: number;
  readonly runningJobs: number;
  /** Tokens of work that arrived a second over the last minute, here: admitted or refused for load. */
  readonly arriving: number;
  /** The same over the minute before. */
  readonly arrivedBefore: number;
  /** Tokens of work a second that ended over the last minute, here. */
  readonly draining: number;
}

/**
 * All decisions about requests under load, of one entry instance. The entry instance and the replay use
 * the same one. It has no clock, no randomness and no network of its own: every call passes `now`.
 */
export interface Scheduler {
  /** Puts a new revision's settings in force; what was learned and accepted stays. */
  configure(policy: Policy, now: number): void;
  /** Says how many entry instances share the workers and the accounts' bounds; 1 at first. */
  setInstances(count: number, now: number): void;
  /** Lets a request in or turns it away at once; counts it in when admitted. */
  admit(arrival: Arrival, now: number): Admission;
  /** What the queue class of the service's p-queue is made with. */
  queueOptions(service: string): FairQueueOptions;
  /**
   * Chooses the worker of a waiting job and counts the job as running there. On `wait` the job keeps its
   * place: ask again when a run has ended or a report has come.
   */
  place(job: Job, options: PlaceOptions): Placement;
  /** Says whether a job whose first token is late is sent to a second worker; counts that run in. */
  hedge(job: Job, options: HedgeOptions): Hedge;
  /** How many jobs of the service this instance may run at once, over all its workers; at least 1. */
  capacity(service: string, now: number): number;
  /** The first token of a run has come; `worker` as in {@linkcode RunEndDetails}. */
  firstToken(id: string, now: number, worker?: string): void;
  /** A further token of a run has come. */
  token(id: string, now: number, worker?: string): void;
  /** Ends the job's run on its worker. */
  runEnded(id: string, end: RunEnd, details: RunEndDetails): void;
  /** Forgets the job: it has its end. */
  settled(job: Job, now: number): void;
  retry(job: Job, cause: RetryCause, details: { now: number; random: Random }): Retry;
  setWorkers(workers: readonly Worker[], now: number): void;
  report(report: LoadReport, now: number): void;
  cacheEvent(event: CacheEvent, now: number): void;
  snapshot(now: number): SchedulerSnapshot;
}

/**
 * The first scheduler: admits all, places on the worker with the fewest of our own jobs, retries at once.
 */
export function createScheduler(policy: Policy = EMPTY_POLICY): Scheduler {
  let inForce = policy;
  let workers: readonly Worker[] = [];
  const running = new Map<string, string>();
  const outstanding = (worker: string): number =>
    [...running.values()].filter((other) => other === worker).length;
  return {
    configure: (next) => {
      inForce = next;
    },
    setInstances: () => undefined,
    queueOptions: () => ({ weightOf: (account) => inForce.accounts[account]?.weight ?? 1 }),
    hedge: () => ({ kind: "none" }),
    snapshot: () => ({ workers: [], services: [] }),
    admit: (arrival) => ({ kind: "admitted", job: admittedJob(arrival) }),
    place: (job, { avoid }) => {
      const able = workers.filter(
        (worker) =>
          worker.service === job.service &&
          worker.state === WorkerState.Live &&
          !avoid.has(worker.id),
      );
      able.sort((a, b) => outstanding(a.id) - outstanding(b.id));
      const [first] = able;
      if (first === undefined) return { kind: "wait" };
      running.set(job.id, first.id);
      return { kind: "placed", worker: first.id };
    },
    capacity: (service) => 8 * workers.filter((worker) => worker.service === service).length,
    firstToken: () => undefined,
    token: () => undefined,
    runEnded: (id) => {
      running.delete(id);
    },
    settled: () => undefined,
    retry: () => ({ kind: "retry", delay: 0 }),
    setWorkers: (known) => {
      workers = known;
    },
    report: () => undefined,
    cacheEvent: () => undefined,
  };
}

function admittedJob(arrival: Arrival): Job {
  const answerTokens = arrival.maxTokens ?? 256;
  const work = arrival.promptTokens + answerTokens;
  const estimate = { work, answerTokens, cacheTokens: work, serviceTime: answerTokens * 20 };
  return { ...arrival, estimate, resumedTokens: 0 };
}
