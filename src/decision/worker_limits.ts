/**
 * Keeps all instances together within the request rate that a worker accepts.
 *
 * Load: an overloaded worker returns a rate limit, lower than the rate it receives, to every
 * instance that sends to it. If each instance used the whole limit, the worker would get it once
 * per instance. If each used an equal part on its own, hundreds of them could start one request
 * each at the same moment, a hundred times what a worker with a limit of one per second accepts.
 * Symptom: a worker that stays slow, or fails, after it has asked for less.
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
export interface LimitStatement {
  readonly worker: WorkerHash;
  /**
   * Requests per second from all instances together; undefined if the worker no longer has a limit.
   */
  readonly perSecond: number | undefined;
  /** When an instance received the limit from the worker, in milliseconds since 1970. */
  readonly at: number;
}

/** The limits of all workers, as one instance knows them. */
export interface WorkerLimits {
  /**
   * Records a worker's answer to a request.
   *
   * @param answer `perSecond` is the limit in the answer; `sentAt` is when the request was sent, in
   * milliseconds since 1970.
   */
  answered(worker: WorkerHash, answer: { perSecond: number | undefined; sentAt: number }): void;
  /** Receives a limit from another instance. */
  heard(statement: LimitStatement): void;
  /** Returns the recent changes to send to other instances. */
  statements(): LimitStatement[];
  /** Returns the worker's limit in requests per second; undefined if it has none. */
  limitOf(worker: WorkerHash): number | undefined;
  /** Whether this instance may send a request to the worker now. */
  mayTake(worker: WorkerHash): boolean;
  /** Records that a request is sent to the worker. */
  took(worker: WorkerHash): void;
  /**
   * Returns the milliseconds until any instance may send to one of the workers; undefined if none
   * of them has a limit.
   */
  opensIn(workers: Iterable<WorkerHash>): number | undefined;
  /** Deletes a worker's limit because another worker has replaced it. */
  forget(worker: WorkerHash): void;
  /** Deletes the limits of all other workers. */
  keepOnly(workers: ReadonlySet<WorkerHash>): void;
}

/**
 * Dependencies of {@linkcode createWorkerLimits}.
 */
