/**
 * The actions of the slot ownership specification. They submit requests, replicate records, send
 * requests to the backend server, deliver messages, reassign the slot, and start and stop
 * instances. Each action calls the transition functions that the entry instance executes, so the
 * model checker explores the code that runs in production.
 *
 * @module
 */
import { isFinalRequestState, RequestState, SlotOutcome } from "../src/interface/index.ts";
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
import type { SlotAssignment } from "../src/version/index.ts";
import type { Step } from "./checker.ts";
import { REPORTED_ACCEPTED } from "./slot_invariants.ts";
import { acceptedRecord, encodeRecord, createInstance, memberIdOf, WORKER } from "./slot_state.ts";
import type {
  Bounds,
  CallerRequest,
  FaultBudget,
  Message,
  InstanceState,
  SlotState,
} from "./slot_state.ts";

/** Returns all steps from a state. */
export function slotSteps(state: SlotState, bounds: Bounds): Step<SlotState>[] {
  const running = state.instances.filter((instance) => instance.isUp);
  return [
    ...running.flatMap((instance) => callerSteps(state, { instance, bounds })),
    ...running.flatMap((instance) => ownerSteps(state, { instance, bounds })),
    ...[...state.messages].flatMap(([key, message]) =>
      deliverySteps(state, { key, message, bounds }),
    ),
    ...running.flatMap((instance) => assignmentSteps(state, { instance, bounds })),
    ...running.flatMap((instance) => slotMapSteps(state, { instance, bounds })),
    ...state.instances.flatMap((instance) => lifecycleSteps(state, { instance, bounds })),
  ]
    .filter((one) => one.next !== state)
    .map((one) => ({
      ...one,
      next: withReports(dropIneffectiveMessages(one.next, bounds), bounds),
    }));
}

/**
 * Removes messages that can no longer change their receiver. This merges states that differ only in
 * such messages.
 */
function dropIneffectiveMessages(state: SlotState, { rules }: Bounds): SlotState {
  const hasNoEffect = (message: Message): boolean => {
    const instance = state.instances.find((one) => one.isUp && memberIdOf(one) === message.to);
    if (instance === undefined) return true;
    if (message.kind === "acknowledgement") return isAckApplied(instance.replica, message);
    if (message.kind === "handover") return isHandoverApplied(instance, message);
    const { from, epoch, record } = message.message;
    if (rules.epochCheck && epoch < instance.replica.assignment.epoch) return true;
    const sender = state.instances.find((one) => one.isUp && memberIdOf(one) === from);
    const identity = { kind: "acknowledgement", to: from, id: record.id, epoch } as const;
    const acknowledgement = { ...identity, sequence: record.sequence };
    const isAcknowledgementSent =
      sender === undefined ||
      isAckApplied(sender.replica, acknowledgement) ||
      state.messages.has(messageKey(acknowledgement));
    return isAcknowledgementSent && holdsRecord(instance.replica, record, epoch);
  };
  const effective = [...state.messages].filter(([, message]) => !hasNoEffect(message));
  return effective.length === state.messages.size
    ? state
    : { ...state, messages: new Map(effective) };
}

/** Whether the owner has applied an acknowledgement, or received it too late to apply it. */
function isAckApplied(
  { assignment, records: held }: SlotReplica,
  { id, sequence, epoch }: { id: string; sequence: number; epoch: number },
): boolean {
  if (epoch !== assignment.epoch) return epoch < assignment.epoch;
  return (held.get(id)?.acknowledged ?? 0) >= sequence;
}

/** Whether the receiver has applied a handover, or received it too late to apply it. */
function isHandoverApplied(
  { replica }: InstanceState,
  message: Message & { kind: "handover" },
): boolean {
  const { epoch, custody, complete, records } = message.message;
  if (!custody && (replica.assignment.epoch <= epoch || complete === true)) return false;
  if (complete === true && replica.completeThroughEpoch < epoch) return false;
  return records.every((record) => holdsRecord(replica, record, epoch));
}

