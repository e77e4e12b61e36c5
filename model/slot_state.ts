import { RequestState, Refusal } from "../src/interface/index.ts";
import type { HandoverMessage, ReplicateMessage, RequestRecord } from "../src/interface/index.ts";
import { emptyReplica, applyAssignment } from "../src/request/slot_replica.ts";
import type { Rules, SlotReplica } from "../src/request/slot_replica.ts";
import type { SlotAssignment } from "../src/version/index.ts";

/** Name of the only backend server. It runs a request once for each time that it receives it. */
export const WORKER = "w";

/** A request that a caller may submit. */
export interface CallerRequest {
  readonly id: string;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /**
   * Whether the request has an idempotency key. If so, the caller may submit it again to any
   * instance.
   */
  readonly keyed: boolean;
  /** Whether the caller doesn't wait for the answer. */
  readonly detached: boolean;
}

/** Number of faults of each kind that may occur. */
export interface FaultBudget {
  /** Instance crashes without a reclaim notice. */
  readonly crash: number;
  /** Running instances that a writer of the slot map wrongly considers dead. */
  readonly suspicion: number;
  /** Reclaim notices to instances. */
  readonly notice: number;
  /** Lost responses of the backend server. */
  readonly lostAnswer: number;
}

/** Bounds of an exploration of slot ownership. */
export interface Bounds {
  /** Name under which the exploration is reported. */
  readonly name: string;
  /** Number of instances, at most 3. */
  readonly instances: number;
  /** Requests that callers may submit. */
  readonly demands: readonly CallerRequest[];
  readonly faults: FaultBudget;
  /**
   * Whether an instance with a reclaim notice hands the slot over to all others, even if its backup
   * is available.
   */
  readonly cedesToAll: boolean;
  /** Maximum epoch of the slot map. */
  readonly epochs: number;
  readonly rules: Rules;
}

/**
 * An entry instance. A pause needs no flag. It is covered by the interleavings in which the
 * instance takes no step.
 */
export interface InstanceState {
  readonly name: string;
  /** Number of starts under this name. */
  readonly incarnation: number;
  readonly isUp: boolean;
  /** Whether the instance has received a reclaim notice. */
  readonly isLeaving: boolean;
  readonly replica: SlotReplica;
  /** Ids of requests with permission to be sent. The write to the socket is a later step. */
  readonly permittedIds: readonly string[];
  /** Ids of requests that this incarnation has written to the backend server's socket. */
  readonly sentIds: readonly string[];
}

/**
 * A message in transit. It stays in transit after delivery, so the exploration covers duplicates
 * (delivered twice), reordering (delivered late) and loss (never delivered).
 */
export type Message =
  | { readonly kind: "record"; readonly to: string; readonly message: ReplicateMessage }
  | { readonly kind: "handover"; readonly to: string; readonly message: HandoverMessage }
  | {
      readonly kind: "acknowledgement";
      readonly to: string;
      readonly id: string;
      readonly sequence: number;
      readonly epoch: number;
    };

/** The complete state of the model, as plain data. */
export interface SlotState {
  readonly instances: readonly InstanceState[];
  /**
   * The slot's assignment in the platform's store. An unavailable store is one that no instance
   * reaches.
   */
  readonly storedAssignment: SlotAssignment;
  /** Messages in transit by key. */
  readonly messages: ReadonlyMap<string, Message>;
  /** Number of runs at the backend server by request id, counted up to 2. */
  readonly runs: Readonly<Record<string, number>>;
  /** Ids of requests that the backend server refuses to run. */
  readonly barredIds: readonly string[];
  /** States reported to callers, by request id. An entry exists once the request was submitted. */
  readonly reported: Readonly<Record<string, readonly string[]>>;
  /** Faults that may still occur. */
  readonly faultsLeft: FaultBudget;
}

/** Returns the member id of an incarnation, for example `a#1`. */
export function memberIdOf(instance: InstanceState): string {
  return `${instance.name}#${instance.incarnation}`;
}

