/**
 * The actions of slot ownership: each calls the transition functions that the entry instance executes.
 *
 * @module
 */
import { hasEnded, RequestState, SlotOutcome } from "../src/interface/index.ts";
import type { RequestRecord } from "../src/interface/index.ts";
import {
  createSlotHandover,
  createCompletionMessage,
  applyAcknowledgement,
  applyAssignment,
  TakeoverAction,
  takeoverActionFor,
  isAcknowledged,
  hasRecordsToForward,
  canAcceptUnknownKey,
  canEndNotRun,
  canReportEnd,
  ownsSlot,
  Permission,
  permissionToSend,
  receiveHandover,
  receiveRecord,
  createReplicateMessage,
  Stance,
  writeRecord,
} from "../src/request/slot_replica.ts";
import type { HeldRecord, SlotReplica } from "../src/request/slot_replica.ts";
import type { Assignment } from "../src/version/index.ts";
import type { Step } from "./checker.ts";
import { TOLD_ACCEPTED } from "./slot_invariants.ts";
import { acceptedRecord, encodeRecord, freshNode, idOf, WORKER } from "./slot_state.ts";
import type { Bounds, Demand, Faults, Message, Node, State } from "./slot_state.ts";

/** All steps that can be taken from a state. */
export function slotSteps(state: State, bounds: Bounds): Step<State>[] {
  const alive = state.nodes.filter((node) => node.up);
  return [
    ...alive.flatMap((node) => callerSteps(state, { node, bounds })),
    ...alive.flatMap((node) => ownerSteps(state, { node, bounds })),
    ...[...state.messages].flatMap(([key, message]) => deliver(state, { key, message, bounds })),
    ...alive.flatMap((node) => learn(state, { node, bounds })),
    ...alive.flatMap((node) => writeMap(state, { node, bounds })),
    ...state.nodes.flatMap((node) => leaveAndDie(state, { node, bounds })),
  ]
    .filter((one) => one.next !== state)
    .map((one) => ({ ...one, next: withTold(withoutSpent(one.next, bounds), bounds) }));
}

/** Drops what can change nothing any more at its receiver, so that fewer states differ in nothing else. */
function withoutSpent(state: State, { rules }: Bounds): State {
  const isSpent = (message: Message): boolean => {
    const node = state.nodes.find((one) => one.up && idOf(one) === message.to);
    if (node === undefined) return true;
    if (message.kind === "acknowledgement") return isHeard(node.replica, message);
    if (message.kind === "cession") return isKept(node, message);
    const { from, epoch, record } = message.message;
    if (rules.epochCheck && epoch < node.replica.assignment.epoch) return true;
    const sender = state.nodes.find((one) => one.up && idOf(one) === from);
    const told = { kind: "acknowledgement", to: from, id: record.id, epoch } as const;
    const answer = { ...told, sequence: record.sequence };
    const isAnswered =
      sender === undefined || isHeard(sender.replica, answer) || state.messages.has(keyOf(answer));
    return isAnswered && covers(node.replica, record, epoch);
  };
  const live = [...state.messages].filter(([, message]) => !isSpent(message));
  return live.length === state.messages.size ? state : { ...state, messages: new Map(live) };
}

function isHeard(
  { assignment, records: held }: SlotReplica,
  { id, sequence, epoch }: { id: string; sequence: number; epoch: number },
): boolean {
  if (epoch !== assignment.epoch) return epoch < assignment.epoch;
  return (held.get(id)?.acknowledged ?? 0) >= sequence;
}

/** A hand-over that the receiver has taken in, or that came too late for it. */
function isKept({ replica }: Node, message: Message & { kind: "cession" }): boolean {
  const { epoch, custody, complete, records } = message.message;
  if (!custody && (replica.assignment.epoch <= epoch || complete === true)) return false;
  if (complete === true && replica.completeThroughEpoch < epoch) return false;
  return records.every((record) => covers(replica, record, epoch));
}