/** Whether the instance holds the record in this or a later version. */
function holdsRecord(
  { records: held }: SlotReplica,
  record: RequestRecord,
  epoch: number,
): boolean {
  const existing = held.get(record.id);
  if (existing === undefined || epoch > existing.epoch) return false;
  return epoch < existing.epoch || existing.record.sequence >= record.sequence;
}

/** The acting instance and the bounds of the exploration. */
interface ActionContext {
  readonly instance: InstanceState;
  readonly bounds: Bounds;
}

function createStep(name: string, next: SlotState, isFault = false): Step<SlotState> {
  return { name, next, isFault };
}

function withInstance(
  state: SlotState,
  instance: InstanceState,
  change: Partial<InstanceState>,
): SlotState {
  const instances = state.instances.map((one) => (one === instance ? { ...one, ...change } : one));
  return { ...state, instances };
}

function withReplica(state: SlotState, instance: InstanceState, replica: SlotReplica): SlotState {
  return replica === instance.replica ? state : withInstance(state, instance, { replica });
}

function withMessage(state: SlotState, message: Message): SlotState {
  const key = messageKey(message);
  if (state.messages.has(key)) return state;
  return { ...state, messages: new Map(state.messages).set(key, message) };
}

/** Returns a key that identical messages share. */
function messageKey(message: Message): string {
  if (message.kind === "acknowledgement") {
    return `k${message.to}${message.id}.${message.sequence}@${message.epoch}`;
  }
  const { from, epoch } = message.message;
  const path = `${from}>${message.to}@${epoch}`;
  if (message.kind === "record") return `r${path}${encodeRecord(message.message.record)}`;
  const { custody, complete, records } = message.message;
  return `c${path}${Number(custody)}${Number(complete)}${records.map(encodeRecord).sort().join()}`;
}

function report(state: SlotState, id: string, reportedState: string): SlotState {
  const reported = state.reported[id] ?? [];
  if (reported.includes(reportedState)) return state;
  return { ...state, reported: { ...state.reported, [id]: [...reported, reportedState].sort() } };
}

function spendFault(state: SlotState, kind: keyof FaultBudget): SlotState {
  return { ...state, faultsLeft: { ...state.faultsLeft, [kind]: state.faultsLeft[kind] - 1 } };
}

/**
 * Reports to callers immediately whatever may be reported. Reports don't affect any later step, and
 * each one can only violate more invariants, so an early report is the worst case of a late one.
 */
function withReports(state: SlotState, bounds: Bounds): SlotState {
  let next = state;
  for (const { isUp, replica } of state.instances) {
    if (!isUp || !ownsSlot(replica)) continue;
    for (const [id, { record }] of replica.records) {
      if (isAcknowledged(replica, id)) next = report(next, id, REPORTED_ACCEPTED);
      if (canReportEnd(replica, id, bounds.rules)) next = report(next, id, record.state);
    }
  }
  return next;
}

/** A caller submits a request, or submits a key again. */
function callerSteps(state: SlotState, { instance, bounds }: ActionContext): Step<SlotState>[] {
  if (!ownsSlot(instance.replica)) return [];
  const unknown = bounds.demands.filter(({ id }) => !instance.replica.records.has(id));
  return unknown.flatMap((request) => submitSteps(state, { instance, bounds, request }));
}

function submitSteps(
  state: SlotState,
  { instance, bounds, request }: ActionContext & { request: CallerRequest },
): Step<SlotState>[] {
  const { replica } = instance;
  const isSubmitted = state.reported[request.id] !== undefined;
  if (instance.isLeaving || (isSubmitted && !request.keyed)) return [];
  if (!canAcceptUnknownKey(replica, request.repeatable, bounds.rules)) return [];
  const submitted = isSubmitted
    ? state
    : { ...state, reported: { ...state.reported, [request.id]: [] } };
  const next = withReplica(submitted, instance, writeRecord(replica, acceptedRecord(request)));
  return [createStep(`${memberIdOf(instance)} accepts ${request.id}`, next)];
}

