import type { Clock, WorkerEndpoint } from "../interface/index.ts";

/** What workers have stated about themselves. Workers are identified by `ID@START`, see {@linkcode startKey}. */
export interface WorkerStatements {
  /** Records that a worker is leaving. Returns whether this wasn't known before. */
  recordLeaving(worker: string): boolean;
  /** Whether a worker has announced that it is leaving. */
  isLeaving(worker: string): boolean;
  /** Records that a worker wants no requests from this instance for this many milliseconds. */
  recordPause(worker: string, duration: number): void;
  /** Returns the clock time until which a worker wants no requests from this instance. */
  pausedUntil(worker: string): number;
}

/**
 * Time for which a statement is kept after it was last received, in milliseconds. A worker may serve its remaining
 * requests for minutes.
 */
const STATEMENT_TTL = 600_000;

/** Returns the key of a worker's process. A restarted worker may keep its id and hasn't stated anything yet. */
export function startKey({ id, startedAt }: Pick<WorkerEndpoint, "id" | "startedAt">): string {
  return `${id}@${startedAt}`;
}

/** Returns the id of the worker whose process has this key. */
export function idOfStartKey(key: string): string {
  return key.slice(0, key.lastIndexOf("@"));
}

/**
 * Creates an empty record.
 *
 * The statements are kept independently of the list of workers: an entry may expire while the store is unavailable and
 * appear again, and a statement may arrive before the entry.
 */
export function createWorkerStatements({ clock }: { readonly clock: Clock }): WorkerStatements {
  /** When each leaving worker's statement was last received, oldest first. */
  const leavingSince = new Map<string, number>();
  /** Clock time at which the pause of each worker that asked for one ends. */
  const pauseEnds = new Map<string, number>();
  const removeExpired = (): void => {
    const now = clock.now();
    for (const [worker, at] of leavingSince) {
      if (at >= now - STATEMENT_TTL) break;
      leavingSince.delete(worker);
    }
    for (const [worker, until] of pauseEnds) if (until <= now) pauseEnds.delete(worker);
  };
  const pausedUntil = (worker: string): number => pauseEnds.get(worker) ?? -Infinity;
  return {
    recordLeaving: (worker) => {
      removeExpired();
      const isNew = !leavingSince.delete(worker);
      leavingSince.set(worker, clock.now());
      return isNew;
    },
    isLeaving: (worker) => leavingSince.has(worker),
    recordPause: (worker, duration) => {
      removeExpired();
      pauseEnds.set(worker, Math.max(pausedUntil(worker), clock.now() + duration));
    },
    pausedUntil,
  };
}
