import { NO_USE } from "./digest.ts";
import type { InstanceNews, WorkerUse } from "./digest.ts";

/** Number of running requests and of unprocessed prompt tokens at a worker. */
export type Occupancy = Pick<WorkerUse, "running" | "unreadTokens">;

/** The occupancy of workers by other instances. Workers are identified by the hashes of their ids. */
export interface OthersUse {
  /** Applies an instance's occupancy: a complete snapshot if `isWhole`, otherwise only the workers that changed. */
  heard(instance: string, news: Pick<InstanceNews, "use" | "isWhole">): void;
  /** Removes all instances except these, because the requests of a stopped instance have ended. */
  keepInstances(instances: ReadonlySet<string>): void;
  /** Returns the total occupancy of a worker by all other instances. */
  at(worker: number): Occupancy;
}

/** Creates an empty table. */
export function createOthersUse(): OthersUse {
  /** Occupancy by instance and worker. */
  const said = new Map<string, Map<number, Occupancy>>();
  /** Total by worker, kept up to date because each request reads every worker of its service. */
  const sums = new Map<number, Occupancy>();

  const add = (worker: number, { running, unreadTokens }: Occupancy): void => {
    const before = sums.get(worker) ?? NO_USE;
    const sum = {
      running: before.running + running,
      unreadTokens: before.unreadTokens + unreadTokens,
    };
    if (sum.running === 0 && sum.unreadTokens === 0) sums.delete(worker);
    else sums.set(worker, sum);
  };
  const forget = (instance: string): void => {
    for (const [worker, { running, unreadTokens }] of said.get(instance) ?? []) {
      add(worker, { running: -running, unreadTokens: -unreadTokens });
    }
    said.delete(instance);
  };
  return {
    heard: (instance, { use, isWhole }) => {
      if (isWhole) forget(instance);
      const known = said.get(instance) ?? new Map<number, Occupancy>();
      said.set(instance, known);
      for (const [worker, { running, unreadTokens }] of use) {
        const before = known.get(worker) ?? NO_USE;
        add(worker, {
          running: running - before.running,
          unreadTokens: unreadTokens - before.unreadTokens,
        });
        if (running === 0 && unreadTokens === 0) known.delete(worker);
        else known.set(worker, { running, unreadTokens });
      }
    },
    keepInstances: (instances) => {
      for (const instance of said.keys()) if (!instances.has(instance)) forget(instance);
    },
    at: (worker) => sums.get(worker) ?? NO_USE,
  };
}