function covers({ records: held }: SlotReplica, record: RequestRecord, epoch: number): boolean {
  const kept = held.get(record.id);
  if (kept === undefined || epoch > kept.epoch) return false;
  return epoch < kept.epoch || kept.record.sequence >= record.sequence;
}

interface At {
  readonly node: Node;
  readonly bounds: Bounds;
}

function step(name: string, next: State, fault = false): Step<State> {
  return { name, next, fault };
}

function withNode(state: State, node: Node, change: Partial<Node>): State {
  const nodes = state.nodes.map((one) => (one === node ? { ...one, ...change } : one));
  return { ...state, nodes };
}

function withReplica(state: State, node: Node, replica: SlotReplica): State {
  return replica === node.replica ? state : withNode(state, node, { replica });
}

function withMessage(state: State, message: Message): State {
  const key = keyOf(message);
  if (state.messages.has(key)) return state;
  return { ...state, messages: new Map(state.messages).set(key, message) };
}

function keyOf(message: Message): string {
  if (message.kind === "acknowledgement") {
    return `k${message.to}${message.id}.${message.sequence}@${message.epoch}`;
  }
  const { from, epoch } = message.message;
  const path = `${from}>${message.to}@${epoch}`;
  if (message.kind === "record") return `r${path}${encodeRecord(message.message.record)}`;
  const { custody, complete, records } = message.message;
  return `c${path}${Number(custody)}${Number(complete)}${records.map(encodeRecord).sort().join()}`;
}

function tell(state: State, id: string, what: string): State {
  const before = state.told[id] ?? [];
  if (before.includes(what)) return state;
  return { ...state, told: { ...state.told, [id]: [...before, what].sort() } };
}

function spend(state: State, kind: keyof Faults): State {
  return { ...state, faults: { ...state.faults, [kind]: state.faults[kind] - 1 } };
}

/**
 * Tells callers at once whatever they may be told. What was told feeds back into nothing, and each thing
 * told can only break more invariants: telling early is the worst case of telling late.
 */
function withTold(state: State, bounds: Bounds): State {
  let next = state;
  for (const { up, replica } of state.nodes) {
    if (!up || !ownsSlot(replica)) continue;
    for (const [id, { record }] of replica.records) {
      if (isAcknowledged(replica, id)) next = tell(next, id, TOLD_ACCEPTED);
      if (canReportEnd(replica, id, bounds.rules)) next = tell(next, id, record.state);
    }
  }
  return next;
}

/** A caller brings a request, or a key again. */
function callerSteps(state: State, { node, bounds }: At): Step<State>[] {
  if (!ownsSlot(node.replica)) return [];
  const unknown = bounds.demands.filter(({ id }) => !node.replica.records.has(id));
  return unknown.flatMap((demand) => submit(state, { node, bounds, demand }));
}

function submit(state: State, { node, bounds, demand }: At & { demand: Demand }): Step<State>[] {
  const { replica } = node;
  const isBrought = state.told[demand.id] !== undefined;
  if (node.leaving || (isBrought && !demand.keyed)) return [];
  if (!canAcceptUnknownKey(replica, demand.repeatable, bounds.rules)) return [];
  const brought = isBrought ? state : { ...state, told: { ...state.told, [demand.id]: [] } };
  const next = withReplica(brought, node, writeRecord(replica, acceptedRecord(demand)));
  return [step(`${idOf(node)} takes ${demand.id}`, next)];
}

/** What the owner does about each record: copies it, gets leave to send, sends, asks after it, ends it. */
function ownerSteps(state: State, { node, bounds }: At): Step<State>[] {
  const steps: Step<State>[] = [];
  for (const id of node.permitted) steps.push(send(state, { node, id }));
  if (!ownsSlot(node.replica)) return steps;
  for (const [id, held] of node.replica.records) {
    const message = isAcknowledged(node.replica, id)
      ? undefined
      : createReplicateMessage(node.replica, id);
    if (message !== undefined) {
      const to = node.replica.assignment.backup;
      const next = withMessage(state, { kind: "record", to, message });
      steps.push(step(`${idOf(node)} sends ${id} (${held.record.state}) to ${to}`, next));
    }
    if (!hasEnded(held.record.state)) steps.push(...advance(state, { node, bounds, held }));
  }
  return steps;
}

