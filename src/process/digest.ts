import type { LimitReport, PartReport, WindowCounts } from "../decision/index.ts";
import type { FeedDelta } from "../interface/index.ts";
import type { AdmissionKey } from "./admission_period.ts";
import type { RolloutPlan } from "./rollout_plan.ts";

/** Counts of one instance, or of several added up, at one worker. */
export interface WorkerCounts {
  /** Runs in progress at the worker. */
  readonly running: number;
  /** Prompt tokens of runs at the worker that have not produced their first token yet. */
  readonly unreadTokens: number;
  /** Runs that ended at the worker since the instance started, and how many of them failed. */
  readonly runs: number;
  readonly failures: number;
}

/** Zero counts. */
export const NO_WORKER_COUNTS: WorkerCounts = { running: 0, unreadTokens: 0, runs: 0, failures: 0 };

/** Properties of an instance that don't change while it runs. Addresses have the form `IP:PORT`. */
export interface Introduction {
  readonly name: string;
  readonly zone: string;
  /** Address for callers. */
  readonly callers: string;
  /** Address for other instances, which send digests to it and fetch objects from it. */
  readonly peers: string;
  /**
   * Processor capacity in thousandths of a core. An integer, so that all instances compare equal
   * values.
   */
  readonly capacity: number;
}

/** State that every digest contains. */
export interface InstanceState {
  /** Whether the instance accepts new requests. */
  readonly ready: boolean;
  /** Whether the platform's store answers the instance. */
  readonly reachesStore: boolean;
  /**
   * Store version of the lease for the platform calls that one instance at a time makes, as of the
   * instance's last write; 0 if the instance doesn't hold the lease.
   */
  readonly leaseVersion: number;
  /**
   * Whether the instance receives store changes, either from the store or from an instance that the
   * store answers.
   */
  readonly isCurrent: boolean;
  /** Store version of the last change that the instance has received, by kind of object. */
  readonly versions: ReadonlyMap<string, number>;
  /**
   * When the store last answered any instance, as far as the sender knows, in milliseconds since
   * 1970; 0 if no answer is known.
   */
  readonly storeAnsweredAt: number;
  /** Rollout plans of the versions on trial, as last received from the lease holder. */
  readonly plans: readonly RolloutPlan[];
  /** Recent changes of the request rate limits that workers state, including limits withdrawn. */
  readonly limits: readonly LimitReport[];
  /** Recent changes of the rates at which brittle workers may be tried, including rates withdrawn. */
  readonly tries: readonly LimitReport[];
  /** Recent observations of parts of prompts with which workers have crashed. */
  readonly partReports: readonly PartReport[];
}

/** An instance as listed in another instance's digest. */
export interface RosterEntry extends Introduction, Pick<InstanceState, "ready" | "reachesStore"> {
  /** Random number that identifies the process. */
  readonly session: number;
}

/** Live instances as seen by the sender, as a snapshot or a delta. */
export interface Roster {
  /** Whether the roster is complete; otherwise it contains only changes. */
  readonly isSnapshot: boolean;
  /** Live instances; in a delta, those that are new or have changed. */
  readonly live: readonly RosterEntry[];
  /** Sessions of instances that are no longer live. */
  readonly removedSessions: readonly number[];
}

/** Which instances the counts in a digest cover. */
export enum UpdateScope {
  /** The digest carries no counts. */
  None = "none",
  /** The sender only. */
  Own = "own",
  /** The sum over the sender's group, which is its availability zone. */
  Group = "group",
  /** The sum over all instances. */
  Fleet = "fleet",
}

/**
 * Counts of an instance or a group that changed since the last update that the receiver
 * acknowledged.
 */
export interface InstanceUpdate {
  /**
   * Whether the update is a full snapshot, which replaces everything that the receiver has from
   * this sender.
   */
  readonly isSnapshot: boolean;
  /** Milliseconds since the sender started. */
  readonly uptime: number;
  /** The sender's estimate of the current time, in milliseconds since 1970. */
  readonly time: number;
  /** Tokens or requests admitted in the latest periods, by period and client account. */
  readonly admitted: ReadonlyMap<AdmissionKey, number>;
  /** Runs started, by usage window and client account. */
  readonly usage: readonly WindowCounts[];
  /**
   * Worker counts by hash: of the worker's id, of the keys that count a version on trial, or of a
   * request's key.
   */
  readonly workerCounts: ReadonlyMap<number, WorkerCounts>;
  /**
   * Workers known to be leaving, each identified by id and start time. Listed for as long as they
   * exist.
   */
  readonly leavingWorkers: readonly string[];
}

/** Message that an instance sends to another several times a second. */
export interface Digest extends InstanceState {
  /**
   * Random number that identifies the sending process. It differs from that of an earlier process
   * at the same address.
   */
  readonly session: number;
  /** Number of the sender's round; it increases with every round. */
  readonly sequence: number;
  /**
   * The receiver's session as known to the sender, and the last digest from it whose update was
   * applied.
   */
  readonly acknowledged: { readonly session: number; readonly sequence: number } | undefined;
  /** Included until the receiver acknowledges this session. */
  readonly introduction: Introduction | undefined;
  readonly scope: UpdateScope;
  /** Counts for the receiver; undefined if the scope is `None` or the receiver doesn't apply them. */
  readonly update: InstanceUpdate | undefined;
  /** Whether the sender uses the receiver's updates. */
  readonly wantsUpdate: boolean;
  /** Whether the counts include those of the receiver, up to the acknowledged digest. */
  readonly includesReceiver: boolean;
  readonly roster: Roster | undefined;
  /** Changes of the store's objects that the receiver doesn't have yet. */
  readonly feedDeltas: readonly FeedDelta[];
  /** Addresses at which the sender has received digests from other instances. */
  readonly knownAddresses: readonly string[];
}
