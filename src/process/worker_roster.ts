import type {
  Clock,
  FeedChange,
  FeedObject,
  ObjectExcess,
  RoutedWorker,
} from "../interface/index.ts";

/** The workers according to their registrations in the store. */
export interface WorkerRoster {
  /** Applies changes of registrations. */
  applyChanges(changes: readonly FeedChange[]): void;
  /** Records that the store has responded again after an outage, at a time of the clock. */
  storeReturned(at: number): void;
  /** Applies the changes that a restore of the store from a copy has caused. */
  applyRestore(changes: readonly FeedChange[]): void;
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
  /** Called with the name of a registration that can't be parsed, and with the limit that it exceeds, if any. */
  readonly onUnreadable: (name: string, excess: ObjectExcess | undefined) => void;
}

/**
 * Time for which a removal is held back after the store's recovery, in milliseconds. The platform guarantees that a
 * live worker registers again within about two seconds.
 */
const RECOVERY_TIME = 2_000;

/**
 * Time for which a removed worker is remembered, in milliseconds: longer than a copy is old from which the store is
 * restored.
 */
const REMOVAL_TTL = 60_000;

/**
 * Time after a restore in which the store removes the registration of a worker that doesn't exist, in milliseconds. A
 * registration that is still there belongs to a live worker.
 */
const EXPIRY_TIME = 6_000;

/**
 * Creates an empty roster.
 *
 * A registration expires unless it is renewed, and workers can't renew it while the store is unavailable. After the
 * store's recovery the roster would therefore be empty, and every request would be refused until the workers have
 * registered again. So removals received shortly after the recovery are held back.
 *
 * A restored store may also contain registrations of workers that have left since the copy. They are ignored until their
 * worker writes them again, or until the store would have removed them.
 */
export function createWorkerRoster(parts: WorkerRosterParts): WorkerRoster {
  const { clock } = parts;
  const workers = new Map<string, RoutedWorker>();
  const heldBack = new Map<string, RoutedWorker>();
  /** Workers whose registration was removed lately. */
  const removals = new Map<string, { readonly startedAt: number; readonly at: number }>();
  /** Registrations of removed workers that are present again since a restore. */
  const outdated = new Map<string, FeedObject>();
  let returnedAt = -Infinity;
  const isReturning = (): boolean => clock.now() - returnedAt < RECOVERY_TIME;

  const remove = (name: string, isRecent: boolean): void => {
    const worker = workers.get(name);
    workers.delete(name);
    outdated.delete(name);
    if (worker === undefined) return;
    recordRemoval(name, worker);
    if (worker.isLeaving || !isRecent) return;
    heldBack.set(name, worker);
    clock.after(returnedAt + RECOVERY_TIME - clock.now(), () => {
      if (heldBack.delete(name)) parts.onChange();
    });
  };
  const recordRemoval = (name: string, { startedAt }: RoutedWorker): void => {
    const now = clock.now();
    for (const [other, { at }] of removals) if (now - at > REMOVAL_TTL) removals.delete(other);
    removals.set(name, { startedAt, at: now });
  };
  const update = (object: FeedObject): void => {
    heldBack.delete(object.name);
    outdated.delete(object.name);
    const worker = parts.decode(object);
    if (worker !== undefined) workers.set(object.name, worker);
    else {
      workers.delete(object.name);
      parts.onUnreadable(object.name, object.excess);
    }
  };
  /** Ignores a registration that was removed before the restore, for as long as it may be outdated. */
  const ignore = (object: FeedObject): void => {
    outdated.set(object.name, object);
    clock.after(EXPIRY_TIME, () => {
      if (outdated.get(object.name) !== object) return;
      update(object);
      parts.onChange();
    });
  };
  const wasRemoved = (object: FeedObject): boolean => {
    const removal = removals.get(object.name);
    return removal !== undefined && removal.startedAt === parts.decode(object)?.startedAt;
  };
  const applyChanges = (changes: readonly FeedChange[]): void => {
    const isRecent = isReturning();
    for (const { object, removed } of changes) {
      if (removed) remove(object.name, isRecent);
      else update(object);
    }
  };
  return {
    applyChanges,
    applyRestore: (changes) => {
      returnedAt = clock.now();
      const isOutdated = ({ object, removed }: FeedChange): boolean =>
        !removed && !workers.has(object.name) && wasRemoved(object);
      for (const change of changes) {
        if (isOutdated(change)) ignore(change.object);
        else applyChanges([change]);
      }
    },
    storeReturned: (at) => {
      returnedAt = at;
    },
    list: () => [...workers.values(), ...heldBack.values()],
  };
}
