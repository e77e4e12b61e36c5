import type { Clock, FeedChange, FeedObject, RoutedWorker } from "../interface/index.ts";

/** The workers according to their registrations in the store. */
export interface WorkerRoster {
  /** Applies changes of registrations. */
  changed(changes: readonly FeedChange[]): void;
  /** Records that the store responds again after an outage. */
  storeReturned(): void;
  /** Whether registrations of live workers may still be missing after an outage of the store. */
  isReturning(): boolean;
  /** Lists the workers, including those whose removal is held back. */
  list(): RoutedWorker[];
}

/** Dependencies of {@linkcode createWorkerRoster}. */
export interface WorkerRosterParts {
  readonly clock: Clock;
  /** Parses a registration. Returns undefined if it describes no usable worker. */
  readonly decode: (object: FeedObject) => RoutedWorker | undefined;
  /** Called when a held-back removal takes effect, which changes the result of `list`. */
  readonly onChange: () => void;
  /** Called with the name of a registration that can't be parsed. */
  readonly onUnreadable: (name: string) => void;
}

/**
 * Time for which a removal is held back after the store's recovery, in milliseconds. The platform guarantees that a
 * live worker registers again within about two seconds.
 */
const RECOVERY_TIME = 2_000;

/**
 * Creates an empty roster.
 *
 * A registration expires unless it is renewed, and workers can't renew it while the store is unavailable. After the
 * store's recovery the roster would therefore be empty, and every request would be refused until the workers have
 * registered again. So removals received shortly after the recovery are held back.
 */
export function createWorkerRoster(parts: WorkerRosterParts): WorkerRoster {
  const { clock } = parts;
  const workers = new Map<string, RoutedWorker>();
  const heldBack = new Map<string, RoutedWorker>();
  let returnedAt = -Infinity;
  const isReturning = (): boolean => clock.now() - returnedAt < RECOVERY_TIME;

  const remove = (name: string, isRecent: boolean): void => {
    const worker = workers.get(name);
    workers.delete(name);
    if (worker === undefined || worker.isLeaving || !isRecent) return;
    heldBack.set(name, worker);
    clock.after(returnedAt + RECOVERY_TIME - clock.now(), () => {
      if (heldBack.delete(name)) parts.onChange();
    });
  };
  return {
    changed: (changes) => {
      const isRecent = isReturning();
      for (const { object, removed } of changes) {
        if (removed) {
          remove(object.name, isRecent);
          continue;
        }
        heldBack.delete(object.name);
        const worker = parts.decode(object);
        if (worker !== undefined) workers.set(object.name, worker);
        else {
          workers.delete(object.name);
          parts.onUnreadable(object.name);
        }
      }
    },
    storeReturned: () => {
      returnedAt = clock.now();
    },
    isReturning,
    list: () => [...workers.values(), ...heldBack.values()],
  };
}