/**
 * Steps of the owner for each record: replicate it, obtain permission, send it, ask the server
 * about it, end it.
 */
function ownerSteps(state: SlotState, { instance, bounds }: ActionContext): Step<SlotState>[] {
  const steps: Step<SlotState>[] = [];
  for (const id of instance.permittedIds) steps.push(sendStep(state, { instance, id }));
  if (!ownsSlot(instance.replica)) return steps;
  for (const [id, held] of instance.replica.records) {
    const message = isAcknowledged(instance.replica, id)
      ? undefined
      : createReplicateMessage(instance.replica, id);
    if (message !== undefined) {
      const to = instance.replica.assignment.backup;
      const next = withMessage(state, { kind: "record", to, message });
      steps.push(
        createStep(`${memberIdOf(instance)} sends ${id} (${held.record.state}) to ${to}`, next),
      );
    }
    if (!isFinalRequestState(held.record.state))
      steps.push(...requestSteps(state, { instance, bounds, held }));
  }
  return steps;
}

/** Writes a permitted request to the socket of the backend server. */
function sendStep(
  state: SlotState,
  { instance, id }: { instance: InstanceState; id: string },
): Step<SlotState> {
  const permittedIds = instance.permittedIds.filter((one) => one !== id);
  const sentIds = [...instance.sentIds, id].sort();
  const next = withInstance(state, instance, { permittedIds, sentIds });
  const isBarred = state.barredIds.includes(id);
  const runs = isBarred
    ? state.runs
    : { ...state.runs, [id]: Math.min(2, (state.runs[id] ?? 0) + 1) };
  const name = `${memberIdOf(instance)} writes ${id} to the server, which ${isBarred ? "refuses" : "runs"} it`;
  return createStep(name, { ...next, runs });
}

/** Steps of the owner for a record that has not ended. */
function requestSteps(
  state: SlotState,
  { instance, bounds, held }: ActionContext & { held: HeldRecord },
): Step<SlotState>[] {
  const { replica } = instance;
  const { record } = held;
  const { id } = record;
  const memberId = memberIdOf(instance);
  const write = (name: string, change: Partial<RequestRecord>): Step<SlotState> =>
    createStep(
      `${memberId} ${name} ${id}`,
      withReplica(state, instance, writeRecord(replica, { ...record, ...change })),
    );
  const isSent = instance.sentIds.includes(id);
  const isPermitted = instance.permittedIds.includes(id);
  if (isSent) return responseSteps(state, { instance, bounds, held });
  const steps: Step<SlotState>[] = [];
  const permission = permissionToSend(replica, id, bounds.rules);
  const takeoverAction = held.own ? TakeoverAction.Run : takeoverActionFor(record, bounds.rules);
  if (takeoverAction === TakeoverAction.Inquire)
    return [inquiryStep(state, { instance, bounds, held })];
  if (permission === Permission.NeedsIntent) {
    steps.push(
      write("records the intent to send", { state: RequestState.DispatchIntent, worker: WORKER }),
    );
  }
  if (permission === Permission.Send && !isPermitted) {
    const next = withInstance(state, instance, {
      permittedIds: [...instance.permittedIds, id].sort(),
    });
    steps.push(createStep(`${memberId} obtains permission to send ${id}`, next));
  }
  if (canEndNotRun(replica, id, isPermitted)) {
    steps.push(write("records as not run:", { state: RequestState.NotRun }));
  }
  return steps;
}

