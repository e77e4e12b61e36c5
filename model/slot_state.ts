import { RequestState, Refusal } from "../src/interface/index.ts";
import type { CedeMessage, ReplicateMessage, RequestRecord } from "../src/interface/index.ts";
import { emptyReplica, applyAssignment } from "../src/request/slot_replica.ts";
import type { Rules, SlotReplica } from "../src/request/slot_replica.ts";
import type { Assignment } from "../src/version/index.ts";

/** The one backend server of the specification: a request that runs twice there runs twice. */
export const WORKER = "w";

/** A request that callers may bring. */
export interface Demand {
  readonly id: string;
  readonly repeatable: boolean;
  /** The caller may bring it again, to any instance. */
  readonly keyed: boolean;
  readonly detached: boolean;
}

/** How many of each fault may happen on the way. */
export interface Faults {
  /** Deaths without notice. */
  readonly crash: number;
  /** Living instances taken for dead by a writer of the slot map. */
  readonly suspicion: number;
  /** Instances put under notice. */
  readonly notice: number;
  /** Answers of the backend server that are lost. */
  readonly lostAnswer: number;
}

/** What is enumerated. */
export interface Bounds {
  readonly name: string;
  readonly instances: number;
  readonly demands: readonly Demand[];
  readonly faults: Faults;
  /** An instance under notice cedes to others too, though its backup could take the slot. */
  readonly cedesToAll: boolean;
  /** Highest epoch of the slot map. */
  readonly epochs: number;
  readonly rules: Rules;
}

/** An entry instance. A pause needs no flag: it is every interleaving in which the instance takes no step. */
export interface Node {
  readonly name: string;
  readonly incarnation: number;
  readonly up: boolean;
  /** Under notice. */
  readonly leaving: boolean;
  readonly replica: SlotReplica;
  /** A permission to send that was asked for and given; the write to the socket is a later step. */
  readonly permitted: readonly string[];
  /** Ids that this incarnation has written to the server's socket. */
  readonly sent: readonly string[];
}

/** A message under way. It stays: delivered twice it is a duplicate, late it is reordered, never it is lost. */
export type Message =
  | { readonly kind: "record"; readonly to: string; readonly message: ReplicateMessage }
  | { readonly kind: "cession"; readonly to: string; readonly message: CedeMessage }
  | {
      readonly kind: "acknowledgement";
      readonly to: string;
      readonly id: string;
      readonly sequence: number;
      readonly epoch: number;
    };

/** Everything, as plain data. */
export interface State {
  readonly nodes: readonly Node[];
  /** The slot's assignment in the platform's store; a store that is down is one that nobody reaches. */
  readonly stored: Assignment;
  readonly messages: ReadonlyMap<string, Message>;
  /** Runs by request id, as the backend server counted them, up to 2. */
  readonly runs: Readonly<Record<string, number>>;
  readonly barred: readonly string[];
  /** What callers were told, by request id. */
  readonly told: Readonly<Record<string, readonly string[]>>;
  readonly faults: Faults;
}

/** The id by which an incarnation is known. */
export function idOf(node: Node): string {
  return `${node.name}#${node.incarnation}`;
}

/** Instances a, b, …; all know that a is the slot's first primary, and b its backup. */
export function initialState({ instances, faults }: Bounds): State {
  const stored = { epoch: 1, primary: "a#1", backup: "b#1", historyLostAt: 0 };
  const nodes = ["a", "b", "c"].slice(0, instances).map((name) => {
    const node = freshNode(name, 1);
    return { ...node, replica: applyAssignment(node.replica, stored) };
  });
  return {
    nodes,
    stored,
    messages: new Map(),
    runs: {},
    barred: [],
    told: {},
    faults,
  };
}

/** An incarnation that has just started and knows nothing. */
export function freshNode(name: string, incarnation: number): Node {
  return {
    name,
    incarnation,
    up: true,
    leaving: false,
    replica: emptyReplica(`${name}#${incarnation}`, 0),
    permitted: [],
    sent: [],
  };
}

/** A record as the accepting instance first writes it. */
export function acceptedRecord({ id, repeatable, keyed, detached }: Demand): RequestRecord {
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

/** A text that two states share exactly when they are the same. */
export function encodeState(state: State): string {
  const { stored, runs, barred, told, faults } = state;
  const nodes = state.nodes.map((node) => remembered(node, encodeNode)).join("|");
  const messages = remembered(state.messages, encodeMessages);
  const spent = `${faults.crash}${faults.suspicion}${faults.notice}${faults.lostAnswer}`;
  const outside = JSON.stringify([runs, barred, told]);
  return `${nodes}/${encodeAssignment(stored)}/${messages}/${outside}/${spent}`;
}

const texts = new WeakMap<object, string>();

/** States share most of their parts, and nothing in them is ever changed. */
function remembered<T extends object>(part: T, encode: (part: T) => string): string {
  const known = texts.get(part);
  if (known !== undefined) return known;
  const text = encode(part);
  texts.set(part, text);
  return text;
}

function encodeMessages(messages: State["messages"]): string {
  return [...messages.keys()].sort().join(" ");
}

function encodeAssignment({ epoch, primary, backup, historyLostAt }: Assignment): string {
  return `${epoch}${primary}${backup}${historyLostAt}`;
}

function encodeNode(node: Node): string {
  const { replica, up, leaving, permitted, sent } = node;
  if (!up) return `${idOf(node)}-`;
  const held = [...replica.records.entries()]
    .map(([id, one]) => `${id}${JSON.stringify({ ...one, record: encodeRecord(one.record) })}`)
    .sort()
    .join();
  const own = `${encodeAssignment(replica.assignment)}${replica.stance}${replica.completeThroughEpoch}`;
  return `${idOf(node)}${Number(leaving)}${own}[${held}]${permitted.join()};${sent.join()}`;
}

/** The parts of a record that change in the specification. */
export function encodeRecord({ id, state, worker, sequence }: RequestRecord): string {
  return `${id}${state}${worker}${sequence}`;
}
