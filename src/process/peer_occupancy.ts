import { NO_WORKER_COUNTS } from "./digest.ts";
import type { InstanceUpdate, WorkerCounts } from "./digest.ts";

/** Number of running requests and of unprocessed prompt tokens at a worker. */
export type Occupancy = Pick<WorkerCounts, "running" | "unreadTokens">;

/** The occupancy of workers by other instances. Workers are identified by the hashes of their ids. */
export interface PeerOccupancy {
  /** Applies an instance's occupancy: a complete snapshot if `isSnapshot`, otherwise only the workers that changed. */
  update(instance: string, update: Pick<InstanceUpdate, "workerCounts" | "isSnapshot">): void;
  /** Removes all instances except these, because the requests of a stopped instance have ended. */
  retainInstances(instances: ReadonlySet<string>): void;
  /** Returns the total occupancy of a worker by all other instances. */
  at(worker: number): Occupancy;
}

/** Creates an empty table. */
export function createPeerOccupancy(): PeerOccupancy {
  /** Occupancy by instance and worker. */
  const byInstance = new Map<string, Map<number, Occupancy>>();
  /** Total by worker, kept up to date because each request reads every worker of its service. */
  const totals = new Map<number, Occupancy>();

  const add = (worker: number, { running, unreadTokens }: Occupancy): void => {
    const before = totals.get(worker) ?? NO_WORKER_COUNTS;
    const total = {
      running: before.running + running,
      unreadTokens: before.unreadTokens + unreadTokens,
    };
    if (total.running === 0 && total.unreadTokens === 0) totals.delete(worker);
    else totals.set(worker, total);
  };
  const remove = (instance: string): void => {
    for (const [worker, { running, unreadTokens }] of byInstance.get(instance) ?? []) {
      add(worker, { running: -running, unreadTokens: -unreadTokens });
    }
    byInstance.delete(instance);
  };
  return {
    update: (instance, { workerCounts, isSnapshot }) => {
      if (isSnapshot) remove(instance);
      const occupancy = byInstance.get(instance) ?? new Map<number, Occupancy>();
      byInstance.set(instance, occupancy);
      for (const [worker, { running, unreadTokens }] of workerCounts) {
        const before = occupancy.get(worker) ?? NO_WORKER_COUNTS;
        add(worker, {
          running: running - before.running,
          unreadTokens: unreadTokens - before.unreadTokens,
        });
        if (running === 0 && unreadTokens === 0) occupancy.delete(worker);
        else occupancy.set(worker, { running, unreadTokens });
      }
    },
    retainInstances: (instances) => {
      for (const instance of byInstance.keys()) if (!instances.has(instance)) remove(instance);
    },
    at: (worker) => totals.get(worker) ?? NO_WORKER_COUNTS,
  };
}
