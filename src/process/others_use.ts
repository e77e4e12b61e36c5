import { NO_USE } from "./digest.ts";
import type { InstanceNews, WorkerUse } from "./digest.ts";

/** Requests and unread prompt tokens at a worker. */
export type Occupancy = Pick<WorkerUse, "running" | "unreadTokens">;

/** What the other instances have at workers, which are named by the hashes of their ids. */
export interface OthersUse {
  /** What an instance has at workers; nothing has changed at those that it doesn't name, unless that is all. */
  heard(instance: string, news: Pick<InstanceNews, "use" | "isWhole">): void;
  /** Forgets all instances but these: what they had at workers has ended. */
  keepInstances(instances: ReadonlySet<string>): void;
  /** What all of them have at a worker. */
  at(worker: number): Occupancy;
}

/** Makes what is known of nobody. */
export function createOthersUse(): OthersUse {
  /** By instance, what it has at workers. */
  const said = new Map<string, Map<number, Occupancy>>();
  /** By worker, all of it added up: a request looks at every worker of its service. */
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
