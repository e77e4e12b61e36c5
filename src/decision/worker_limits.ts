/**
 * Keeps all instances together within the request rate that a worker accepts.
 *
 * Load: an overloaded worker returns a rate limit, lower than the rate it receives, to every
 * instance that sends to it. If each instance used the whole limit, the worker would get it once
 * per instance. If each used an equal part on its own, hundreds of them could start one request
 * each at the same moment, a hundred times what a worker with a limit of one per second accepts.
 * Symptom: a worker that stays slow, or fails, although it has returned a limit.
 *
 * Mechanism: the time of day is divided into slots, in each of which the worker accepts a request.
 * Each slot belongs to one instance, chosen by rendezvous hashing over the instances that are
 * present. All instances find the same owner without communication, an instance that joins or
 * leaves moves only its own slots, and the total is independent of the number of instances. An
 * unused slot expires after a second, so that unused capacity cannot be used all at once.
 *
 * @module
 */
import { mixHashes } from "../version/index.ts";
import type { WorkerHash } from "./worker_health.ts";

/** A worker's limit, as instances exchange it. */
export interface LimitReport {
  readonly worker: WorkerHash;
  /**
   * Requests per second from all instances together; undefined if the worker no longer has a limit.
   */
  readonly perSecond: number | undefined;
  /** When an instance received the limit from the worker, in milliseconds since 1970. */
  readonly at: number;
}

/** The limits of all workers, as far as one instance has received them. */
export interface WorkerLimits {
  /**
   * Records a worker's answer to a request.
   *
   * @param answer `perSecond` is the limit in the answer; `sentAt` is when the request was sent, in
   * milliseconds since 1970.
   */
  recordAnswer(worker: WorkerHash, answer: { perSecond: number | undefined; sentAt: number }): void;
  /** Receives a limit from another instance. */
  receiveReport(report: LimitReport): void;
  /** Returns the recent changes to send to other instances. */
  recentReports(): LimitReport[];
  /** Returns the worker's limit in requests per second; undefined if it has none. */
  limitOf(worker: WorkerHash): number | undefined;
  /** Whether this instance may send a request to the worker now. */
  canSend(worker: WorkerHash): boolean;
  /** Records that a request is sent to the worker. */
  recordSent(worker: WorkerHash): void;
  /**
   * Returns the milliseconds until any instance may send to one of the workers; undefined if none
   * of them has a limit.
   */
  timeToNextSlot(workers: Iterable<WorkerHash>): number | undefined;
  /** Deletes a worker's limit because another worker has replaced it. */
  forget(worker: WorkerHash): void;
  /** Keeps only the limits of the given workers. */
  retainWorkers(workers: ReadonlySet<WorkerHash>): void;
}

/** Dependencies of {@linkcode createWorkerLimits}. */
export interface WorkerLimitsOptions {
  /** Returns the time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  /** Hash of this instance. */
  readonly self: number;
  /**
   * Returns the hashes of all instances that serve requests, including this one; the same array
   * until they change.
   */
  readonly instances: () => readonly number[];
}

/**
 * Milliseconds for which a slot may be used from its start. A worker thus gets at most the requests
 * of five seconds within four.
 */
const SLOT_TTL = 1_000;
/**
 * Maximum number of slots per second; a worker with a higher limit accepts several requests per
 * slot.
 */
const MAX_SLOTS_PER_SECOND = 16;
/**
 * Minimum rate in requests per second. A worker with a limit of zero still gets a request every ten
 * seconds, because only its answer can lift the limit.
 */
const MIN_LIMIT = 0.1;
/**
 * Milliseconds for which a new limit is sent to other instances, since some digests may be lost.
 */
const REPORT_DURATION = 3_000;
/** Milliseconds by which the instances' times may differ. */
const CLOCK_TOLERANCE = 50;
const MS_PER_SECOND = 1_000;

interface KnownLimit {
  perSecond: number | undefined;
  receivedAt: number;
  /** When this limit became known here: earlier slots belong to the previous limit. */
  changedAt: number;
  /** Requests sent in each slot. */
  readonly requestsBySlot: Map<number, number>;
  /** Whether each slot belongs to this instance. */
  readonly ownershipBySlot: Map<number, boolean>;
}

interface SlotRange {
  /** Length of a slot in milliseconds. */
  readonly slotLength: number;
  /** Requests per slot. */
  readonly requestsPerSlot: number;
  readonly first: number;
  readonly last: number;
}