/**
 * Creates the instances a, b and c, up to the bound. All have received the first assignment:
 * primary a, backup b.
 */
export function initialState({ instances, faults }: Bounds): SlotState {
  const stored = { epoch: 1, primary: "a#1", backup: "b#1", historyLostAt: 0 };
  const initialInstances = ["a", "b", "c"].slice(0, instances).map((name) => {
    const instance = createInstance(name, 1);
    return { ...instance, replica: applyAssignment(instance.replica, stored) };
  });
  return {
    instances: initialInstances,
    storedAssignment: stored,
    messages: new Map(),
    runs: {},
    barredIds: [],
    reported: {},
    faultsLeft: faults,
  };
}

/** Creates an incarnation that has just started and has received nothing. */
export function createInstance(name: string, incarnation: number): InstanceState {
  return {
    name,
    incarnation,
    isUp: true,
    isLeaving: false,
    replica: emptyReplica(`${name}#${incarnation}`, 0),
    permittedIds: [],
    sentIds: [],
  };
}

/** Creates the record that an instance writes when it accepts a request. */
export function acceptedRecord({ id, repeatable, keyed, detached }: CallerRequest): RequestRecord {
  return {
    id,
    slot: 0,
    account: "club",
    service: "entry-model",
    state: RequestState.Accepted,
    repeatable,
    detached,
    keyed,
    fingerprint: "",
    path: "",
    body: "",
    attempt: 1,
    worker: "",
    tokens: [],
    tokensFrom: 0,
    reason: Refusal.None,
    detail: "",
    acceptedAt: 0,
    deadlineAt: 0,
    sequence: 0,
  };
}

/** Encodes a state. Two states have the same encoding if and only if they are equal. */
export function encodeState(state: SlotState): string {
  const { storedAssignment, runs, barredIds, reported, faultsLeft } = state;
  const instances = state.instances.map((instance) => memoize(instance, encodeInstance)).join("|");
  const messages = memoize(state.messages, encodeMessages);
  const faults = `${faultsLeft.crash}${faultsLeft.suspicion}${faultsLeft.notice}${faultsLeft.lostAnswer}`;
  const externalState = JSON.stringify([runs, barredIds, reported]);
  return `${instances}/${encodeAssignment(storedAssignment)}/${messages}/${externalState}/${faults}`;
}

/** Cached encodings of immutable parts of states. */
const encodings = new WeakMap<object, string>();

/**
 * Encodes a part once and caches the result. States share most of their parts, and parts are
 * immutable.
 */
function memoize<T extends object>(part: T, encode: (part: T) => string): string {
  const cached = encodings.get(part);
  if (cached !== undefined) return cached;
  const encoding = encode(part);
  encodings.set(part, encoding);
  return encoding;
}

function encodeMessages(messages: SlotState["messages"]): string {
  return [...messages.keys()].sort().join(" ");
}

function encodeAssignment({ epoch, primary, backup, historyLostAt }: SlotAssignment): string {
  return `${epoch}${primary}${backup}${historyLostAt}`;
}

function encodeInstance(instance: InstanceState): string {
  const { replica, isUp, isLeaving, permittedIds, sentIds } = instance;
  if (!isUp) return `${memberIdOf(instance)}-`;
  const held = [...replica.records.entries()]
    .map(([id, one]) => `${id}${JSON.stringify({ ...one, record: encodeRecord(one.record) })}`)
    .sort()
    .join();
  const ownState = `${encodeAssignment(replica.assignment)}${replica.stance}${replica.completeThroughEpoch}`;
  return `${memberIdOf(instance)}${Number(isLeaving)}${ownState}[${held}]${permittedIds.join()};${sentIds.join()}`;
}

/** Encodes the fields of a record that change in the specification. */
export function encodeRecord({ id, state, worker, sequence }: RequestRecord): string {
  return `${id}${state}${worker}${sequence}`;
}
