/**
 * Decides which workers an instance reaches directly, and which ones only through another instance.
 *
 * Load: an instance is partitioned from some or all workers while its callers, the store and the
 * other instances still reach it. Connections hang, are reset or are refused; open ones may live
 * on. Each request would find this out by itself, one worker after the other, until its deadline,
 * and the workers that aren't reached count against the room that is left. Symptom: the callers of
 * one instance fail while those of the others are served.
 *
 * Mechanism: the state is kept for each worker. A failure alone says nothing, because workers end,
 * too. If another instance then opens a connection to the worker, the direct path to this worker is
 * lost: connections go through other instances until a direct one works again. A path that is lost
 * again soon after its return is tried less and less often, so that it doesn't alternate. If other
 * instances are refused as well, the worker has ended.
 *
 * If connections to two workers have failed and no new one has worked since, the path to all of
 * them is the likely cause. Until one works, workers without any failure are reached through other
 * instances first, too: a request that is sent on a connection that is then reset may be lost.
 *
 * Several attempts are made to reach a worker that has ended. The first connection to another one
 * that works shows that the earlier failures were the workers' own. Further failures of the same
 * workers are then no evidence on the path to others.
 *
 * @module
 */
import type { WorkerEndpoint } from "../interface/index.ts";

/** How a direct connection to a worker failed. */
export enum PathFault {
  /** It was refused. */
  Refused = "refused",
  /** There was no response in time, or the network failed. */
  Unanswered = "unanswered",
  /** It was accepted and broke before it delivered any data. */
  Broken = "broken",
}

/** The evidence on the paths from one instance to the workers. Times are in milliseconds of the clock. */
export interface WorkerReachability {
  /** Records that a new direct connection to the worker works. */
  recordWorking(worker: string, now: number): void;
  /** Records that a direct connection to the worker failed. */
  recordFailed(worker: string, fault: PathFault, now: number): void;
  /** Records that another instance has opened a connection to the worker. */
  recordDetour(worker: WorkerEndpoint, now: number): void;
  /** Records that the worker has ended: another instance was refused, too. */
  recordEnded(worker: string, now: number): void;
  /** Whether the worker was found to have ended a moment ago. */
  hasEnded(worker: string, now: number): boolean;
  /** Whether connections to the worker are opened through another instance first. */
  prefersDetour(worker: string, now: number): boolean;
  /** Whether the direct path to the worker is lost, although another instance reaches it. */
  isLost(worker: string, now: number): boolean;
  /** The last fault of the path to the worker; undefined if there was none recently. */
  faultOf(worker: string, now: number): PathFault | undefined;
  /** Whether the path to all workers is probably lost. */
  isCutOff(now: number): boolean;
  /** Whether a refused connection says that the worker has ended, as far as this instance knows. */
  canWitness(now: number): boolean;
  /** Returns some of the lost workers whose direct path may be tried now. Each call returns other ones. */
  nextChecks(now: number): readonly WorkerEndpoint[];
  /** Number of workers that are reached only through other instances. */
  readonly lostCount: number;
  /** Ids of the workers that are reached only through other instances. */
  lostWorkers(): readonly string[];
  /** Keeps only what is known of the given workers. */
  retainWorkers(workers: ReadonlySet<string>): void;
}

/** Number of workers whose connections must have failed: a single one has more likely failed itself. */
const MIN_FAILED_WORKERS = 2;
/** Milliseconds for which a failure counts. Without requests or further attempts, nothing is known. */
const FAILURE_TTL = 3_000;
/** Milliseconds after the last connection through another instance for which a path counts as lost. */
const LOST_TTL = 30_000;
/** Milliseconds for which the end of a worker needs no confirmation by another instance. */
const ENDED_TTL = 1_000;
/** Milliseconds until the direct path to a lost worker is tried. */
const MIN_CHECK_DELAY = 250;
/** Maximum of this time for a path that is lost again and again. */
const MAX_CHECK_DELAY = 8_000;
/** Milliseconds after its return within which a lost path counts as lost again. */
const RELAPSE_TIME = 10_000;
/** Maximum number of lost workers that are tried at the same time. */
const MAX_CHECKS = 8;

/** The last failure of a direct connection to a worker. */
interface Failure {
  readonly at: number;
  readonly fault: PathFault;
  /** Whether it was the worker's own: it has ended, or a connection to another one worked afterwards. */
  readonly isOwn: boolean;
}