/** Creates an empty set of limits. */
export function createWorkerLimits(options: WorkerLimitsOptions): WorkerLimits {
  const { time, self } = options;
  const limits = new Map<WorkerHash, KnownLimit>();
  let instances: readonly number[] = [];

  const setLimit = ({ worker, perSecond, at }: LimitReport): void => {
    const previous = limits.get(worker);
    if (previous !== undefined && previous.perSecond === perSecond) {
      previous.receivedAt = at;
      return;
    }
    const changedAt = time();
    limits.set(worker, {
      perSecond,
      receivedAt: at,
      changedAt,
      requestsBySlot: new Map(),
      ownershipBySlot: new Map(),
    });
  };
  /** Returns the slots that may be used now, and removes older ones. */
  const currentSlots = (
    { changedAt, requestsBySlot, ownershipBySlot }: KnownLimit,
    perSecond: number,
  ): SlotRange => {
    const limit = Math.max(MIN_LIMIT, perSecond);
    const requestsPerSlot = Math.ceil(limit / MAX_SLOTS_PER_SECOND);
    const slotLength = (requestsPerSlot * MS_PER_SECOND) / limit;
    const now = time();
    const first = Math.max(
      Math.floor((now - SLOT_TTL) / slotLength) + 1,
      Math.ceil(changedAt / slotLength),
    );
    for (const slots of [requestsBySlot, ownershipBySlot]) {
      for (const slot of slots.keys()) if (slot < first) slots.delete(slot);
    }
    return { slotLength, requestsPerSlot, first, last: Math.floor(now / slotLength) };
  };
  const isOwned = (worker: WorkerHash, slot: number, { ownershipBySlot }: KnownLimit): boolean => {
    const found = ownershipBySlot.get(slot) ?? ownerOf(mixHashes(worker, slot), instances) === self;
    ownershipBySlot.set(slot, found);
    return found;
  };
  const refreshInstances = (): void => {
    const current = options.instances();
    if (current === instances) return;
    instances = current;
    for (const { ownershipBySlot } of limits.values()) ownershipBySlot.clear();
  };
  /** Returns the first slot in which this instance may still send to the worker. */
  const freeSlot = (
    worker: WorkerHash,
    state: KnownLimit,
    perSecond: number,
  ): number | undefined => {
    refreshInstances();
    const { requestsPerSlot, first, last } = currentSlots(state, perSecond);
    for (let slot = first; slot <= last; slot++) {
      if ((state.requestsBySlot.get(slot) ?? 0) < requestsPerSlot && isOwned(worker, slot, state))
        return slot;
    }
    return undefined;
  };
  return {
    recordAnswer: (worker, { perSecond, sentAt }) => {
      const previous = limits.get(worker);
      const at = Math.max(time(), previous?.receivedAt ?? 0);
      if (perSecond !== undefined) {
        setLimit({ worker, perSecond, at });
        return;
      }
      // An answer to a request from before the limit may arrive after an answer with the limit.
      if (previous?.perSecond !== undefined && sentAt > previous.receivedAt)
        setLimit({ worker, perSecond, at });
    },
    receiveReport: ({ worker, perSecond, at }) => {
      const previous = limits.get(worker);
      if (previous === undefined && perSecond === undefined) return;
      if (at <= (previous?.receivedAt ?? 0)) return;
      setLimit({ worker, perSecond, at: Math.min(at, time() + CLOCK_TOLERANCE) });
    },
    recentReports: () => {
      const cutoff = time() - REPORT_DURATION;
      return [...limits]
        .filter(([, { changedAt }]) => changedAt >= cutoff)
        .map(([worker, { perSecond, receivedAt: at }]) => ({ worker, perSecond, at }));
    },
    limitOf: (worker) => limits.get(worker)?.perSecond,
    canSend: (worker) => {
      const state = limits.get(worker);
      if (state?.perSecond === undefined) return true;
      return freeSlot(worker, state, state.perSecond) !== undefined;
    },
    recordSent: (worker) => {
      const state = limits.get(worker);
      if (state?.perSecond === undefined) return;
      const slot = freeSlot(worker, state, state.perSecond);
      if (slot !== undefined)
        state.requestsBySlot.set(slot, (state.requestsBySlot.get(slot) ?? 0) + 1);
    },
    timeToNextSlot: (workers) => {
      let shortest: number | undefined;
      for (const worker of workers) {
        const state = limits.get(worker);
        if (state?.perSecond === undefined) continue;
        const { slotLength, last } = currentSlots(state, state.perSecond);
        shortest = Math.min(shortest ?? Infinity, (last + 1) * slotLength - time());
      }
      return shortest;
    },
    forget: (worker) => void limits.delete(worker),
    retainWorkers: (workers) => {
      for (const worker of limits.keys()) if (!workers.has(worker)) limits.delete(worker);
    },
  };
}

/** Returns the hash of the instance that a slot belongs to. */
function ownerOf(slot: number, instances: readonly number[]): number | undefined {
  let owner: number | undefined;
  let maxScore = -1;
  for (const instance of instances) {
    const score = mixHashes(instance, slot);
    if (score <= maxScore) continue;
    maxScore = score;
    owner = instance;
  }
  return owner;
}