/** Steps after the write to the server: the response arrives or is lost. */
function responseSteps(
  state: SlotState,
  { instance, held }: ActionContext & { held: HeldRecord },
): Step<SlotState>[] {
  const { record } = held;
  const memberId = memberIdOf(instance);
  const endAs = (finalState: RequestState): SlotState =>
    withReplica(state, instance, writeRecord(instance.replica, { ...record, state: finalState }));
  const steps: Step<SlotState>[] = [];
  if ((state.runs[record.id] ?? 0) > 0) {
    steps.push(
      createStep(
        `${memberId} receives the complete answer to ${record.id}`,
        endAs(RequestState.Complete),
      ),
    );
  }
  const isRefused = state.barredIds.includes(record.id);
  if (state.faultsLeft.lostAnswer > 0 || isRefused) {
    const next = endAs(RequestState.MayHaveRun);
    const name = `${memberId} loses the answer to ${record.id}`;
    steps.push(createStep(name, isRefused ? next : spendFault(next, "lostAnswer"), !isRefused));
  }
  return steps;
}

/**
 * Asks the server named in the intent whether the request ran. If not, the server refuses the id
 * from then on.
 */
function inquiryStep(
  state: SlotState,
  { instance, held }: ActionContext & { held: HeldRecord },
): Step<SlotState> {
  const { record } = held;
  const hasRun = (state.runs[record.id] ?? 0) > 0;
  const endState = hasRun ? RequestState.Complete : RequestState.NotRun;
  const replica = writeRecord(instance.replica, { ...record, state: endState });
  const barredIds = hasRun ? state.barredIds : [...new Set([...state.barredIds, record.id])].sort();
  const name = `${memberIdOf(instance)} asks the server about ${record.id}: ${hasRun ? "it ran" : "refused from now on"}`;
  return createStep(name, withReplica({ ...state, barredIds }, instance, replica));
}

/** Delivers a message. It stays in transit, so it may arrive again. */
function deliverySteps(
  state: SlotState,
  { key, message, bounds }: { key: string; message: Message; bounds: Bounds },
): Step<SlotState>[] {
  const instance = state.instances.find((one) => one.isUp && memberIdOf(one) === message.to);
  if (instance === undefined) return [];
  if (message.kind === "acknowledgement") {
    const replica = applyAcknowledgement(instance.replica, message);
    return [
      createStep(
        `${message.to} receives the acknowledgement ${key}`,
        withReplica(state, instance, replica),
      ),
    ];
  }
  if (message.kind === "record") {
    const { replica, reply } = receiveRecord(instance.replica, message.message, bounds.rules);
    const received = withReplica(state, instance, replica);
    const { id, sequence } = message.message.record;
    const acknowledgement: Message = {
      kind: "acknowledgement",
      to: message.message.from,
      id,
      sequence,
      epoch: message.message.epoch,
    };
    const isAccepted = reply.outcome === SlotOutcome.Acknowledged;
    const next = isAccepted ? withMessage(received, acknowledgement) : received;
    return [createStep(`${message.to} replies ${reply.outcome} to ${key}`, next)];
  }
  const { replica, reply } = receiveHandover(instance.replica, message.message, bounds.rules);
  const name = `${message.to} replies ${reply.outcome} to ${key}`;
  return [createStep(name, withReplica(state, instance, replica))];
}

/** An instance receives an assignment from the store or from a peer. */
function assignmentSteps(state: SlotState, { instance, bounds }: ActionContext): Step<SlotState>[] {
  const peers = state.instances.filter((one) => one.isUp).map((one) => one.replica.assignment);
  const assignments = new Map([state.storedAssignment, ...peers].map((one) => [one.epoch, one]));
  return [...assignments.values()].map((assignment) => {
    const replica = applyAssignment(instance.replica, assignment, bounds.rules);
    const { epoch, primary, backup } = assignment;
    const name = `${memberIdOf(instance)} receives epoch ${epoch}: ${primary}, ${backup}`;
    return createStep(name, withReplica(state, instance, replica));
  });
}

/**
 * An instance with the current slot map updates it conditionally. The response isn't modeled. The
 * writer receives the new slot map the same way as all others, which covers every lost response.
 */