function send(state: State, { node, id }: { node: Node; id: string }): Step<State> {
  const permitted = node.permitted.filter((one) => one !== id);
  const sent = [...node.sent, id].sort();
  const next = withNode(state, node, { permitted, sent });
  const isBarred = state.barred.includes(id);
  const runs = isBarred
    ? state.runs
    : { ...state.runs, [id]: Math.min(2, (state.runs[id] ?? 0) + 1) };
  const name = `${idOf(node)} writes ${id} to the server, which ${isBarred ? "refuses" : "runs"} it`;
  return step(name, { ...next, runs });
}

function advance(state: State, { node, bounds, held }: At & { held: HeldRecord }): Step<State>[] {
  const { replica } = node;
  const { record } = held;
  const { id } = record;
  const at = idOf(node);
  const write = (name: string, change: Partial<RequestRecord>): Step<State> =>
    step(
      `${at} ${name} ${id}`,
      withReplica(state, node, writeRecord(replica, { ...record, ...change })),
    );
  const isSent = node.sent.includes(id);
  const isPermitted = node.permitted.includes(id);
  if (isSent) return answered(state, { node, bounds, held });
  const steps: Step<State>[] = [];
  const permission = permissionToSend(replica, id, bounds.rules);
  const inheritance = held.own ? TakeoverAction.Run : takeoverActionFor(record, bounds.rules);
  if (inheritance === TakeoverAction.Inquire) return [inquire(state, { node, bounds, held })];
  if (permission === Permission.NeedsIntent) {
    steps.push(write("intends to send", { state: RequestState.DispatchIntent, worker: WORKER }));
  }
  if (permission === Permission.Send && !isPermitted) {
    const next = withNode(state, node, { permitted: [...node.permitted, id].sort() });
    steps.push(step(`${at} finds that it may send ${id}`, next));
  }
  if (canEndNotRun(replica, id, isPermitted)) {
    steps.push(write("gives up, never sent,", { state: RequestState.NotRun }));
  }
  return steps;
}

/** After the write to the server: its answer, or its loss. */
function answered(state: State, { node, held }: At & { held: HeldRecord }): Step<State>[] {
  const { record } = held;
  const at = idOf(node);
  const end = (to: RequestState): State =>
    withReplica(state, node, writeRecord(node.replica, { ...record, state: to }));
  const steps: Step<State>[] = [];
  if ((state.runs[record.id] ?? 0) > 0) {
    steps.push(step(`${at} has the whole answer to ${record.id}`, end(RequestState.Complete)));
  }
  const isRefused = state.barred.includes(record.id);
  if (state.faults.lostAnswer > 0 || isRefused) {
    const next = end(RequestState.MayHaveRun);
    const name = `${at} loses the answer to ${record.id}`;
    steps.push(step(name, isRefused ? next : spend(next, "lostAnswer"), !isRefused));
  }
  return steps;
}

/** Asks the server that the intent names, which from then on refuses the id. */
function inquire(state: State, { node, held }: At & { held: HeldRecord }): Step<State> {
  const { record } = held;
  const hasRun = (state.runs[record.id] ?? 0) > 0;
  const end = hasRun ? RequestState.Complete : RequestState.NotRun;
  const replica = writeRecord(node.replica, { ...record, state: end });
  const barred = hasRun ? state.barred : [...new Set([...state.barred, record.id])].sort();
  const name = `${idOf(node)} asks the server after ${record.id}: ${hasRun ? "it ran" : "barred"}`;
  return step(name, withReplica({ ...state, barred }, node, replica));
}

