import type { LimitStatement, WindowCounts } from "../decision/index.ts";
import type { FeedDelta } from "../interface/index.ts";
import type { RolloutPlan } from "./rollout_plan.ts";

/** What an instance has at one worker. */
export interface WorkerUse {
  readonly running: number;
  /** Prompt tokens there that no first token has come of yet. */
  readonly unreadTokens: number;
  /** Runs that it saw end there since its start, and how many of them failed. */
  readonly runs: number;
  readonly failures: number;
}

/** Nothing at a worker. */
export const NO_USE: WorkerUse = { running: 0, unreadTokens: 0, runs: 0, failures: 0 };

/** What doesn't change while an instance runs. Addresses are `IP:PORT`. */
export interface Introduction {
  readonly name: string;
  readonly zone: string;
  /** Where callers connect. */
  readonly callers: string;
  /** Where other instances send digests and fetch objects. */
  readonly peers: string;
  /** Thousandths of a core that it may use: a whole number, so that all compare the same. */
  readonly capacity: number;
}

/** What every digest says. */
export interface InstanceState {
  /** Whether it takes new requests. */
  readonly ready: boolean;
  /** Whether the platform's store answers it. */
  readonly reachesStore: boolean;
  /**
   * The store's version of the lease of the calls that one instance at a time makes, as it wrote it last; 0 where it
   * doesn't hold it.
   */
  readonly leaseVersion: number;
  /** Whether it knows what changes in the store, from the store or from an instance that the store answers. */
  readonly isCurrent: boolean;
  /** The store's version of the last change that it knows, by kind of object. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether the store has just come back after it was away for everybody: entries of workers may have lapsed. */
  readonly storeReturned: boolean;
  /** How versions on trial are used, as the instance with the duty said it last. */
  readonly plans: readonly RolloutPlan[];
  /** What workers have lately begun or ceased to say of how much they take. */
  readonly limits: readonly LimitStatement[];
}

/** An instance as another one names it. */
export interface RosterEntry extends Introduction, Pick<InstanceState, "ready" | "reachesStore"> {
  /** Tells the process from all others. */
  readonly session: number;
}

/** Instances that the sender knows to be there. */
export interface Roster {
  /** Whether these are all; otherwise what has changed. */
  readonly isWhole: boolean;
  readonly there: readonly RosterEntry[];
  /** Sessions of those that are gone. */
  readonly gone: readonly number[];
}

/** Whose news a digest tells. */
export enum NewsScope {
  /** Nobody's. */
  None = "none",
  /** The sender's own. */
  Own = "own",
  /** Those of the sender's group of instances, added up. */
  Group = "group",
  /** Those of all instances, added up. */
  Fleet = "fleet",
}

/** What has changed at an instance since the receiver heard of it last. */
export interface InstanceNews {
  /** Whether this is all there is: what the receiver had of the sender before is over. */
  readonly isWhole: boolean;
  /** Milliseconds since its start. */
  readonly age: number;
  /** What it holds for the time of day, in milliseconds since 1970. */
  readonly time: number;
  /** Tokens or requests admitted since its start, by client account. */
  readonly admitted: ReadonlyMap<string, number>;
  /** Runs begun, by window and client account. */
  readonly usage: readonly WindowCounts[];
  /** By the hash of the worker's id, by what `tallyKeys` names while a version is on trial, and by the keys of requests. */
  readonly use: ReadonlyMap<number, WorkerUse>;
  /** Workers that it knows to leave, each with its start; told for as long as they are there. */
  readonly leaving: readonly string[];
}

/** What an instance sends to another several times a second. */
export interface Digest extends InstanceState {
  /** Tells the sending process from all others, also from the one before it at the same address. */
  readonly session: number;
  /** Counts the sender's rounds. */
  readonly sequence: number;
  /** The receiver's session as the sender knows it, and the last digest with news that came of it. */
  readonly heard: { readonly session: number; readonly sequence: number } | undefined;
  /** Given until the receiver is known to have it. */
  readonly introduction: Introduction | undefined;
  readonly scope: NewsScope;
  readonly news: InstanceNews | undefined;
  /** Whether the sender goes by the receiver's news. */
  readonly wantsNews: boolean;
  /** Whether the news hold what the receiver has said, up to what was heard of it. */
  readonly countsReceiver: boolean;
  readonly roster: Roster | undefined;
  /** Changes of the store's objects that the receiver doesn't know yet. */
  readonly feeds: readonly FeedDelta[];
  /** Addresses where the sender has heard other instances. */
  readonly known: readonly string[];
}