function slotMapSteps(state: SlotState, { instance, bounds }: ActionContext): Step<SlotState>[] {
  const { storedAssignment: stored } = state;
  if (instance.replica.assignment.epoch !== stored.epoch || stored.epoch >= bounds.epochs)
    return [];
  const eligible = state.instances.filter((one) => one.isUp && !one.isLeaving).map(memberIdOf);
  const pairs = eligible.flatMap((primary) => {
    const backups = eligible.filter((backup) => backup !== primary);
    // A promoted backup has no backup of its own at first.
    const promoted = primary === stored.backup ? ["", ...backups] : backups;
    const choices = backups.length === 0 ? [""] : promoted;
    return choices.map((backup) => ({ primary, backup }));
  });
  return pairs.flatMap((pair) => reassignSteps(state, { instance, pair }));
}

/** Writes a new primary and backup to the store, within the remaining wrong suspicions. */
function reassignSteps(
  state: SlotState,
  { instance, pair }: { instance: InstanceState; pair: Pick<SlotAssignment, "primary" | "backup"> },
): Step<SlotState>[] {
  const { storedAssignment: stored } = state;
  const { primary, backup } = pair;
  if (stored.primary === primary && stored.backup === backup) return [];
  const suspected = countSuspected(state, pair);
  if (suspected > state.faultsLeft.suspicion) return [];
  const isNewToSlot = stored.epoch > 0 && primary !== stored.primary && primary !== stored.backup;
  // If one of the two owners remains, it has the records and becomes the primary.
  if (isNewToSlot && (backup === stored.primary || backup === stored.backup)) return [];
  // A primary that is new to the slot has the slot's whole history only if it received all records
  // in custody. The writer can check this for itself alone, so for any other new primary the history
  // counts as lost.
  const hasFullHistory =
    primary === memberIdOf(instance) && instance.replica.completeThroughEpoch >= stored.epoch;
  const historyLostAt = isNewToSlot && !hasFullHistory ? stored.epoch + 1 : stored.historyLostAt;
  const assignment = { epoch: stored.epoch + 1, primary, backup, historyLostAt };
  const faultsLeft = { ...state.faultsLeft, suspicion: state.faultsLeft.suspicion - suspected };
  const name = `${memberIdOf(instance)} writes epoch ${assignment.epoch}: ${primary}, ${backup}`;
  return [createStep(name, { ...state, storedAssignment: assignment, faultsLeft }, suspected > 0)];
}

/**
 * Counts the running instances that lose their role although they are neither leaving nor have
 * handed over the slot. Each was wrongly considered dead.
 */
function countSuspected(
  state: SlotState,
  { primary, backup }: { primary: string; backup: string },
): number {
  const { storedAssignment: stored } = state;
  const replaced = [
    ...(stored.primary === primary ? [] : [stored.primary]),
    ...(stored.backup === primary || stored.backup === backup ? [] : [stored.backup]),
  ];
  return state.instances.filter(
    (instance) =>
      instance.isUp &&
      replaced.includes(memberIdOf(instance)) &&
      !instance.isLeaving &&
      instance.replica.stance !== Stance.Ceded,
  ).length;
}

/** Maximum number of starts of an instance. Bounds the state space. */
const MAX_INCARNATIONS = 4;

