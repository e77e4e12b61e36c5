import PQueue from "p-queue";
import type { QueueAddOptions } from "p-queue";
import { createFairQueueClass } from "../decision/index.ts";
import type { FairQueue, FairRun, Job, Scheduler } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";

/** Options of {@linkcode RequestQueue.run}. */
export interface QueueOptions {
  /** Removes the job if it is still waiting. */
  readonly signal: AbortSignal;
}

/** The queues of an entry instance: one for each service, ordered by fair share. */
export interface RequestQueue {
  /**
   * Calls `work` when it is the job's turn.
   *
   * @returns The result of `work`, or undefined if the signal removed the job before its turn.
   */
  run<T>(job: Job, work: () => Promise<T>, options: QueueOptions): Promise<T | undefined>;
  /** Updates the concurrency limits after a run has ended or the workers have changed. */
  updateConcurrency(): void;
  /** Returns the number of waiting jobs over all services. */
  waitingJobs(): number;
  /**
   * Resolves at the next update of the concurrency limits, or after the given number of
   * milliseconds.
   */
  waitForChange(timeout: number): Promise<void>;
}

interface AddOptions extends QueueAddOptions {
  readonly job?: Job;
}

type ServiceQueue = PQueue<FairQueue<FairRun>, AddOptions>;

/** Creates the queues. */
export function createRequestQueue(scheduler: Scheduler, clock: Clock): RequestQueue {
  const queues = new Map<string, ServiceQueue>();
  const waiters = new Set<() => void>();
  const capacityOf = (service: string): number =>
    Math.max(1, Math.floor(scheduler.capacity(service, clock.now())));
  const queueOf = (service: string): ServiceQueue => {
    const existing = queues.get(service);
    if (existing !== undefined) return existing;
    const queueClass = createFairQueueClass(scheduler.queueOptions(service));
    const queue: ServiceQueue = new PQueue({ queueClass, concurrency: capacityOf(service) });
    queues.set(service, queue);
    return queue;
  };
  return {
    run: async (job, work, { signal }) => {
      if (signal.aborted) return undefined;
      // The queue library also rejects work that has started if its signal aborts, so the signal
      // passed to it is disconnected when the work starts.
      const removal = new AbortController();
      const remove = (): void => removal.abort(new Error("The job was removed from the queue."));
      const progress = { hasStarted: false };
      signal.addEventListener("abort", remove, { once: true });
      const task = (): ReturnType<typeof work> => {
        progress.hasStarted = true;
        signal.removeEventListener("abort", remove);
        return work();
      };
      try {
        return await queueOf(job.service).add(task, {
          id: job.id,
          job,
          signal: removal.signal,
        });
      } catch (error) {
        // The queue rejects a job that was removed. An error from the work itself is rethrown.
        if (progress.hasStarted) throw error;
        return undefined;
      }
    },
    updateConcurrency: () => {
      for (const [service, queue] of queues) queue.concurrency = capacityOf(service);
      for (const wake of [...waiters]) wake();
    },
    waitingJobs: () => [...queues.values()].reduce((sum, queue) => sum + queue.size, 0),
    waitForChange: (timeout) =>
      new Promise((resolve) => {
        const wake = (): void => {
          waiters.delete(wake);
          timer.close();
          resolve();
        };
        const timer = clock.after(timeout, wake);
        waiters.add(wake);
      }),
  };
}
