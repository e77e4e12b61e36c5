import type { WindowCounts } from "../decision/index.ts";

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
}

/** What has changed at an instance since the receiver heard of it last. */
export interface InstanceNews {
  /** Whether this is all there is: what the receiver had of the sender before is over. */
  readonly isWhole: boolean;
  /** Milliseconds since its start. */
  readonly age: number;
  /** What it holds for the time of day, in milliseconds since 1970. */
  readonly time: number;
  /** The store's version of the last change that it knows, by kind of object. */
  readonly versions: ReadonlyMap<string, number>;
  /** Tokens or requests admitted since its start, by client account. */
  readonly admitted: ReadonlyMap<string, number>;
  /** Runs begun, by window and client account. */
  readonly usage: readonly WindowCounts[];
  /** By the hash of the worker's id. */
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
  readonly news: InstanceNews | undefined;
  /** Addresses where the sender has heard other instances. */
  readonly known: readonly string[];
}
