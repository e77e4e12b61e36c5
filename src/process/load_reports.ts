import type { Scheduler } from "../decision/index.ts";
import { WorkerState } from "../interface/index.ts";
import type { Clock, Engine, Timer, Worker } from "../interface/index.ts";
import type { Counters, WorkerView } from "../request/index.ts";

/** How often each worker is asked for its load, in milliseconds. */
const PERIOD = 1_000;

/** The task that brings the workers' load reports to the scheduler. */
export interface LoadReports {
  start(): void;
  close(): void;
}

/** What the task is made with. */
export interface LoadReportsParts {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly workers: WorkerView;
  readonly scheduler: Scheduler;
  readonly counters: Counters;
}

/**
 * Makes the task; it asks nobody before it is started. One question to a worker is open at a time: a worker
 * that doesn't answer gets no more of them.
 */
export function createLoadReports(parts: LoadReportsParts): LoadReports {
  const { clock, engine, workers, scheduler, counters } = parts;
  const asked = new Set<string>();
  let timer: Timer | undefined;
  const ask = async (worker: Worker): Promise<void> => {
    if (asked.has(worker.id)) return;
    asked.add(worker.id);
    const askedAt = clock.now();
    try {
      const report = await engine.report(worker);
      // The server's clock is another one: what was sent since the question may not be in the report.
      scheduler.report({ ...report, worker: worker.id, takenAt: askedAt }, clock.now());
    } catch {
      counters.count("load-report.failed");
    } finally {
      asked.delete(worker.id);
    }
  };
  const round = (): void => {
    for (const worker of workers.list()) {
      if (worker.state === WorkerState.Live) void ask(worker);
    }
    timer = clock.after(PERIOD, round);
  };
  return {
    start: round,
    close: () => timer?.close(),
  };
}
