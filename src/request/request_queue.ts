import PQueue from "p-queue";
import type { QueueAddOptions } from "p-queue";
import { createFairQueueClass } from "../decision/index.ts";
import type { FairQueue, FairRun, Job, Scheduler } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";

/** Options of {@linkcode RequestQueue.run}. */
export interface QueueOptions {
  /** Takes the job out while it still waits. */
  readonly signal: AbortSignal;
}

/** The waiting lines of an entry instance, one for each service, in the order of the fair share. */
export interface RequestQueue {
  /**
   * Calls `work` once it is the job's turn.
   *
   * @returns What `work` resolved with, or undefined where the signal took the job out before its turn.
   */
  run<T>(job: Job, work: () => Promise<T>, options: QueueOptions): Promise<T | undefined>;
  /** Looks again at how many jobs may run: a run has ended, or the workers have changed. */
  adjust(): void;
  /** Jobs that wait for their turn, over all services. */
  waiting(): number;
  /** Resolves at the next {@linkcode adjust}, or after the given milliseconds. */
  changed(most: number): Promise<void>;
}

interface AddOptions extends QueueAddOptions {
  readonly job?: Job;
}

type ServiceQueue = PQueue<FairQueue<FairRun>, AddOptions>;

/** Makes the waiting lines. */
export function createRequestQueue(scheduler: Scheduler, clock: Clock): RequestQueue {
  const queues = new Map<string, ServiceQueue>();
  const waiters = new Set<() => void>();
  const capacityOf = (service: string): number =>
    Math.max(1, Math.floor(scheduler.capacity(service, clock.now())));
  const queueOf = (service: string): ServiceQueue => {
    const before = queues.get(service);
    if (before !== undefined) return before;
    const queueClass = createFairQueueClass(scheduler.queueOptions(service));
    const queue: ServiceQueue = new PQueue({ queueClass, concurrency: capacityOf(service) });
    queues.set(service, queue);
    return queue;
  };
  return {
    run: async (job, work, { signal }) => {
      if (signal.aborted) return undefined;
      // The queue would also reject work that has begun, while that work is still at its end.
      const leaving = new AbortController();
      const leave = (): void => leaving.abort(new Error("The job was taken out."));
      const progress = { begun: false };
      signal.addEventListener("abort", leave, { once: true });
      const task = (): ReturnType<typeof work> => {
        progress.begun = true;
        signal.removeEventListener("abort", leave);
        return work();
      };
      try {
        return await queueOf(job.service).add(task, {
          id: job.id,
          job,
          signal: leaving.signal,
        });
      } catch (error) {
        // The queue rejects what it was told to take out; an error of the work itself goes on.
        if (progress.begun) throw error;
        return undefined;
      }
    },
    adjust: () => {
      for (const [service, queue] of queues) queue.concurrency = capacityOf(service);
      for (const wake of [...waiters]) wake();
    },
    waiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size, 0),
    changed: (most) =>
      new Promise((resolve) => {
        const wake = (): void => {
          waiters.delete(wake);
          timer.close();
          resolve();
        };
        const timer = clock.after(most, wake);
        waiters.add(wake);
      }),
  };
}
