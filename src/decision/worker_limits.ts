/**
 * How much all instances together send to a worker that says how much it takes.
 *
 * Load that it answers: a worker in need names a number of requests a second, less than it gets, and has it from every
 * instance that sends to it. If each kept to the whole of it the worker would get it once an instance; if each kept to an
 * equal part by itself, hundreds of them could begin with one request each at the same moment, a hundred times what a
 * worker takes that named one a second. One would notice a worker that goes on to be slow, or fails, after it has asked
 * for less.
 *
 * So the time of day is divided into slots, in each of which the worker takes a request, and each slot belongs to one
 * instance, found by rendezvous hashing over those that are there. All find the same one without a word between them, an
 * instance that comes or goes moves only its own slots, and the sum holds whatever the number of instances. A slot that
 * isn't used is lost after a second: what has been saved up can't come all at once.
 *
 * @module
 */
import { mixHashes } from "../version/index.ts";
import type { WorkerHash } from "./worker_health.ts";

/** What a worker has said of how much it takes, as instances tell each other. */
export interface LimitStatement {
  readonly worker: WorkerHash;
  /** Requests a second from all instances together; undefined where it names none any more. */
  readonly perSecond: number | undefined;
  /** When an instance had it from the worker, in milliseconds since 1970. */
  readonly at: number;
}

/** The limits of all workers as one instance knows them. */
export interface WorkerLimits {
  /**
   * The worker has answered a request.
   *
   * @param answer `perSecond` is what it named; `sentAt` is when the request was sent, by the time that `time` gives.
   */
  answered(worker: WorkerHash, answer: { perSecond: number | undefined; sentAt: number }): void;
  /** Takes in what another instance tells. */
  heard(statement: LimitStatement): void;
  /** What is told to other instances. */
  statements(): LimitStatement[];
  /** What the worker takes a second; undefined where it has named no limit. */
  limitOf(worker: WorkerHash): number | undefined;
  /** Whether this instance may send it a request now. */
  mayTake(worker: WorkerHash): boolean;
  /** A request is sent to it. */
  took(worker: WorkerHash): void;
  /** Milliseconds until any instance may send to one of the workers; undefined where none of them has a limit. */
  opensIn(workers: Iterable<WorkerHash>): number | undefined;
  /** Forgets what is known of a worker: another one runs in its place. */
  forget(worker: WorkerHash): void;
  /** Forgets workers that are gone. */
  keepOnly(workers: ReadonlySet<WorkerHash>): void;
}

/** What the limits are made with. */
export interface WorkerLimitsParts {
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  /** This instance among them. */
  readonly self: number;
  /** Hashes of all instances that take requests, this one among them; the same array until they change. */
  readonly instances: () => readonly number[];
}

/** Milliseconds for which a slot may be used from its begin: with what is saved up, a worker gets five seconds' in four. */
const SLOT_LIFE = 1_000;
/** Slots a second at the most; a worker that takes more takes several requests in each. */
const GREATEST_SLOTS = 16;
/** A worker that takes nothing still gets a request in ten seconds: only its answer says that its need is over. */
const LEAST_LIMIT = 0.1;
/** Milliseconds for which a statement is told to others after it was new here: some digests may be lost. */
const TOLD_FOR = 3_000;
/** Milliseconds by which the instances' times may differ. */
const TIME_TOLERANCE = 50;
const SECOND = 1_000;

interface Known {
  perSecond: number | undefined;
  at: number;
  /** When this value was new here: slots from before it were another value's. */
  changedAt: number;
  /** Requests sent by slot. */
  readonly used: Map<number, number>;
  /** By slot, whether it belongs to this instance. */
  readonly owned: Map<number, boolean>;
}

interface Slots {
  /** Milliseconds that each lasts. */
  readonly length: number;
  /** Requests in each. */
  readonly requests: number;
  readonly first: number;
  readonly last: number;
}

/** Makes limits of which none is known. */
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
  /** The slots that may be used now. */
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
  /** The first slot in which this instance may still send to the worker. */
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
      // An answer to what was sent before the worker named its limit may come after one that names it.
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

/** The instance to which a slot belongs. */
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
