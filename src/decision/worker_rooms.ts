/**
 * Keeps all instances together within the room of brittle workers.
 *
 * Load: the workers of a service state that each of them can turn away only a few requests per
 * second. If one has to turn away more, it ends, and its load falls on the others. Each instance
 * finds out only by a rejection that a worker is full, and all of them find out at the same time.
 * Symptom: workers that end one after the other during a peak.
 *
 * Mechanism: the places of a brittle worker are divided among the instances by rendezvous hashing.
 * An instance may use its own places. If there are more instances than places, or one has more
 * requests than places, it may also try a worker whose reported load is low. Such a try may be
 * rejected, or take the place of another instance, whose request is rejected then. So all instances
 * together make fewer tries than the worker can turn away requests, in time slots that belong to
 * one instance each (see {@linkcode createWorkerLimits}), and a rejected instance leaves its places
 * at the worker unused for a while.
 *
 * @module
 */
import { mixHashes } from "../version/index.ts";
import type { WorkerHash } from "./worker_health.ts";
import { createWorkerLimits } from "./worker_limits.ts";
import type { LimitReport, WorkerLimitsOptions } from "./worker_limits.ts";

/** The load of a worker as one instance knows it. */
export interface RoomLoad {
  /** Number of requests that the worker runs at once. */
  readonly slots: number;
  /** Number of this instance's running requests. */
  readonly own: number;
  /** Number of all instances' running requests. */
  readonly total: number;
}

/** The rooms of all workers, as far as they are brittle. */
export interface WorkerRooms {
  /**
   * Records a worker's answer to a request.
   *
   * @param answer `survives` is the number of rejections per second that the worker states;
   * `sentAt` is when the request was sent, in milliseconds since 1970.
   */
  recordAnswer(worker: WorkerHash, answer: { survives: number | undefined; sentAt: number }): void;
  /** Receives the rate of tries at a worker from another instance. */
  receiveReport(report: LimitReport): void;
  /** Returns the recent changes to send to other instances, as rates of tries. */
  recentReports(): LimitReport[];
  /** Whether the worker is brittle. */
  isBrittle(worker: WorkerHash): boolean;
  /** Returns the number of rejections per second that the worker survives; undefined if it isn't brittle. */
  survives(worker: WorkerHash): number | undefined;
  /** Whether this instance may send a request to the worker now. */
  canSend(worker: WorkerHash, load: RoomLoad): boolean;
  /** Records that a request is sent to the worker. `load` doesn't include it yet. */
  recordSent(worker: WorkerHash, load: RoomLoad): void;
  /** Records that the worker rejected a request for want of room. */
  recordRejected(worker: WorkerHash): void;
  /** Deletes what is known about a worker because another worker has replaced it. */
  forget(worker: WorkerHash): void;
  /** Keeps only what is known about the given workers. */
  retainWorkers(workers: ReadonlySet<WorkerHash>): void;
}

/**
 * Tries per second as a fraction of the rejections that a worker survives. The tries of two seconds
 * may be made within one, and each of them can cause a second rejection.
 */
const TRY_FRACTION = 0.25;
/** Fraction of a worker's slots up to which its reported load counts as low. */
const LOW_LOAD = 0.75;
/**
 * Bounds in milliseconds of the time for which an instance sends nothing to a brittle worker that has
 * rejected one of its requests. Within them it is as long as the worker needs to survive a rejection
 * of each instance that has places.
 */
const MIN_REJECTION_PAUSE = 100;
const MAX_REJECTION_PAUSE = 3_000;
const MS_PER_SECOND = 1_000;

/** This instance's places at a worker, for a set of instances. */
interface OwnPlaces {
  readonly instances: readonly number[];
  readonly slots: number;
  readonly count: number;
}

/** Creates rooms without brittle workers. */
export function createWorkerRooms(options: WorkerLimitsOptions): WorkerRooms {
  const { self, time } = options;
  const tries = createWorkerLimits(options);
  const placesByWorker = new Map<WorkerHash, OwnPlaces>();
  /** When each worker last rejected a request for want of room. */
  const rejectedAt = new Map<WorkerHash, number>();
  const ownPlaces = (worker: WorkerHash, slots: number): number => {
    const instances = options.instances();
    const known = placesByWorker.get(worker);
    if (known?.instances === instances && known.slots === slots) return known.count;
    const count = divideRoom(worker, { slots, self, instances });
    placesByWorker.set(worker, { instances, slots, count });
    return count;
  };
  const isBrittle = (worker: WorkerHash): boolean => tries.limitOf(worker) !== undefined;
  const survives = (worker: WorkerHash): number | undefined => {
    const perSecond = tries.limitOf(worker);
    return perSecond === undefined ? undefined : perSecond / TRY_FRACTION;
  };
  const isPaused = (worker: WorkerHash, slots: number): boolean => {
    const at = rejectedAt.get(worker);
    if (at === undefined) return false;
    const rejections = survives(worker) ?? 0;
    const pause = (MS_PER_SECOND * Math.min(slots, options.instances().length)) / rejections;
    return time() - at < Math.min(MAX_REJECTION_PAUSE, Math.max(MIN_REJECTION_PAUSE, pause));
  };
  const hasOwnPlace = (worker: WorkerHash, { slots, own }: RoomLoad): boolean =>
    own < ownPlaces(worker, slots);
  return {
    recordAnswer: (worker, { survives: stated, sentAt }) => {
      const perSecond = stated === undefined ? undefined : stated * TRY_FRACTION;
      tries.recordAnswer(worker, { perSecond, sentAt });
    },
    receiveReport: (report) => tries.receiveReport(report),
    recentReports: () => tries.recentReports(),
    isBrittle,
    survives,
    canSend: (worker, load) => {
      if (!isBrittle(worker)) return true;
      if (isPaused(worker, load.slots)) return false;
      if (hasOwnPlace(worker, load)) return true;
      return load.total <= LOW_LOAD * (load.slots - 1) && tries.canSend(worker);
    },
    recordSent: (worker, load) => {
      if (isBrittle(worker) && !hasOwnPlace(worker, load)) tries.recordSent(worker);
    },
    recordRejected: (worker) => void rejectedAt.set(worker, time()),
    forget: (worker) => {
      tries.forget(worker);
      rejectedAt.delete(worker);
    },
    retainWorkers: (workers) => {
      tries.retainWorkers(workers);
      for (const known of [placesByWorker, rejectedAt])
        for (const worker of known.keys()) if (!workers.has(worker)) known.delete(worker);
    },
  };
}

/**
 * Returns the number of a worker's places that belong to this instance. All instances with the same
 * view of the fleet find shares that add up to the worker's places and differ by one at most.
 */
function divideRoom(
  worker: WorkerHash,
  {
    slots,
    self,
    instances,
  }: { readonly slots: number; readonly self: number; readonly instances: readonly number[] },
): number {
  const ownScore = mixHashes(self, worker);
  const rank = instances.filter((one) => mixHashes(one, worker) < ownScore).length;
  const size = Math.max(1, instances.length);
  return Math.floor(slots / size) + (rank < slots % size ? 1 : 0);
}
