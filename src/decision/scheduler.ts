import { RetryCause, WorkerState } from "../interface/index.ts";
import type { LoadReport, Random, Worker } from "../interface/index.ts";
import type { Admission, Arrival, Job, Placement } from "./job.ts";

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

/**
 * All decisions about requests under load, of one entry instance. The entry instance and the replay use
 * the same one. It has no clock, no randomness and no network of its own: every call passes `now`.
 */
export interface Scheduler {
  /** Lets a request in or turns it away at once; counts it in when admitted. */
  admit(arrival: Arrival, now: number): Admission;
  /** Orders two waiting jobs of one service: negative where `a` goes first. Replaced by the fair queue. */
  place(job: Job, options: PlaceOptions): Placement;
  /** How many jobs of the service may run at once over all its workers. */
  capacity(service: string, now: number): number;
  firstToken(id: string, now: number): void;
  token(id: string, now: number): void;
  /** Ends the job's run on its worker; `answerTokens` is what the answer came to. */
  runEnded(id: string, end: RunEnd, details: { now: number; answerTokens: number }): void;
  /** Forgets the job: it has its end. */
  settled(job: Job, now: number): void;
  retry(job: Job, cause: RetryCause, details: { now: number; random: Random }): Retry;
  setWorkers(workers: readonly Worker[], now: number): void;
  report(report: LoadReport, now: number): void;
  cacheEvent(event: CacheEvent, now: number): void;
}

/**
 * The first scheduler: admits all, places on the worker with the fewest of our own jobs, retries at once.
 */
export function createScheduler(): Scheduler {
  let workers: readonly Worker[] = [];
  const running = new Map<string, string>();
  const outstanding = (worker: string): number =>
    [...running.values()].filter((other) => other === worker).length;
  return {
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
