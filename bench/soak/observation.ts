/**
 * What callers, workers and the platform's calls saw while a soak ran. Moments are in milliseconds since 1970, the same
 * for all processes of the machine.
 *
 * @module
 */
import type { DutyCall } from "../../platform/testing/platform_standin.ts";

/** Kinds of request. */
export enum RequestKind {
  /** May run again. */
  Safe = "safe",
  /** May run once. */
  Once = "once",
  Stream = "stream",
  /** Crashes each worker that runs it. */
  Crashing = "crashing",
  /** Of the account that asks for more than its quota. */
  Hot = "hot",
}

/** A request as its caller saw it. */
export interface ObservedRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly body: string;
  /** The instance's address. */
  readonly instance: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 where no status came. */
  readonly status: number;
  /** Whether the answer came to its end. */
  readonly isWhole: boolean;
  /** Whether it is the answer to this request, as far as it came. */
  readonly isRight: boolean;
  /** Whether the caller waited no longer. */
  readonly isGivenUp: boolean;
}

/** A request as its worker saw it. */
export interface ObservedRun {
  readonly id: string;
  readonly body: string;
  readonly worker: string;
  readonly at: number;
  /** Whether the worker ended with it. */
  readonly hasCrashed: boolean;
}

/** A question for a route that the operator has added. */
export interface ObservedProbe {
  readonly instance: string;
  /** Tells the instance's process from those before it. */
  readonly process: number;
  /** The configuration that added the route. */
  readonly version: number;
  readonly at: number;
  /** 0 where no answer came. */
  readonly status: number;
}

/** A time in which a fault was injected, and its target. */
export interface Disturbance {
  /** An instance's address, the store, or all of them. */
  readonly target: string;
  /** Whether it is a planned stop, which excuses less. */
  readonly isPlanned: boolean;
  readonly from: number;
  to: number;
}

/** A worker that has said something of itself. */
export interface WorkerStatement {
  readonly worker: string;
  readonly from: number;
  to: number;
}

/** An instance's process at one look. */
export interface ObservedProcess {
  readonly instance: string;
  readonly at: number;
  /** Bytes. */
  readonly memory: number;
  readonly descriptors: number;
  /** Lines that it has logged since its start. */
  readonly lines: number;
}

/** What an instance answered at the end, when all was well again. */
export interface ObservedEnd {
  readonly instance: string;
  readonly isReady: boolean;
  /** The addresses that it names to callers. */
  readonly resolved: readonly string[];
}

/** All that was seen. */
export interface Observations {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly requests: readonly ObservedRequest[];
  readonly runs: readonly ObservedRun[];
  readonly probes: readonly ObservedProbe[];
  /** When the store had each configuration. */
  readonly configurations: ReadonlyMap<number, number>;
  readonly duties: readonly DutyCall[];
  readonly disturbances: readonly Disturbance[];
  /** Workers that leave, from when the store had it. */
  readonly leaving: readonly WorkerStatement[];
  /** Workers that name a limit, with what they take a second. */
  readonly limited: readonly (WorkerStatement & { readonly perSecond: number })[];
  /** Instances that were told to stop, until their process ended. */
  readonly stops: readonly Disturbance[];
  readonly processes: readonly ObservedProcess[];
  readonly ends: readonly ObservedEnd[];
}

/** The target of what disturbs all instances and the store. */
export const EVERYTHING = "*";
/** The store as a target. */
export const STORE = "store";

/** Milliseconds since 1970, as exact as the steady clock. */
export function wallNow(): number {
  return performance.timeOrigin + performance.now();
}
