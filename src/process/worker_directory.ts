import type { InstanceList, Worker } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import { subscribe } from "./subscription.ts";

/** The task that keeps track of the workers. */
export interface WorkerDirectory extends WorkerView {
  /** Reads the platform's list once. */
  start(): Promise<void>;
  close(): void;
}

/** Makes the task; it knows no worker before it is started. */
export function createWorkerDirectory(list: InstanceList): WorkerDirectory {
  const listeners = new Set<() => void>();
  let workers: readonly Worker[] = [];
  return {
    list: () => workers,
    find: (id) => workers.find((worker) => worker.id === id),
    onChange: (listener) => subscribe(listeners, listener),
    start: async () => {
      workers = await list.workers();
      for (const listener of listeners) listener();
    },
    close: () => listeners.clear(),
  };
}
