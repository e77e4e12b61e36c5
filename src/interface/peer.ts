import type { RequestRecord } from "./record.ts";

/** An entry instance as a member of the cluster. */
export interface Member {
  /** `NAME#INCARNATION`. A restarted instance at the same address is a new member. */
  readonly id: string;
  /** `IP:PORT` of the member's listener for peers. */
  readonly address: string;
  /** `IP:PORT` of the member's listener for callers. */
  readonly callerAddress: string;
  /** Availability zone. */
  readonly zone: string;
}

/** The state of a member. With the same `rise`, a state that is listed later overrides an earlier one. */
export enum MemberState {
  Alive = "alive",
  Suspect = "suspect",
  /** About to be reclaimed or draining: finishes its requests and accepts no new ones. */
  Leaving = "leaving",
  Dead = "dead",
}

/** A membership update, or a notice that a backend server is leaving. It is sent along with probes. */
export interface MembershipUpdate {
  readonly member: Member;
  readonly state: MemberState;
  /** The member's counter (the incarnation number of SWIM). Only the member itself increases it, to refute a suspicion. */
  readonly rise: number;
  /** True if `member.id` is a worker's id. */
  readonly backend: boolean;
}

/** The version of a configuration object that the sender has applied. */
export interface ObjectVersion {
  readonly key: string;
  readonly version: number;
}

/** How the receiver of a message about a slot has handled it. */
export enum SlotOutcome {
  Acknowledged = "acknowledged",
  /**
   * The slot has a later epoch at the receiver. The sender must stop acting at its own epoch, refresh the slot map and
   * retry.
   */
  StaleEpoch = "stale-epoch",
  /** The receiver is not an owner of the slot at the message's epoch. */
  NotNamed = "not-named",
  /** The receiver is about to be reclaimed or overloaded. The sender must use another member. */
  Unable = "unable",
}

/** A request record for the slot's backup. */
export interface ReplicateMessage {
  /** Member id of the sender. */
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  readonly record: RequestRecord;
}

/** The records of a slot that its owner hands over. */
export interface HandoverMessage {
  /** Member id of the sender. */
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  /** True if the receiver is not the slot's backup and only keeps the records until the slot has a new owner. */
  readonly custody: boolean;
  /** True if these are all records that the slot has ever had, according to its owner. */
  readonly complete?: boolean;
  readonly records: readonly RequestRecord[];
}

/** The reply to a message about a slot. */
export interface SlotReply {
  readonly outcome: SlotOutcome;
  /** The slot's epoch at the receiver. */
  readonly epoch: number;
}

/** A probe of the failure detector, with membership updates. */
export interface ProbeMessage {
  /** Member id of the sender. */
  readonly from: string;
  /** The member that the receiver must probe for the sender; absent for a direct probe. */
  readonly target?: Member;
  readonly deltas: readonly MembershipUpdate[];
  readonly versions: readonly ObjectVersion[];
}

/** The reply to a probe, with the replier's membership updates. */
export interface ProbeReply {
  /** Member id of the replier. */
  readonly from: string;
  /** Whether the probed member has replied. */
  readonly reached: boolean;
  readonly deltas: readonly MembershipUpdate[];
  readonly versions: readonly ObjectVersion[];
}

/** A request that is forwarded to the owner of its slot. */
export interface RelayMessage {
  /** Member id of the sender. */
  readonly from: string;
  readonly slot: number;
  readonly epoch: number;
  /** Number of instances that have forwarded the message so far. Senders set it to 1; receivers don't use it. */
  readonly hops: number;
  readonly record: RequestRecord;
  /** Index of the first token to send. */
  readonly fromToken: number;
  /** True to follow an existing request, false to submit a new one. */
  readonly follow: boolean;
}

/** A query about a request to the owner of its slot. */
export interface AskMessage {
  /** Member id of the sender. */
  readonly from: string;
  readonly id: string;
  readonly account: string;
  readonly slot: number;
  readonly epoch: number;
  /** Number of instances that have forwarded the message so far. Senders set it to 1; receivers don't use it. */
  readonly hops: number;
  /** Whether the request is also to be cancelled. */
  readonly cancel: boolean;
}

/** The reply to a query about a request. */
export interface AskReply {
  readonly outcome: SlotOutcome;
  /** The slot's epoch at the receiver. */
  readonly epoch: number;
  /** Absent if the owner has no such request of this account. */
  readonly record?: RequestRecord;
}

/** An event that the owner of a request sends to the instance that is connected to the caller. */
export type RelayEvent =
  | { readonly kind: "accepted"; readonly id: string }
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | { readonly kind: "ended"; readonly record: RequestRecord; readonly retryAfter?: number }
  /** The slot has moved to another owner at this epoch. */
  | { readonly kind: "moved"; readonly epoch: number };

/** A client for the other entry instances. Calls without a response reject with a {@linkcode PeerFailure}. */
export interface Peers {
  /** Sends a request record to the slot's backup. */
  replicate(to: Member, message: ReplicateMessage): Promise<SlotReply>;
  /** Hands over the records of a slot. */
  cede(to: Member, message: HandoverMessage): Promise<SlotReply>;
  /** Probes a member, directly or through another one. */
  probe(to: Member, message: ProbeMessage): Promise<ProbeReply>;
  /** Fetches a peer's version of a configuration object; undefined if the peer has none. */
  pull(to: Member, key: string): Promise<{ version: number; value: string } | undefined>;
  /** Forwards a request to the owner of its slot and returns the owner's events. */
  relay(to: Member, message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  /** Queries a request at the owner of its slot. */
  ask(to: Member, message: AskMessage): Promise<AskReply>;
  /** Closes all connections to the other instances. */
  close(): void;
}

/** The server side of {@linkcode Peers}: handlers for calls from other entry instances. */
export interface PeerHandlers {
  replicate(message: ReplicateMessage): SlotReply;
  cede(message: HandoverMessage): SlotReply;
  probe(message: ProbeMessage): Promise<ProbeReply>;
  pull(key: string): { version: number; value: string } | undefined;
  relay(message: RelayMessage, signal: AbortSignal): AsyncIterable<RelayEvent>;
  ask(message: AskMessage): Promise<AskReply>;
}

/** The error of a call between instances that got no response. The receiver may have carried out the call. */
export type PeerFailure = Error & { readonly step: string; readonly peer: string };
