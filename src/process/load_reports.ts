import type { Scheduler } from "../decision/index.ts";
import { WorkerState } from "../interface/index.ts";
import type { Clock, Engine, Timer, Worker } from "../interface/index.ts";
import type { Counters, WorkerView } from "../request/index.ts";

/** Interval at which each worker's load is polled, in milliseconds. */
const POLL_INTERVAL = 1_000;

/** A task that polls the load of each worker and passes it to the scheduler. */
export interface LoadReports {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createLoadReports}. */
export interface LoadReportsParts {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly workers: WorkerView;
  readonly scheduler: Scheduler;
  readonly counters: Counters;
}

/**
 * Creates the task. It sends nothing until `start` is called. At most one poll per worker is in flight, so that a
 * worker that doesn't answer receives no further polls.
 */
export function createLoadReports(parts: LoadReportsParts): LoadReports {
  const { clock, engine, workers, scheduler, counters } = parts;
  const pending = new Set<string>();
  let timer: Timer | undefined;
  const poll = async (worker: Worker): Promise<void> => {
    if (pending.has(worker.id)) return;
    pending.add(worker.id);
    const sentAt = clock.now();
    try {
      const report = await engine.fetchLoad(worker);
      // The report is dated by the local send time, because the worker's clock differs: requests sent after the poll
      // may be missing from the report.
      scheduler.recordLoadReport({ ...report, worker: worker.id, takenAt: sentAt }, clock.now());
    } catch {
      counters.count("load-report.failed");
    } finally {
      pending.delete(worker.id);
    }
  };
  const pollAll = (): void => {
    for (const worker of workers.list()) {
      if (worker.state === WorkerState.Live) void poll(worker);
    }
    timer = clock.after(POLL_INTERVAL, pollAll);
  };
  return {
    start: pollAll,
    close: () => timer?.close(),
  };
}
