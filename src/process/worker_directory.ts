import { sleep, WorkerState } from "../interface/index.ts";
import type { Clock, InstanceList, Random, Worker } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import type { Membership } from "./membership.ts";
import { subscribe } from "./subscription.ts";

/** Interval between two reads of the platform's instance list, in milliseconds. The list itself lags by far more. */
const LIST_POLL_INTERVAL = 3_000;

/** A task that keeps track of the workers. */
export interface WorkerDirectory extends WorkerView {
  /** Reads the platform's list once, then polls it periodically. */
  start(): Promise<void>;
  close(): void;
}

/** Dependencies of {@linkcode createWorkerDirectory}. */
export interface WorkerDirectoryParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly instances: InstanceList;
  /** Source of leaving workers. It reports them long before the platform's list shows them. */
  readonly members: Pick<Membership, "leavingWorkers" | "onChange">;
  readonly count: (name: string) => void;
}

/** Creates the task. Its list is empty until `start` is called. */
export function createWorkerDirectory(parts: WorkerDirectoryParts): WorkerDirectory {
  const { clock, random, instances, members } = parts;
  const listeners = new Set<() => void>();
  let listed: readonly Worker[] = [];
  let workers: readonly Worker[] = [];
  let byId = new Map<string, Worker>();
  let lastSnapshot = "";
  let closed = false;
  const isClosed = (): boolean => closed;

  const update = (): void => {
    const leaving = members.leavingWorkers();
    workers = listed.map((worker) => withLeavingState(worker, leaving));
    byId = new Map(workers.map((worker) => [worker.id, worker]));
    const snapshot = JSON.stringify(workers);
    if (snapshot === lastSnapshot) return;
    lastSnapshot = snapshot;
    for (const listener of listeners) listener();
  };
  const read = async (): Promise<void> => {
    try {
      listed = await instances.workers();
      update();
    } catch {
      // The last list stays in use: peers report leaving workers, and requests to dead workers fail.
      parts.count("workers.list-unavailable");
    }
  };
  const pollPeriodically = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, LIST_POLL_INTERVAL * (0.75 + 0.5 * random.next()));
      if (!isClosed()) await read();
    }
  };
  const subscription = members.onChange(update);
  return {
    list: () => workers,
    find: (id) => byId.get(id),
    onChange: (listener) => subscribe(listeners, listener),
    start: async () => {
      await read();
      void pollPeriodically();
    },
    close: () => {
      closed = true;
      subscription.close();
      listeners.clear();
    },
  };
}

/** Applies a leaving mark. It is permanent for a worker id, because a restarted worker has a new id. */
function withLeavingState(worker: Worker, leaving: ReadonlySet<string>): Worker {
  const takesWork = worker.state === WorkerState.Live || worker.state === WorkerState.Starting;
  return takesWork && leaving.has(worker.id) ? { ...worker, state: WorkerState.Leaving } : worker;
}