/** The lost path to a worker. */
interface LostPath {
  readonly worker: WorkerEndpoint;
  fault: PathFault;
  expiresAt: number;
  checkAt: number;
  readonly checkDelay: number;
}

/** The return of a lost path. */
interface Return {
  readonly at: number;
  /** The time after which the path was tried when it was lost. */
  readonly checkDelay: number;
}

/** Creates the evidence of an instance that has not opened any connection. */
export function createWorkerReachability(): WorkerReachability {
  const failures = new Map<string, Failure>();
  const lost = new Map<string, LostPath>();
  const returns = new Map<string, Return>();
  const endedAt = new Map<string, number>();
  let lastFault = PathFault.Unanswered;

  const dropExpired = (now: number): void => {
    for (const [id, { at }] of failures) if (at < now - FAILURE_TTL) failures.delete(id);
  };
  const isCutOff = (now: number): boolean => {
    dropExpired(now);
    let count = 0;
    for (const { isOwn } of failures.values()) if (!isOwn) count++;
    return count >= MIN_FAILED_WORKERS;
  };
  const checkDelayOf = (id: string, now: number): number => {
    const last = returns.get(id);
    returns.delete(id);
    if (last === undefined || now - last.at >= RELAPSE_TIME) return MIN_CHECK_DELAY;
    return Math.min(MAX_CHECK_DELAY, 2 * last.checkDelay);
  };
  const pathOf = (id: string, now: number): LostPath | undefined => {
    const path = lost.get(id);
    if (path === undefined || path.expiresAt > now) return path;
    lost.delete(id);
    return undefined;
  };
  const faultOf = (id: string, now: number): PathFault | undefined => {
    dropExpired(now);
    return pathOf(id, now)?.fault ?? failures.get(id)?.fault;
  };
  return {
    recordWorking: (id, now) => {
      const path = lost.get(id);
      if (path !== undefined) returns.set(id, { at: now, checkDelay: path.checkDelay });
      lost.delete(id);
      failures.delete(id);
      for (const [other, failure] of failures) failures.set(other, { ...failure, isOwn: true });
    },
    recordFailed: (id, fault, now) => {
      dropExpired(now);
      lastFault = fault;
      const path = lost.get(id);
      if (path !== undefined) path.fault = fault;
      const known = failures.get(id);
      const isOwn = known?.isOwn ?? false;
      const at = isOwn && path === undefined ? (known?.at ?? now) : now;
      failures.set(id, { at, fault, isOwn });
    },
    recordDetour: (worker, now) => {
      const { id } = worker;
      const known = pathOf(id, now);
      if (known !== undefined) known.expiresAt = now + LOST_TTL;
      const fault = faultOf(id, now);
      if (known !== undefined || fault === undefined) return;
      const checkDelay = checkDelayOf(id, now);
      const expiresAt = now + LOST_TTL;
      lost.set(id, { worker, fault, expiresAt, checkAt: now + checkDelay, checkDelay });
    },
    recordEnded: (id, now) => {
      lost.delete(id);
      for (const [other, at] of endedAt) if (at < now - ENDED_TTL) endedAt.delete(other);
      endedAt.set(id, now);
      failures.set(id, { at: now, fault: PathFault.Refused, isOwn: true });
    },
    hasEnded: (id, now) => now - (endedAt.get(id) ?? -Infinity) < ENDED_TTL,
    isLost: (id, now) => pathOf(id, now) !== undefined,
    prefersDetour: (id, now) =>
      pathOf(id, now) !== undefined || faultOf(id, now) === PathFault.Broken || isCutOff(now),
    faultOf: (id, now) => faultOf(id, now) ?? (isCutOff(now) ? lastFault : undefined),
    isCutOff,
    canWitness: (now) =>
      ![...lost.keys()].some((id) => pathOf(id, now)?.fault === PathFault.Refused),
    nextChecks: (now) => {
      const due: WorkerEndpoint[] = [];
      for (const id of [...lost.keys()].slice(0, MAX_CHECKS)) {
        const path = pathOf(id, now);
        if (path === undefined) continue;
        // Behind the others, so that all are tried in turn.
        lost.delete(id);
        lost.set(id, path);
        if (path.checkAt > now) continue;
        path.checkAt = now + path.checkDelay;
        due.push(path.worker);
      }
      return due;
    },
    get lostCount() {
      return lost.size;
    },
    lostWorkers: () => [...lost.keys()],
    retainWorkers: (workers) => {
      for (const known of [failures, lost, returns, endedAt])
        for (const id of known.keys()) if (!workers.has(id)) known.delete(id);
    },
  };
}
