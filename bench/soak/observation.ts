/**
 * Records of a soak test: what callers, backend servers and the platform stand-in observed. Times are in milliseconds
 * since 1970, on a clock that all processes of the machine share.
 *
 * @module
 */
import type { LeaseHolderCall } from "../../platform/testing/platform_standin.ts";

/** Kind of a request. */
export enum RequestKind {
  /** May run more than once. */
  Safe = "safe",
  /** May run at most once. */
  Once = "once",
  /** Answered with a stream of events. */
  Stream = "stream",
  /** Crashes each backend server that runs it. */
  Crashing = "crashing",
  /** Sent by the client account that exceeds its quota. */
  Hot = "hot",
}

/** A request as its caller observed it. */
export interface ObservedRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly body: string;
  /** Address of the instance that it was sent to. */
  readonly instance: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 if no status was received. */
  readonly status: number;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
  /** Whether the received part is the answer to this request. */
  readonly isRight: boolean;
  /** Whether the caller gave up after its timeout. */
  readonly isGivenUp: boolean;
  /** Whether the caller closed the connection in the middle of the answer. */
  readonly hasLeft: boolean;
  /** Whether the caller already had a part of the stream and asked for the rest. */
  readonly isResumed: boolean;
}

/** A run of a request as its backend server observed it. */
export interface ObservedRun {
  readonly id: string;
  readonly body: string;
  /** Id of the backend server. */
  readonly worker: string;
  /** Time when it started. */
  readonly at: number;
  /** Whether the backend server crashed because of it. */
  readonly hasCrashed: boolean;
  /** Whether the response announces that the backend server is leaving. */
  readonly announcesLeaving: boolean;
}

/** A request that a full backend server rejected. */
export interface ObservedRejection {
  /** Id of the request. */
  readonly id: string;
  /** Id of the backend server. */
  readonly worker: string;
  readonly at: number;
  /** Milliseconds for which the rejection asks for no further requests; 0 if it asks for no pause. */
  readonly pause: number;
}

/** A probe of a route that the operator has added. */
export interface ObservedProbe {
  readonly instance: string;
  /** Process id of the instance. */
  readonly process: number;
  /** Version of the configuration that added the route. */
  readonly version: number;
  readonly at: number;
  /** HTTP status; 0 if no answer was received. */
  readonly status: number;
}

/** Period in which a fault was injected, and its target. */
export interface Disturbance {
  /** Address of an instance, id of a backend server, {@linkcode STORE} or {@linkcode ALL_TARGETS}. */
  readonly target: string;
  /** Whether it is a planned stop, for which fewer violations are excused. */
  readonly isPlanned: boolean;
  readonly from: number;
  to: number;
}

/** Period in which a backend server announces that it is draining or that it has a limit. */
export interface WorkerPeriod {
  readonly worker: string;
  readonly from: number;
  to: number;
}

/** Resource usage of an instance's process at one time. */
export interface ObservedProcess {
  readonly instance: string;
  readonly at: number;
  /** Resident set size, in bytes. */
  readonly memory: number;
  /** Number of open file descriptors. */
  readonly descriptors: number;
  /** Number of lines that it has logged since its start. */
  readonly lines: number;
}

/** Answers of an instance at the end of the test, after all faults. */
export interface FinalState {
  readonly instance: string;
  readonly isReady: boolean;
  /** Instance addresses that it resolves for callers. */
  readonly resolved: readonly string[];
}

/** All records of one soak test. */
export interface Observations {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly requests: readonly ObservedRequest[];
  readonly runs: readonly ObservedRun[];
  readonly rejections: readonly ObservedRejection[];
  readonly probes: readonly ObservedProbe[];
  /** Time when the store received each configuration, by version. */
  readonly configurations: ReadonlyMap<number, number>;
  /** Calls that the platform stand-in received from the lease holder. */
  readonly duties: readonly LeaseHolderCall[];
  readonly disturbances: readonly Disturbance[];
  /** Draining backend servers, from the time when the store received this state. */
  readonly leaving: readonly WorkerPeriod[];
  /** Backend servers with an announced limit, in requests per second. */
  readonly limited: readonly (WorkerPeriod & { readonly perSecond: number })[];
  /** Planned stops, from SIGTERM until the process has ended. */
  readonly stops: readonly Disturbance[];
  readonly processes: readonly ObservedProcess[];
  readonly ends: readonly FinalState[];
}

/** Target of a fault that affects all instances and the store. */
export const ALL_TARGETS = "*";
/** Target of a fault that affects the store. */
export const STORE = "store";

/** Returns the time in milliseconds since 1970, with the resolution of the monotonic clock. */
export function wallNow(): number {
  return performance.timeOrigin + performance.now();
}
