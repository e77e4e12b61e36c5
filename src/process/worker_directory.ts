import { sleep, WorkerState } from "../interface/index.ts";
import type { Clock, InstanceList, Random, Worker } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import type { Membership } from "./membership.ts";
import { subscribe } from "./subscription.ts";

/** Milliseconds between reads of the platform's list; it lags by far more than that. */
const LIST_PERIOD = 3_000;

/** The task that keeps track of the workers. */
export interface WorkerDirectory extends WorkerView {
  /** Reads the platform's list, then follows it. */
  start(): Promise<void>;
  close(): void;
}

/** What the directory is made with. */
export interface DirectoryParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly instances: InstanceList;
  /** Who tells of workers that leave, long before the platform's list does. */
  readonly members: Pick<Membership, "leavingWorkers" | "onChange">;
  readonly count: (name: string) => void;
}

/** Makes the task; it knows no worker before it is started. */
export function createWorkerDirectory(parts: DirectoryParts): WorkerDirectory {
  const { clock, random, instances, members } = parts;
  const listeners = new Set<() => void>();
  let listed: readonly Worker[] = [];
  let workers: readonly Worker[] = [];
  let byId = new Map<string, Worker>();
  let known = "";
  let closed = false;
  const isClosed = (): boolean => closed;

  const update = (): void => {
    const leaving = members.leavingWorkers();
    workers = listed.map((worker) => withMark(worker, leaving));
    byId = new Map(workers.map((worker) => [worker.id, worker]));
    const now = JSON.stringify(workers);
    if (now === known) return;
    known = now;
    for (const listener of listeners) listener();
  };
  const read = async (): Promise<void> => {
    try {
      listed = await instances.workers();
      update();
    } catch {
      // The last list goes on to hold: leaving marks come from peers, and dead workers show themselves.
      parts.count("workers.list-unavailable");
    }
  };
  const follow = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, LIST_PERIOD * (0.75 + 0.5 * random.next()));
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
      void follow();
    },
    close: () => {
      closed = true;
      subscription.close();
      listeners.clear();
    },
  };
}

/** A worker that was once said to leave never comes back: a restarted one has another id. */
function withMark(worker: Worker, leaving: ReadonlySet<string>): Worker {
  const takesWork = worker.state === WorkerState.Live || worker.state === WorkerState.Starting;
  return takesWork && leaving.has(worker.id) ? { ...worker, state: WorkerState.Leaving } : worker;
}
