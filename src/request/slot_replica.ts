/**
 * One slot as one entry instance sees it: the core of the ownership protocol.
 *
 * Everything here is a pure function from state and message to state and answer. The entry instance
 * executes these functions, and the actions of the specification in `model/` call the same ones, so what
 * the checker explores is what runs.
 *
 * No rule here trusts a clock. Safety rests on two facts: the store gives each epoch to one assignment,
 * and a backup that has heard of a later epoch acknowledges nothing of an earlier one.
 *
 * @module
 */
import { hasEnded, Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type {
  CedeMessage,
  ReplicateMessage,
  RequestRecord,
  SlotReply,
} from "../interface/index.ts";
import { UNASSIGNED } from "../version/index.ts";
import type { Assignment } from "../version/index.ts";

/** What an instance may do with a slot. */
export enum Stance {
  /** Neither primary nor backup; may hold records in custody. */
  None = "none",
  Primary = "primary",
  Backup = "backup",
  /** Was primary and has handed over: acts no more at this epoch. */
  Ceded = "ceded",
  /** Was backup and has been handed the slot: acts until the slot map catches up. */
  Acting = "acting",
}

/** A record with what is known of its copy. */
export interface Held {
  readonly record: RequestRecord;
  /** Highest sequence that the backup has acknowledged at the present epoch; 0 for none. */
  readonly acknowledged: number;
  /** Epoch of the owner that this copy comes from. */
  readonly epoch: number;
  /** Epoch up to which no later copy can exist elsewhere. */
  readonly latestTo: number;
  /** Written here, and the slot owned without a gap since: only then can this instance know what it sent. */
  readonly own: boolean;
}

/** The rules of the protocol that the model checker can switch off, to show that each is needed. */
export interface Rules {
  /** What may not be repeated waits for the backup's acknowledgement before it is sent. */
  readonly backupAck: boolean;
  /** A receiver refuses messages of an earlier epoch. */
  readonly epochCheck: boolean;
  /** What may have been sent is never sent again by the next owner. */
  readonly intentBlocks: boolean;
  /** "Not run" is said only once the backup has acknowledged it. */
  readonly notRunAck: boolean;
  /** A slot is ceded to its named backup only; all others keep records in custody. */
  readonly cedeToNamed: boolean;
  /** An owner by cession sends nothing that may not be repeated until the slot map names it. */
  readonly actingWaits: boolean;
  /** A slot taken over from two dead owners runs no unknown key that may not be repeated. */
  readonly historyLost: boolean;
  /** A copy from a later epoch replaces one from an earlier epoch, whatever their sequences. */
  readonly copyOrder: boolean;
  /** An owner runs nothing that may not be repeated from a copy, or a history, that may be out of date. */
  readonly freshCopy: boolean;
}

/** All rules in force, as in every running instance. */
export const ALL_RULES: Rules = {
  backupAck: true,
  epochCheck: true,
  intentBlocks: true,
  notRunAck: true,
  cedeToNamed: true,
  actingWaits: true,
  historyLost: true,
  copyOrder: true,
  freshCopy: true,
};

/** One slot at one instance. */
export interface SlotReplica {
  /** The instance's member id. */
  readonly self: string;
  readonly slot: number;
  /** The latest assignment heard of. */
  readonly assignment: Assignment;
  readonly stance: Stance;
  /** Epoch up to which this instance has had every record of the slot. */
  readonly completeTo: number;
  readonly held: ReadonlyMap<string, Held>;
}

/** A replica with the answer to the message that brought it about. */
export interface Answered {
  readonly replica: SlotReplica;
  readonly reply: SlotReply;
}

/** What the owner may do about a record that has not ended. */
export enum Permission {
  /** It may be sent to a backend server. */
  Send = "send",
  /** It needs a {@linkcode RequestState.DispatchIntent} that the backup has acknowledged. */
  NeedsIntent = "needs-intent",
  /** The record waits for the backup's acknowledgement. */
  NeedsAcknowledgement = "needs-acknowledgement",
  /** An earlier owner may have sent it: see {@linkcode Inheritance.Inquire}. */
  NeedsInquiry = "needs-inquiry",
  /** The slot map must first name this instance, with a backup. */
  NeedsMap = "needs-map",
  /** This instance doesn't own the slot. */
  NotOwner = "not-owner",
}

/** What a new owner does with a record that it inherits. */
export enum Inheritance {
  /** It has ended; it is only kept. */
  Keep = "keep",
  /** It goes on from the tokens that the record holds, or begins. */
  Run = "run",
  /** It may have been sent: it is asked after, never sent again. */
  Inquire = "inquire",
}

/**
 * A replica of a slot that nobody has owned.
 *
 * @param self The instance's member id.
 * @param slot The slot's number.
 */
export function emptyReplica(self: string, slot: number): SlotReplica {
  return {
    self,
    slot,
    assignment: UNASSIGNED,
    stance: Stance.None,
    completeTo: 0,
    held: new Map(),
  };
}

/**
 * Says whether the replica's instance acts for the slot.
 *
 * @param replica The slot at this instance.
 * @returns True for the primary, and for a backup that was handed the slot.
 */
export function ownsSlot(replica: SlotReplica): boolean {
  return replica.stance === Stance.Primary || replica.stance === Stance.Acting;
}

/**
 * Says whether this instance holds records that the slot's primary may not have: it kept them while others
 * owned the slot, or it is the backup of a primary that was named without them. A primary that has a
 * record sends it at each new epoch.
 */
export function isKeeper(replica: SlotReplica): boolean {
  return !ownsSlot(replica) && recordsToHandOn(replica).length > 0;
}

/**
 * Takes in an assignment from the slot map. An epoch that is not higher changes nothing, whoever says it.
 *
 * All acknowledgements are forgotten: they were another backup's, or given at an epoch that has passed.
 *
 * An instance that missed an epoch, or that kept records in custody while others owned the slot, may hold
 * copies older than what was done since. A new primary that ran from such a copy would run an entry a
 * second time; so it ends them as {@linkcode RequestState.MayHaveRun}.
 */
export function hearAssignment(
  replica: SlotReplica,
  assignment: Assignment,
  rules: Rules = ALL_RULES,
): SlotReplica {
  if (assignment.epoch <= replica.assignment.epoch) return replica;
  const stance = stanceIn(assignment, replica.self);
  const goesOn =
    replica.stance === Stance.Primary &&
    stance === Stance.Primary &&
    assignment.epoch === replica.assignment.epoch + 1;
  const heard: SlotReplica = {
    ...replica,
    assignment,
    stance,
    completeTo: completeAfter(replica, { assignment, stance }),
  };
  const held = new Map<string, Held>();
  for (const [id, one] of replica.held) {
    const latestTo = carried(heard, one.latestTo);
    // The new primary's copy is the slot's truth from here on, before whatever is still under way.
    const isTruth = stance === Stance.Primary && latestTo >= assignment.epoch;
    const epoch = isTruth ? assignment.epoch : one.epoch;
    const kept = { ...one, acknowledged: 0, epoch, latestTo, own: one.own && goesOn };
    held.set(id, doubted(heard, kept, rules));
  }
  return { ...heard, held };
}

/**
 * What was true up to the epoch before is true at this one for an instance that it names: nothing that
 * matters is done at an epoch without its primary and its backup.
 */
function carried({ assignment, stance }: SlotReplica, upTo: number): number {
  if (stance === Stance.None) return upTo;
  return upTo >= assignment.epoch - 1 ? Math.max(upTo, assignment.epoch) : upTo;
}

function completeAfter(
  replica: SlotReplica,
  { assignment, stance }: { assignment: Assignment; stance: Stance },
): number {
  // The history begins anew where the map says so; what was before is refused by the map's own mark.
  const begins =
    stance === Stance.Primary &&
    assignment.historyLostAt !== 0 &&
    assignment.historyLostAt !== replica.assignment.historyLostAt &&
    assignment.epoch === replica.assignment.epoch + 1;
  if (begins) return assignment.epoch;
  return carried({ ...replica, assignment, stance }, replica.completeTo);
}

/** A primary's copy that may be out of date, ended as what it is. */
function doubted(replica: SlotReplica, held: Held, rules: Rules): Held {
  const { record } = held;
  const isFresh = held.latestTo >= replica.assignment.epoch || !rules.freshCopy;
  if (isFresh || replica.stance !== Stance.Primary) return held;
  if (record.repeatable || hasEnded(record.state)) return held;
  const ended = {
    ...record,
    state: RequestState.MayHaveRun,
    reason: Refusal.HistoryLost,
    sequence: record.sequence + 1,
  };
  const { epoch } = replica.assignment;
  return { record: ended, acknowledged: 0, epoch, latestTo: epoch, own: true };
}

function stanceIn(assignment: Assignment, self: string): Stance {
  if (assignment.primary === self) return Stance.Primary;
  if (assignment.backup === self) return Stance.Backup;
  return Stance.None;
}

/**
 * Writes a record as the owner. The caller then sends it to the backup with {@linkcode replicationOf}.
 *
 * @returns The replica with the record, its sequence raised.
 */
export function writeRecord(replica: SlotReplica, record: RequestRecord): SlotReplica {
  const before = replica.held.get(record.id);
  const sequence = (before?.record.sequence ?? 0) + 1;
  const { epoch } = replica.assignment;
  return withHeld(replica, {
    record: { ...record, sequence },
    acknowledged: before?.acknowledged ?? 0,
    epoch,
    latestTo: epoch,
    own: true,
  });
}

function withHeld(replica: SlotReplica, held: Held): SlotReplica {
  const all = new Map(replica.held);
  all.set(held.record.id, held);
  return { ...replica, held: all };
}

/** The message that brings a record to the backup, or undefined where there is nobody to send it to. */
export function replicationOf(replica: SlotReplica, id: string): ReplicateMessage | undefined {
  const held = replica.held.get(id);
  if (held === undefined || replica.stance !== Stance.Primary) return undefined;
  if (replica.assignment.backup === "") return undefined;
  return {
    from: replica.self,
    slot: replica.slot,
    epoch: replica.assignment.epoch,
    record: held.record,
  };
}

/**
 * Answers a record that says it comes from the slot's primary.
 *
 * Without the check of the epoch a primary that was paused past a takeover would find its intent
 * acknowledged and send what the new owner has sent already: a club pays twice.
 */
export function receiveRecord(
  replica: SlotReplica,
  message: ReplicateMessage,
  rules: Rules = ALL_RULES,
): Answered {
  const refusal = refusalOf(replica, message.epoch, rules);
  if (refusal !== undefined) return { replica, reply: reply(replica, refusal) };
  const named = replica.stance === Stance.Backup || !rules.epochCheck;
  if (!named) return { replica, reply: reply(replica, SlotOutcome.NotNamed) };
  // Tokens are missing between what is held and what came: the sender begins again with all of them.
  if (lacksTokens(replica, message)) {
    return { replica, reply: reply(replica, SlotOutcome.Unable) };
  }
  return {
    replica: mergeRecord(replica, message.record, { epoch: message.epoch, rules }),
    reply: reply(replica, SlotOutcome.Acknowledged),
  };
}

function refusalOf(replica: SlotReplica, epoch: number, rules: Rules): SlotOutcome | undefined {
  // A receiver that is behind can't know whether it is named: the sender tries again once it has caught up.
  if (epoch > replica.assignment.epoch) return SlotOutcome.Unable;
  if (!rules.epochCheck) return undefined;
  if (epoch < replica.assignment.epoch) return SlotOutcome.StaleEpoch;
  return replica.stance === Stance.Acting ? SlotOutcome.StaleEpoch : undefined;
}

function reply(replica: SlotReplica, outcome: SlotOutcome): SlotReply {
  return { outcome, epoch: replica.assignment.epoch };
}

/**
 * Keeps the later of two copies of a record; a duplicate or late message changes nothing.
 *
 * The epoch goes before the sequence: a primary that was paused may hold a high sequence that no backup
 * ever had. Were that kept as the later copy, the instance would acknowledge what its new primary sends
 * without keeping it, and after the next takeover contradict what the caller was told.
 *
 * @param options The epoch of the owner that the copy comes from.
 */
export function mergeRecord(
  replica: SlotReplica,
  record: RequestRecord,
  options: { epoch: number; rules?: Rules },
): SlotReplica {
  const { epoch, rules = ALL_RULES } = options;
  const before = replica.held.get(record.id);
  if (before !== undefined && !isLater({ record, epoch }, before, rules)) return replica;
  const latestTo = carried(replica, epoch);
  const whole = wholeRecord(before?.record, record);
  const held = { record: whole, acknowledged: 0, epoch, latestTo, own: false };
  return withHeld(replica, doubted(replica, held, rules));
}

function isLater(
  { record, epoch }: Pick<Held, "record" | "epoch">,
  before: Held,
  rules: Rules,
): boolean {
  if (rules.copyOrder && epoch !== before.epoch) return epoch > before.epoch;
  return record.sequence > before.record.sequence;
}

function lacksTokens(replica: SlotReplica, { record, epoch }: ReplicateMessage): boolean {
  if (record.tokensFrom === 0) return false;
  const before = replica.held.get(record.id);
  // Tokens of an earlier owner may be another answer's: they are not to be joined to these.
  if (before?.epoch !== epoch) return true;
  if (before.record.sequence >= record.sequence) return false;
  return record.tokensFrom > before.record.tokens.length;
}

/** A copy sent from a later token on is joined to the tokens that are held. */
function wholeRecord(before: RequestRecord | undefined, record: RequestRecord): RequestRecord {
  if (record.tokensFrom === 0) return record;
  const first = before?.tokens.slice(0, record.tokensFrom) ?? [];
  return { ...record, tokens: [...first, ...record.tokens], tokensFrom: 0 };
}

/**
 * Takes in that a peer knows a later owner: this instance acts no more at its epoch, although it doesn't
 * know the later one yet.
 *
 * Without it a primary that was paused past a takeover would go on telling its callers ends that the new
 * owner contradicts, until the slot map reaches it.
 */
export function standDown(replica: SlotReplica, epoch: number): SlotReplica {
  if (epoch < replica.assignment.epoch || !ownsSlot(replica)) return replica;
  return { ...replica, stance: Stance.Ceded };
}

/** Drops a record: one that was never sent anywhere, or whose retention is over. */
export function forgetRecord(replica: SlotReplica, id: string): SlotReplica {
  if (!replica.held.has(id)) return replica;
  const held = new Map(replica.held);
  held.delete(id);
  return { ...replica, held };
}

/** Takes in the backup's acknowledgement of a sequence, if it was given at the present epoch. */
export function hearAcknowledgement(
  replica: SlotReplica,
  acknowledgement: { id: string; sequence: number; epoch: number },
): SlotReplica {
  const held = replica.held.get(acknowledgement.id);
  if (held === undefined || acknowledgement.epoch !== replica.assignment.epoch) return replica;
  if (held.acknowledged >= acknowledgement.sequence) return replica;
  return withHeld(replica, { ...held, acknowledged: acknowledgement.sequence });
}

/** Says whether the backup has the record as it stands. */
export function isAcknowledged(replica: SlotReplica, id: string): boolean {
  const held = replica.held.get(id);
  return held !== undefined && held.acknowledged >= held.record.sequence;
}

/**
 * Says whether a record may be sent to a backend server now. It is asked again immediately before every
 * write to a server's socket.
 */
export function permissionToSend(
  replica: SlotReplica,
  id: string,
  rules: Rules = ALL_RULES,
): Permission {
  const held = replica.held.get(id);
  if (held === undefined || !ownsSlot(replica)) return Permission.NotOwner;
  if (held.record.repeatable) return Permission.Send;
  if (replica.stance === Stance.Acting)
    return rules.actingWaits ? Permission.NeedsMap : Permission.Send;
  if (held.record.state !== RequestState.DispatchIntent) return Permission.NeedsIntent;
  if (!held.own && rules.intentBlocks) return Permission.NeedsInquiry;
  const acknowledged = isAcknowledged(replica, id) || !rules.backupAck;
  return acknowledged ? Permission.Send : Permission.NeedsAcknowledgement;
}

/** Says whether a caller may be told that the request ended as the record says. */
export function mayTellEnd(replica: SlotReplica, id: string, rules: Rules = ALL_RULES): boolean {
  const held = replica.held.get(id);
  if (held === undefined || !hasEnded(held.record.state)) return false;
  if (!ownsSlot(replica)) return false;
  const mustAgree = held.record.state === RequestState.NotRun ? rules.notRunAck : mustOutlive(held);
  return !mustAgree || isAcknowledged(replica, id);
}

/** An end that a caller can ask for again, at another owner, must read the same there. */
function mustOutlive({ record }: Held): boolean {
  return !record.repeatable || record.detached || record.keyed;
}

/** What a new owner does with a record that it inherits. */
export function inheritanceOf(record: RequestRecord, rules: Rules = ALL_RULES): Inheritance {
  if (hasEnded(record.state)) return Inheritance.Keep;
  if (record.repeatable || record.state === RequestState.Accepted) return Inheritance.Run;
  return rules.intentBlocks ? Inheritance.Inquire : Inheritance.Run;
}

/** A replica that has handed over, with the message that does it. */
export interface Cession {
  readonly replica: SlotReplica;
  readonly message: CedeMessage;
}

/**
 * Hands the slot over: from here on this instance acts no more at this epoch, whether or not the message
 * arrives. An instance that doesn't own the slot hands on what it holds in custody.
 *
 * @param to The receiver's member id; one that is not the named backup gets custody only. Ceding to a
 * second instance because the first did not answer would make two owners.
 */
export function cedeSlot(replica: SlotReplica, to: string, rules: Rules = ALL_RULES): Cession {
  const custody = rules.cedeToNamed && !(replica.assignment.backup === to && canHandOver(replica));
  const owned = ownsSlot(replica) || replica.stance === Stance.Ceded;
  const { epoch } = replica.assignment;
  const message: CedeMessage = {
    from: replica.self,
    slot: replica.slot,
    epoch: owned ? epoch : Math.min(epoch - 1, oldestCopy(replica)),
    custody,
    complete: owned && replica.completeTo >= epoch,
    records: recordsToHandOn(replica),
  };
  const stance = ownsSlot(replica) ? Stance.Ceded : replica.stance;
  return { replica: { ...replica, stance }, message };
}

/**
 * The message that copies the records of a slot that this instance owns to a member that is to become its
 * backup.
 *
 * It saves time later, and is worth nothing for what is not to be repeated: the slot goes on here, so the
 * copies carry epoch 0, which any copy made after the naming replaces.
 */
export function copyOf(replica: SlotReplica): CedeMessage {
  return {
    from: replica.self,
    slot: replica.slot,
    epoch: 0,
    custody: true,
    records: recordsOf(replica),
  };
}

/**
 * The message that tells the backup that it has the slot's whole history.
 *
 * A backup that has just been named has not: were it to take over, it would run a key again that it has
 * never seen.
 *
 * @returns Undefined where this primary doesn't have the history itself, or the backup hasn't yet
 * acknowledged every record.
 */
export function completionOf(replica: SlotReplica): CedeMessage | undefined {
  const { epoch, backup } = replica.assignment;
  if (replica.stance !== Stance.Primary || backup === "" || replica.completeTo < epoch) {
    return undefined;
  }
  if (![...replica.held.keys()].every((id) => isAcknowledged(replica, id))) return undefined;
  const { self: from, slot } = replica;
  return { from, slot, epoch, custody: true, complete: true, records: [] };
}

function recordsOf(replica: SlotReplica): RequestRecord[] {
  return [...replica.held.values()].map((held) => held.record);
}

/** All records, but those that the primary of a backup has sent it itself. */
function recordsToHandOn(replica: SlotReplica): RequestRecord[] {
  if (replica.stance !== Stance.Backup) return recordsOf(replica);
  const { epoch } = replica.assignment;
  return [...replica.held.values()].filter((held) => held.epoch < epoch).map((held) => held.record);
}

function oldestCopy(replica: SlotReplica): number {
  const epochs = [...replica.held.values()].map((held) => held.latestTo);
  return epochs.length === 0 ? 0 : Math.min(...epochs);
}

/** Only the primary of the map, before or after it has ceded, can make its named backup the owner. */
function canHandOver(replica: SlotReplica): boolean {
  return replica.assignment.primary === replica.self;
}

/** Answers a cession. A duplicate is acknowledged again and changes nothing. */
export function receiveCession(
  replica: SlotReplica,
  message: CedeMessage,
  rules: Rules = ALL_RULES,
): Answered {
  const { epoch } = message;
  const merged = message.records.reduce(
    (into, record) => mergeRecord(into, record, { epoch, rules }),
    message.complete === true
      ? { ...replica, completeTo: Math.max(replica.completeTo, carried(replica, epoch)) }
      : replica,
  );
  if (message.custody) {
    return { replica: merged, reply: reply(merged, SlotOutcome.Acknowledged) };
  }
  if (message.epoch > replica.assignment.epoch) {
    return { replica: merged, reply: reply(merged, SlotOutcome.Unable) };
  }
  if (rules.epochCheck && message.epoch < replica.assignment.epoch) {
    return { replica: merged, reply: reply(merged, SlotOutcome.StaleEpoch) };
  }
  const named = replica.stance === Stance.Backup || replica.stance === Stance.Acting;
  if (!named && rules.cedeToNamed) {
    return { replica: merged, reply: reply(merged, SlotOutcome.NotNamed) };
  }
  const acting = { ...merged, stance: Stance.Acting };
  return { replica: acting, reply: reply(acting, SlotOutcome.Acknowledged) };
}

/**
 * Says whether a request with a caller's key that this owner has never seen may be run.
 *
 * @returns False where the request may not be repeated and an earlier owner may have run the same key:
 * both earlier owners were lost with their records, or this one was named before it had them all.
 */
export function mayAcceptUnknownKey(
  replica: SlotReplica,
  repeatable: boolean,
  rules: Rules = ALL_RULES,
): boolean {
  if (repeatable) return true;
  const isLost = replica.assignment.historyLostAt !== 0 && rules.historyLost;
  const isPartial = replica.completeTo < replica.assignment.epoch && rules.freshCopy;
  return !isLost && !isPartial;
}

/**
 * Says whether a request that has not been answered may end as {@linkcode RequestState.NotRun}.
 *
 * @param sent True where this instance has written the request to a backend server, or was permitted to
 * and can't take that back.
 * @returns True only if nobody else can have sent it either: what may be repeated is sent without telling
 * the backup, so only the instance that accepted it can know.
 */
export function mayEndNotRun(replica: SlotReplica, id: string, sent: boolean): boolean {
  const held = replica.held.get(id);
  if (held === undefined || sent || !ownsSlot(replica)) return false;
  return held.own || (!held.record.repeatable && held.record.state === RequestState.Accepted);
}
