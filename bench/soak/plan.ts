import { createSeededRandom } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";

/** What is done from outside to the processes of a soak, and to the links between them. */
export enum FaultKind {
  /** The instance's process is killed, and started again at the fault's end. */
  InstanceKilled = "instance-killed",
  /** The instance's process is paused. */
  InstancePaused = "instance-paused",
  /** The instance is told to stop, and started again once it has ended. */
  InstanceStopped = "instance-stopped",
  /** All instances are told to stop and started again, one after the other. */
  RollingRestart = "rolling-restart",
  /** All instances are killed in the same moment. */
  AllKilled = "all-killed",
  /** The instance's link to the store takes bytes and passes none on. */
  StoreLinkSilent = "store-link-silent",
  /** The store's answers to the instance are lost, and its calls are done. */
  StoreAnswersLost = "store-answers-lost",
  /** The store refuses all calls. */
  StoreAway = "store-away",
  /** All calls to the store take longer. */
  StoreSlow = "store-slow",
  /** The store forgets all changes so far. */
  StoreForgets = "store-forgets",
  /** The worker's process is killed, and another one takes its place at the fault's end. */
  WorkerKilled = "worker-killed",
  WorkerPaused = "worker-paused",
  /** The worker fails all that it runs. */
  WorkerFails = "worker-fails",
  /** The worker breaks its connections in the middle of answers. */
  WorkerBreaks = "worker-breaks",
  /** The worker refuses without running. */
  WorkerFull = "worker-full",
  /** The worker says that it leaves, and ends some seconds later. */
  WorkerLeaves = "worker-leaves",
  /** All connections to the worker are reset, and new ones for the fault's time. */
  WorkerLinkReset = "worker-link-reset",
  /** Bytes to and from the worker are held back. */
  WorkerLinkSlow = "worker-link-slow",
  /** The worker names what it takes, far less than it gets. */
  WorkerLimited = "worker-limited",
  /** A caller sends again and again what crashes each worker that runs it. */
  CrashingRequest = "crashing-request",
  /** One client account sends many times its quota. */
  HotAccount = "hot-account",
  /** The operator adds a route. */
  ConfigurationChanged = "configuration-changed",
}

/** One fault; times in milliseconds after the load has begun. */
export interface Fault {
  readonly kind: FaultKind;
  readonly at: number;
  readonly lasts: number;
  /** Which instance or worker it is injected at, by its place. */
  readonly place: number;
}

/** What one seed plays. */
export interface SoakPlan {
  readonly seed: number;
  readonly instances: number;
  readonly workers: number;
  readonly callers: number;
  /** Milliseconds of load; nothing is injected in the last part of it. */
  readonly length: number;
  readonly faults: readonly Fault[];
}

/** What a plan is drawn for. */
export interface PlanSize {
  /** Milliseconds of load. */
  readonly length: number;
  /** Instances and workers together. */
  readonly processes: number;
}

/** Milliseconds before the first fault, and after the last one's end: the fleet has to be back by then. */
export const QUIET = { before: 2_000, after: 9_000 };
/** The longest fault of a place, in milliseconds. */
const LONGEST = 5_000;
/** Milliseconds of load for each fault. */
const FAULT_EVERY = 1_800;
/** The part of the processes that are instances, and the fewest of both. */
const INSTANCE_PART = 0.4;
const FEWEST = { instances: 3, workers: 5 };

/** Draws a plan; a seed always draws the same for the same size. */
export function drawPlan(seed: number, { length, processes }: PlanSize): SoakPlan {
  const random = createSeededRandom(seed);
  const instances = Math.max(FEWEST.instances, Math.round(processes * INSTANCE_PART));
  const workers = Math.max(FEWEST.workers, processes - instances);
  const last = Math.max(QUIET.before, length - QUIET.after);
  const count = Math.max(1, Math.round((last - QUIET.before) / FAULT_EVERY));
  const faults = Array.from({ length: count }, () => {
    const at = QUIET.before + random.next() * (last - QUIET.before);
    const lasts = Math.min(last - at, 300 + random.next() * LONGEST);
    const kind = pick(Object.values(FaultKind), random);
    return { kind, at, lasts, place: Math.floor(random.next() * 1_000) };
  });
  return {
    seed,
    instances,
    workers,
    callers: 12,
    length,
    faults: faults.sort((one, other) => one.at - other.at),
  };
}

function pick<T>(values: readonly T[], random: Random): T {
  const found = values[Math.floor(random.next() * values.length)];
  if (found === undefined) throw new Error("There is nothing to draw from.");
  return found;
}
