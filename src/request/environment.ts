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

/** A registration that can be taken back. */
export interface Subscription {
  close(): void;
}

/** The configuration in force, as this instance knows it. */
export interface ConfigurationView {
  /** Undefined until a first revision is known; the instance serves nothing before that. */
  revision(): Revision | undefined;
  slotMap(): SlotMap;
  /** Called after the revision or the slot map has changed. */
  onChange(listener: () => void): Subscription;
  /** True where neither the store nor any peer was heard for a few seconds: no new work is taken. */
  isCutOff(): boolean;
  /** Looks for a newer slot map at the store and at peers, because a peer knows a later epoch. */
  refresh(): Promise<void>;
}

/** The entry instances, as membership believes them to be. */
export interface MembershipView {
  readonly self: Member;
  find(id: string): Member | undefined;
  stateOf(id: string): MemberState;
  /** Members that are alive and not leaving, this instance included. */
  alive(): readonly Member[];
  onChange(listener: () => void): Subscription;
}

/** The workers, from the platform's list and from what peers have said since. */
export interface WorkerView {
  list(): readonly Worker[];
  find(id: string): Worker | undefined;
  onChange(listener: () => void): Subscription;
}

/** Counters, by reason. Every refusal and retry is counted. */
export interface Counters {
  refused(reason: Refusal): void;
  retried(cause: RetryCause): void;
  /** Tokens that had to be computed again. */
  recomputed(cause: RetryCause, tokens: number): void;
  firstToken(service: string, milliseconds: number): void;
  betweenTokens(service: string, milliseconds: number): void;
  /** Anything else worth counting, by a dotted name. */
  count(name: string): void;
}

/** What the requests of an entry instance need from what is around them. */
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