export interface WorkerLimitsParts {
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
const SLOT_LIFE = 1_000;
/**
 * Maximum number of slots per second; a worker with a higher limit accepts several requests per
 * slot.
 */
const GREATEST_SLOTS = 16;
/**
 * Minimum rate in requests per second. A worker with a limit of zero still gets a request every ten
 * seconds, because only its answer can lift the limit.
 */
const LEAST_LIMIT = 0.1;
/**
 * Milliseconds for which a new limit is sent to other instances, since some digests may be lost.
 */
const TOLD_FOR = 3_000;
/** Milliseconds by which the instances' times may differ. */
const TIME_TOLERANCE = 50;
const SECOND = 1_000;

interface Known {
  perSecond: number | undefined;
  at: number;
  /** When this limit became known here: earlier slots belong to the previous limit. */
  changedAt: number;
  /** Requests sent in each slot. */
  readonly used: Map<number, number>;
  /** Whether each slot belongs to this instance. */
  readonly owned: Map<number, boolean>;
}

interface Slots {
  /** Length of a slot in milliseconds. */
  readonly length: number;
  /** Requests per slot. */
  readonly requests: number;
  readonly first: number;
  readonly last: number;
}

/** Creates an empty set of limits. */
export function createWorkerLimits(parts: WorkerLimitsParts): WorkerLimits {
  const { time, self } = parts;
  const known = new Map<WorkerHash, Known>();
  let instances: readonly number[] = [];

  const set = ({ worker, perSecond, at }: LimitStatement): void => {
    const before = known.get(worker);
    if (before !== undefined && before.perSecond === perSecond) {
      before.at = at;
      return;
    }
    const changedAt = time();
    known.set(worker, { perSecond, at, changedAt, used: new Map(), owned: new Map() });
  };
  /** Returns the slots that may be used now, and removes older ones. */
  const slotsOf = ({ changedAt, used, owned }: Known, perSecond: number): Slots => {
    const limit = Math.max(LEAST_LIMIT, perSecond);
    const requests = Math.ceil(limit / GREATEST_SLOTS);
    const length = (requests * SECOND) / limit;
    const now = time();
    const first = Math.max(
      Math.floor((now - SLOT_LIFE) / length) + 1,
      Math.ceil(changedAt / length),
    );
    for (const slots of [used, owned]) {
      for (const slot of slots.keys()) if (slot < first) slots.delete(slot);
    }
    return { length, requests, first, last: Math.floor(now / length) };
  };
  const owns = (worker: WorkerHash, slot: number, { owned }: Known): boolean => {
    const found = owned.get(slot) ?? ownerOf(mixHashes(worker, slot), instances) === self;
    owned.set(slot, found);
    return found;
  };
  const refresh = (): void => {
    const now = parts.instances();
    if (now === instances) return;
    instances = now;
    for (const { owned } of known.values()) owned.clear();
  };
  /** Returns the first slot in which this instance may still send to the worker. */
  const freeSlot = (worker: WorkerHash, of: Known, perSecond: number): number | undefined => {
    refresh();
    const { requests, first, last } = slotsOf(of, perSecond);
    for (let slot = first; slot <= last; slot++) {
      if ((of.used.get(slot) ?? 0) < requests && owns(worker, slot, of)) return slot;
    }
    return undefined;
  };
  return {
    answered: (worker, { perSecond, sentAt }) => {
      const before = known.get(worker);
      const at = Math.max(time(), before?.at ?? 0);
      if (perSecond !== undefined) {
        set({ worker, perSecond, at });
        return;
      }
      // An answer to a request from before the limit may arrive after an answer with the limit.
      if (before?.perSecond !== undefined && sentAt > before.at) set({ worker, perSecond, at });
    },
    heard: ({ worker, perSecond, at }) => {
      const before = known.get(worker);
      if (before === undefined && perSecond === undefined) return;
      if (at <= (before?.at ?? 0)) return;
      set({ worker, perSecond, at: Math.min(at, time() + TIME_TOLERANCE) });
    },
    statements: () => {
      const from = time() - TOLD_FOR;
      return [...known]
        .filter(([, { changedAt }]) => changedAt >= from)
        .map(([worker, { perSecond, at }]) => ({ worker, perSecond, at }));
    },
    limitOf: (worker) => known.get(worker)?.perSecond,
    mayTake: (worker) => {
      const of = known.get(worker);
      if (of?.perSecond === undefined) return true;
      return freeSlot(worker, of, of.perSecond) !== undefined;
    },
    took: (worker) => {
      const of = known.get(worker);
      if (of?.perSecond === undefined) return;
      const slot = freeSlot(worker, of, of.perSecond);
      if (slot !== undefined) of.used.set(slot, (of.used.get(slot) ?? 0) + 1);
    },
    opensIn: (workers) => {
      let least: number | undefined;
      for (const worker of workers) {
        const of = known.get(worker);
        if (of?.perSecond === undefined) continue;
        const { length, last } = slotsOf(of, of.perSecond);
        least = Math.min(least ?? Infinity, (last + 1) * length - time());
      }
      return least;
    },
    forget: (worker) => void known.delete(worker),
    keepOnly: (workers) => {
      for (const worker of known.keys()) if (!workers.has(worker)) known.delete(worker);
    },
  };
}

/** Returns the hash of the instance that a slot belongs to. */
function ownerOf(slot: number, instances: readonly number[]): number | undefined {
  let owner: number | undefined;
  let highest = -1;
  for (const instance of instances) {
    const score = mixHashes(instance, slot);
    if (score <= highest) continue;
    highest = score;
    owner = instance;
  }
  return owner;
}