/** A message arrives. It stays under way, so that it may arrive again. */
function deliver(
  state: State,
  { key, message, bounds }: { key: string; message: Message; bounds: Bounds },
): Step<State>[] {
  const node = state.nodes.find((one) => one.up && idOf(one) === message.to);
  if (node === undefined) return [];
  if (message.kind === "acknowledgement") {
    const replica = applyAcknowledgement(node.replica, message);
    return [step(`${message.to} hears of the copy ${key}`, withReplica(state, node, replica))];
  }
  if (message.kind === "record") {
    const { replica, reply } = receiveRecord(node.replica, message.message, bounds.rules);
    const taken = withReplica(state, node, replica);
    const { id, sequence } = message.message.record;
    const acknowledgement: Message = {
      kind: "acknowledgement",
      to: message.message.from,
      id,
      sequence,
      epoch: message.message.epoch,
    };
    const isTaken = reply.outcome === SlotOutcome.Acknowledged;
    const next = isTaken ? withMessage(taken, acknowledgement) : taken;
    return [step(`${message.to} answers ${reply.outcome} to ${key}`, next)];
  }
  const { replica, reply } = receiveHandover(node.replica, message.message, bounds.rules);
  const name = `${message.to} answers ${reply.outcome} to ${key}`;
  return [step(name, withReplica(state, node, replica))];
}

/** An instance learns of an assignment, from the store or from a peer. */
function learn(state: State, { node, bounds }: At): Step<State>[] {
  const peers = state.nodes.filter((one) => one.up).map((one) => one.replica.assignment);
  const known = new Map([state.stored, ...peers].map((one) => [one.epoch, one]));
  return [...known.values()].map((assignment) => {
    const replica = applyAssignment(node.replica, assignment, bounds.rules);
    const { epoch, primary, backup } = assignment;
    const name = `${idOf(node)} learns epoch ${epoch}: ${primary}, ${backup}`;
    return step(name, withReplica(state, node, replica));
  });
}

/**
 * A conditional update of the slot map, by an instance that knows the present one. Its answer is never
 * heard here: the writer learns of it as all others do, so every lost answer is enumerated.
 */
function writeMap(state: State, { node, bounds }: At): Step<State>[] {
  const { stored } = state;
  if (node.replica.assignment.epoch !== stored.epoch || stored.epoch >= bounds.epochs) return [];
  const able = state.nodes.filter((one) => one.up && !one.leaving).map(idOf);
  const pairs = able.flatMap((primary) => {
    const backups = able.filter((backup) => backup !== primary);
    // A backup that is promoted has none of its own at first.
    const promoted = primary === stored.backup ? ["", ...backups] : backups;
    const known = backups.length === 0 ? [""] : promoted;
    return known.map((backup) => ({ primary, backup }));
  });
  return pairs.flatMap((pair) => reassign(state, { node, pair }));
}

function reassign(
  state: State,
  { node, pair }: { node: Node; pair: Pick<Assignment, "primary" | "backup"> },
): Step<State>[] {
  const { stored } = state;
  const { primary, backup } = pair;
  if (stored.primary === primary && stored.backup === backup) return [];
  const suspected = suspects(state, pair);
  if (suspected > state.faults.suspicion) return [];
  const isNew = stored.epoch > 0 && primary !== stored.primary && primary !== stored.backup;
  // Whoever is left of the two has the records, and is the primary.
  if (isNew && (backup === stored.primary || backup === stored.backup)) return [];
  // Only the writer can know that it was left everything in custody; for others the history is lost.
  const inCustody = primary === idOf(node) && node.replica.completeThroughEpoch >= stored.epoch;
  const historyLostAt = isNew && !inCustody ? stored.epoch + 1 : stored.historyLostAt;
  const assignment = { epoch: stored.epoch + 1, primary, backup, historyLostAt };
  const faults = { ...state.faults, suspicion: state.faults.suspicion - suspected };
  const name = `${idOf(node)} writes epoch ${assignment.epoch}: ${primary}, ${backup}`;
  return [step(name, { ...state, stored: assignment, faults }, suspected > 0)];
}

