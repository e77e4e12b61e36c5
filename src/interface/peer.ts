import type { RequestRecord } from "./record.ts";

/** An entry instance as its peers know it. */
export interface Member {
  /** `NAME#INCARNATION`: a restarted instance at the same address is another one. */
  readonly id: string;
  /** `IP:PORT` of the listener for peers. */
  readonly address: string;
  /** `IP:PORT` of the listener for callers. */
  readonly callerAddress: string;
  /** Availability zone. */
  readonly zone: string;
}

/** What membership believes of a member; a later one overrides an earlier one at the same rise. */
export enum MemberState {
  Alive = "alive",
  Suspect = "suspect",
  /** Under notice or draining: finishes what it has, takes nothing new. */
  Leaving = "leaving",
  Dead = "dead",
}

/** A change of membership, or a leaving mark for a backend server, that rides on probes. */
export interface MemberDelta {
  readonly member: Member;
  readonly state: MemberState;
  /** Only the member itself raises it, to refute a suspicion. */
  readonly rise: number;
  /** True where `member.id` is a worker id. */
  readonly backend: boolean;
}

/** The version of an object that the sender has applied. */
export interface VersionMark {
  readonly key: string;
  readonly version: number;
}

/** How the receiver of a slot's message took it. */
export enum SlotOutcome {
  Acknowledged = "acknowledged",
  /** The receiver knows a later epoch; the sender refreshes and retries, and acts no more at its own. */
  StaleEpoch = "stale-epoch",
  /** The receiver is not the one that the message's epoch names. */
  NotNamed = "not-named",
  /** Under notice or overloaded: ask another. */
  Unable = "unable",
}

export interface ReplicateMessage {
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  readonly record: RequestRecord;
}

export interface CedeMessage {
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  /** True where the receiver is not the named backup and only keeps the records. */
  readonly custody: boolean;
  /** True where these are all records that the slot has ever had, as its owner has them. */
  readonly complete?: boolean;
  readonly records: readonly RequestRecord[];
}

export interface SlotReply {
  readonly outcome: SlotOutcome;
  /** The epoch that the receiver knows. */
  readonly epoch: number;
}

export interface ProbeMessage {
  readonly from: string;
  /** The member to probe on the sender's behalf; absent for a direct probe. */
  readonly target?: Member;
  readonly deltas: readonly MemberDelta[];
  readonly versions: readonly VersionMark[];
}

export interface ProbeReply {
  readonly from: string;
  readonly reached: boolean;
  readonly deltas: readonly MemberDelta[];
  readonly versions: readonly VersionMark[];
}

export interface RelayMessage {
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  /** Instances passed so far; at most two. */
  readonly hops: number;
  readonly record: RequestRecord;
  readonly fromToken: number;
  /** True to follow a request that exists, false to have it accepted. */
  readonly follow: boolean;
}

export interface AskMessage {
  readonly from: string;
  readonly id: string;
  readonly account: string;
  readonly slot: number;
  readonly epoch: number;
  readonly hops: number;
  readonly cancel: boolean;
}

export interface AskReply {
  readonly outcome: SlotOutcome;
  readonly epoch: number;
  /** Absent where the owner knows no such request of this account. */
  readonly record?: RequestRecord;
}

/** What the owner of a request tells whoever answers the caller. */
export type RelayEvent =
  | { readonly kind: "accepted"; readonly id: string }
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | { readonly kind: "ended"; readonly record: RequestRecord; readonly retryAfter?: number }
  | { readonly kind: "moved"; readonly epoch: number };

/** The calls between entry instances. They reject with a `PeerFailure` where no answer came. */
export interface Peers {
  replicate(to: Member, message: ReplicateMessage): Promise<SlotReply>;
  cede(to: Member, message: CedeMessage): Promise<SlotReply>;
  probe(to: Member, message: ProbeMessage): Promise<ProbeReply>;
  /** Fetches a version of a configuration object from a peer; undefined where it has none. */
  pull(to: Member, key: string): Promise<{ version: number; value: string } | undefined>;
  relay(to: Member, message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  ask(to: Member, message: AskMessage): Promise<AskReply>;
  close(): void;
}

/** The other side: what an entry instance answers to its peers. */
export interface PeerHandlers {
  replicate(message: ReplicateMessage): SlotReply;
  cede(message: CedeMessage): SlotReply;
  probe(message: ProbeMessage): Promise<ProbeReply>;
  pull(key: string): { version: number; value: string } | undefined;
  relay(message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  ask(message: AskMessage): Promise<AskReply>;
}

/** A call between instances that got no answer. The other side may have acted on it all the same. */
export type PeerFailure = Error & { readonly step: string; readonly peer: string };