/** Reclaim notices with the handover that follows, crashes and restarts. */
function lifecycleSteps(state: SlotState, { instance, bounds }: ActionContext): Step<SlotState>[] {
  const memberId = memberIdOf(instance);
  if (!instance.isUp) {
    const next = withInstance(
      state,
      instance,
      createInstance(instance.name, instance.incarnation + 1),
    );
    const runningCount = state.instances.filter((one) => one.isUp && !one.isLeaving).length;
    return instance.incarnation < MAX_INCARNATIONS && runningCount < 2
      ? [createStep(`${instance.name} restarts`, next)]
      : [];
  }
  const steps: Step<SlotState>[] = [];
  const stopped = { isUp: false, permittedIds: [], sentIds: [], isLeaving: false };
  const others = state.instances.filter((one) => one.isUp && !one.isLeaving && one !== instance);
  if (state.faultsLeft.crash > 0) {
    steps.push(
      createStep(
        `${memberId} crashes`,
        spendFault(terminate(state, instance, stopped), "crash"),
        true,
      ),
    );
  }
  if (state.faultsLeft.notice > 0 && !instance.isLeaving && others.length > 0) {
    const next = spendFault(withInstance(state, instance, { isLeaving: true }), "notice");
    steps.push(createStep(`${memberId} receives a reclaim notice`, next, true));
  }
  steps.push(...handoverSteps(state, { instance, bounds, others }));
  // Acknowledgements of the handover or of other copies confirm that each record is held elsewhere.
  const areAllHeldElsewhere = [...instance.replica.records.values()].every(({ record, epoch }) =>
    others.some((other) => holdsRecord(other.replica, record, epoch)),
  );
  if (instance.isLeaving && areAllHeldElsewhere && !ownsSlot(instance.replica)) {
    steps.push(createStep(`${memberId} is reclaimed`, terminate(state, instance, stopped)));
  }
  return steps;
}

/**
 * Handovers of records to other instances, and the notice to the backup that its records are
 * complete. A leaving instance hands over its records to the backup, or to all others if the backup
 * isn't available. Another instance forwards records that the primary may not have to the primary.
 */
function handoverSteps(
  state: SlotState,
  { instance, bounds, others }: ActionContext & { others: readonly InstanceState[] },
): Step<SlotState>[] {
  const { replica } = instance;
  const { primary, backup } = replica.assignment;
  const steps: Step<SlotState>[] = [];
  const handOverTo = (to: string): void => {
    const handover = createSlotHandover(replica, to, bounds.rules);
    if (isInTransit(state, { from: replica.self, to, epoch: handover.message.epoch })) return;
    const next = withReplica(state, instance, handover.replica);
    const withHandover = withMessage(next, { kind: "handover", to, message: handover.message });
    steps.push(createStep(`${memberIdOf(instance)} hands over to ${to}`, withHandover));
  };
  const mustForward = hasRecordsToForward(replica);
  const assignedBackup = others.filter((other) => memberIdOf(other) === backup);
  const targets = assignedBackup.length > 0 && !bounds.cedesToAll ? assignedBackup : others;
  const canHandOver = ownsSlot(replica) || mustForward;
  if (instance.isLeaving && canHandOver) targets.forEach((other) => handOverTo(memberIdOf(other)));
  else if (mustForward && canHandOver && primary !== replica.self) handOverTo(primary);
  // At epoch 1 there is no history yet, so the backup needs no notice.
  const message = replica.assignment.epoch > 1 ? createCompletionMessage(replica) : undefined;
  if (message !== undefined) {
    const next = withMessage(state, { kind: "handover", to: backup, message });
    steps.push(
      createStep(`${memberIdOf(instance)} notifies ${backup} that its records are complete`, next),
    );
  }
  return steps;
}

function isInTransit(
  state: SlotState,
  handover: { from: string; to: string; epoch: number },
): boolean {
  return [...state.messages.values()].some(
    (one) =>
      one.kind === "handover" &&
      one.to === handover.to &&
      one.message.from === handover.from &&
      one.message.epoch === handover.epoch,
  );
}

/** Stops an incarnation and removes the messages to it, which can no longer be received. */
function terminate(
  state: SlotState,
  instance: InstanceState,
  stopped: Partial<InstanceState>,
): SlotState {
  const memberId = memberIdOf(instance);
  const messages = new Map([...state.messages].filter(([, { to }]) => to !== memberId));
  return {
    ...withInstance(state, instance, {
      ...stopped,
      replica: createInstance(instance.name, 0).replica,
    }),
    messages,
  };
}