/** How many living instances lose their part without having left: each was wrongly taken for dead. */
function suspects(state: State, { primary, backup }: { primary: string; backup: string }): number {
  const { stored } = state;
  const losers = [
    ...(stored.primary === primary ? [] : [stored.primary]),
    ...(stored.backup === primary || stored.backup === backup ? [] : [stored.backup]),
  ];
  return state.nodes.filter(
    (node) =>
      node.up &&
      losers.includes(idOf(node)) &&
      !node.leaving &&
      node.replica.stance !== Stance.Ceded,
  ).length;
}

const MOST_INCARNATIONS = 4;

/** Notices with the hand-over that follows, deaths, and new incarnations. */
function leaveAndDie(state: State, { node, bounds }: At): Step<State>[] {
  const at = idOf(node);
  if (!node.up) {
    const next = withNode(state, node, freshNode(node.name, node.incarnation + 1));
    const alive = state.nodes.filter((one) => one.up && !one.leaving).length;
    return node.incarnation < MOST_INCARNATIONS && alive < 2
      ? [step(`${node.name} starts again`, next)]
      : [];
  }
  const steps: Step<State>[] = [];
  const down = { up: false, permitted: [], sent: [], leaving: false };
  const others = state.nodes.filter((one) => one.up && !one.leaving && one !== node);
  if (state.faults.crash > 0) {
    steps.push(step(`${at} dies`, spend(died(state, node, down), "crash"), true));
  }
  if (state.faults.notice > 0 && !node.leaving && others.length > 0) {
    const next = spend(withNode(state, node, { leaving: true }), "notice");
    steps.push(step(`${at} is put under notice`, next, true));
  }
  steps.push(...handOver(state, { node, bounds, others }));
  // It is known that the hand-over arrived, by its acknowledgement or by that of another copy.
  const isSafe = [...node.replica.records.values()].every(({ record, epoch }) =>
    others.some((other) => covers(other.replica, record, epoch)),
  );
  if (node.leaving && isSafe && !ownsSlot(node.replica)) {
    steps.push(step(`${at} is taken away`, died(state, node, down)));
  }
  return steps;
}

function handOver(
  state: State,
  { node, bounds, others }: At & { others: readonly Node[] },
): Step<State>[] {
  const { replica } = node;
  const { primary, backup } = replica.assignment;
  const steps: Step<State>[] = [];
  const cede = (to: string): void => {
    const cession = createSlotHandover(replica, to, bounds.rules);
    if (isUnderWay(state, { from: replica.self, to, epoch: cession.message.epoch })) return;
    const next = withReplica(state, node, cession.replica);
    const sent = withMessage(next, { kind: "cession", to, message: cession.message });
    steps.push(step(`${idOf(node)} cedes to ${to}`, sent));
  };
  const keeps = hasRecordsToForward(replica);
  const named = others.filter((other) => idOf(other) === backup);
  const targets = named.length > 0 && !bounds.cedesToAll ? named : others;
  const hands = ownsSlot(replica) || keeps;
  if (node.leaving && hands) targets.forEach((other) => cede(idOf(other)));
  else if (keeps && hands && primary !== replica.self) cede(primary);
  // The first backup knows from the start that there is no history.
  const message = replica.assignment.epoch > 1 ? createCompletionMessage(replica) : undefined;
  if (message !== undefined) {
    const next = withMessage(state, { kind: "cession", to: backup, message });
    steps.push(step(`${idOf(node)} tells ${backup} that it has all`, next));
  }
  return steps;
}

function isUnderWay(state: State, path: { from: string; to: string; epoch: number }): boolean {
  return [...state.messages.values()].some(
    (one) =>
      one.kind === "cession" &&
      one.to === path.to &&
      one.message.from === path.from &&
      one.message.epoch === path.epoch,
  );
}

/** A dead incarnation, without the messages that nobody will ever take in. */
function died(state: State, node: Node, down: Partial<Node>): State {
  const at = idOf(node);
  const messages = new Map([...state.messages].filter(([, { to }]) => to !== at));
  return {
    ...withNode(state, node, { ...down, replica: freshNode(node.name, 0).replica }),
    messages,
  };
}
