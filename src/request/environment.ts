import type { Scheduler } from "../decision/index.ts";
import type {
  Clock,
  Engine,
  Member,
  MemberState,
  Peers,
  Random,
  Refusal,
  RetryCause,
  Worker,
} from "../interface/index.ts";
import type { Revision, SlotMap } from "../version/index.ts";

/** A listener registration that can be removed. */
export interface Subscription {
  /** Removes the listener. */
  close(): void;
}

/** The configuration in force, as known to this instance. */
export interface ConfigurationView {
  /**
   * Undefined until the first revision is received; the instance serves no requests before that.
   */
  revision(): Revision | undefined;
  /** Returns the latest slot map; its version is 0 before the first write. */
  slotMap(): SlotMap;
  /** Calls the listener after the revision or the slot map has changed. */
  onChange(listener: () => void): Subscription;
  /**
   * Whether the instance has received nothing from the store or any peer for a few seconds. It then
   * accepts no new work.
   */
  isCutOff(): boolean;
  /** Looks for a newer slot map in the store and at peers, after a peer reported a later epoch. */
  refresh(): Promise<void>;
}

/** The entry instances, as known to the membership protocol. */
export interface MembershipView {
  /** This instance. */
  readonly self: Member;
  find(id: string): Member | undefined;
  /** Returns the state of the member with the given id. */
  stateOf(id: string): MemberState;
  /** Members that are alive and not leaving, including this instance. */
  alive(): readonly Member[];
  onChange(listener: () => void): Subscription;
}

/** The workers, from the platform's list and from later updates sent by peers. */
export interface WorkerView {
  list(): readonly Worker[];
  find(id: string): Worker | undefined;
  onChange(listener: () => void): Subscription;
}

/** Counters by reason. Every refusal and every retry is counted. */
export interface Counters {
  /** Counts a refusal. */
  refused(reason: Refusal): void;
  /** Counts a retry. */
  retried(cause: RetryCause): void;
  /** Counts tokens that were computed again. */
  recomputed(cause: RetryCause, tokens: number): void;
  /** Records the time to the first token. */
  firstToken(service: string, milliseconds: number): void;
  /** Records the time between two tokens. */
  betweenTokens(service: string, milliseconds: number): void;
  /** Counts any other event under a dotted name. */
  count(name: string): void;
}

/** Dependencies of the requests of an entry instance. */
export interface Environment {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ConfigurationView;
  readonly members: MembershipView;
  readonly workers: WorkerView;
  readonly peers: Peers;
  readonly engine: Engine;
  readonly scheduler: Scheduler;
  readonly counters: Counters;
}
