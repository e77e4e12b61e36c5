/**
 * The state of one slot at one entry instance: the core of the ownership protocol.
 *
 * Every function here is pure and maps a state and a message to a new state and a reply. The entry
 * instance executes these functions, and the actions of the specification in `model/` call the same
 * ones. The model checker therefore explores the code that runs in production.
 *
 * No rule relies on a clock. Safety depends on two facts: the store assigns each epoch only once,
 * and a backup that has received a later epoch acknowledges nothing from an earlier one.
 *
 * @module
 */
import { isFinalRequestState, Refusal, RequestState, SlotOutcome } from "../interface/index.ts";
import type {
  HandoverMessage,
  ReplicateMessage,
  RequestRecord,
  SlotReply,
} from "../interface/index.ts";
import { UNASSIGNED } from "../version/index.ts";
import type { SlotAssignment } from "../version/index.ts";

/** The role of an instance for a slot. */
export enum Stance {
  /** Neither primary nor backup. The instance may hold records in custody. */
  None = "none",
  /** Owner of the slot according to the slot map. */
  Primary = "primary",
  /** Holds copies of the primary's records and takes over from it. */
  Backup = "backup",
  /** Former primary that has handed the slot over. It no longer acts at this epoch. */
  Ceded = "ceded",
  /**
   * Backup to which the slot was handed over. It acts as owner until the slot map names a new
   * primary.
   */
  Acting = "acting",
}

/** A record with the state of its copies. */
export interface HeldRecord {
  readonly record: RequestRecord;
  /** Highest sequence that the backup has acknowledged at the current epoch; 0 for none. */
  readonly acknowledged: number;
  /** Epoch of the owner from which this copy comes. */
  readonly epoch: number;
  /** Epoch up to which no later copy of the record can exist at another instance. */
  readonly latestThroughEpoch: number;
  /**
   * Whether the record was written here and this instance has owned the slot without interruption
   * since. If not, this instance can't determine whether the request was sent.
   */
  readonly own: boolean;
}

/**
 * The rules of the protocol. The model checker can switch each one off to show that it is
 * necessary.
 */
export interface Rules {
  /** A request that may not be repeated is sent only after the backup has acknowledged it. */
  readonly backupAck: boolean;
  /** A receiver refuses messages from an earlier epoch. */
  readonly epochCheck: boolean;
  /** A new owner never sends again a request that a previous owner may have sent. */
  readonly intentBlocks: boolean;
  /** "Not run" is reported only after the backup has acknowledged it. */
  readonly notRunAck: boolean;
  /**
   * A slot is handed over only to its assigned backup. All other instances hold records in custody.
   */
  readonly cedeToNamed: boolean;
  /**
   * An instance that became owner by a handover sends no request that may not be repeated until the
   * slot map names it.
   */
  readonly actingWaits: boolean;
  /**
   * The new owner of a slot whose two previous owners both died runs no request with an unknown key
   * that may not be repeated.
   */
  readonly historyLost: boolean;
  /** A copy from a later epoch replaces one from an earlier epoch, whatever their sequences. */
  readonly copyOrder: boolean;
  /**
   * An owner runs no request that may not be repeated from a copy or a history that may be out of
   * date.
   */
  readonly freshCopy: boolean;
}

/** All rules enabled, as in every running instance. */
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

/** The state of one slot at one instance. */
export interface SlotReplica {
  /** Member id of the instance. */
  readonly self: string;
  readonly slot: number;
  /** The latest assignment received. */
  readonly assignment: SlotAssignment;
  /** The instance's role for the slot. */
  readonly stance: Stance;
  /** Epoch up to which this instance has received every record of the slot. */
  readonly completeThroughEpoch: number;
  /** The records of the slot by id. */
  readonly records: ReadonlyMap<string, HeldRecord>;
}

/** The new state of a slot and the reply to the message that caused it. */
export interface TransitionResult {
  readonly replica: SlotReplica;
  readonly reply: SlotReply;
}

/** Whether the owner may send a request that has not ended, or the condition that isn't met yet. */
export enum Permission {
  /** The request may be sent to a backend server. */
  Send = "send",
  /** The record needs a {@linkcode RequestState.DispatchIntent} acknowledged by the backup. */
  NeedsIntent = "needs-intent",
  /** The record needs the backup's acknowledgement. */
  NeedsAcknowledgement = "needs-acknowledgement",
  /** A previous owner may have sent the request, so its server must be asked first. */
  NeedsInquiry = "needs-inquiry",
  /** The slot map must first name this instance as primary, with a backup. */
  NeedsMap = "needs-map",
  /** This instance doesn't own the slot. */
  NotOwner = "not-owner",
}

/** The action of a new owner on an inherited record. */
export enum TakeoverAction {
  /** The record has ended and is only kept. */
  Keep = "keep",
  /** The request continues from the tokens in the record, or starts. */
  Run = "run",
  /** The request may have been sent. Its server is asked, and the request is never sent again. */
  Inquire = "inquire",
}

/**
 * Creates the state of a slot that no instance has owned.
 *
 * @param self Member id of the instance.
 * @param slot Number of the slot.
 */
export function emptyReplica(self: string, slot: number): SlotReplica {
  return {
    self,
    slot,
    assignment: UNASSIGNED,
    stance: Stance.None,
    completeThroughEpoch: 0,
    records: new Map(),
  };
}

/**
 * Whether the instance acts as owner of the slot.
 *
 * @returns True for the primary, and for a backup to which the slot was handed over.
 */
export function ownsSlot(replica: SlotReplica): boolean {
  return replica.stance === Stance.Primary || replica.stance === Stance.Acting;
}

/**
 * Whether this instance holds records that the slot's primary may not have. It held them in custody
 * while others owned the slot, or it is the backup of a primary that was assigned without having
 * them. A primary that has a record sends it to the backup at each new epoch.
 */
export function hasRecordsToForward(replica: SlotReplica): boolean {
  return !ownsSlot(replica) && recordsToForward(replica).length > 0;
}

/**
 * Applies an assignment from the slot map. An assignment whose epoch is not higher changes nothing,
 * whatever its source.
 *
 * All acknowledgements are cleared: they came from another backup or were given at an earlier
 * epoch.
 *
 * An instance that missed an epoch, or held records in custody while others owned the slot, may
 * have copies older than the latest state. A new primary that ran a request from such a copy could
 * run it a second time, so it ends those records as {@linkcode RequestState.MayHaveRun}.
 */
export function applyAssignment(
  replica: SlotReplica,
  assignment: SlotAssignment,
  rules: Rules = ALL_RULES,
): SlotReplica {
  if (assignment.epoch <= replica.assignment.epoch) return replica;
  const stance = roleIn(assignment, replica.self);
  const isContinuous =
    replica.stance === Stance.Primary &&
    stance === Stance.Primary &&
    assignment.epoch === replica.assignment.epoch + 1;
  const updated: SlotReplica = {
    ...replica,
    assignment,
    stance,
    completeThroughEpoch: completeThroughAfter(replica, { assignment, stance }),
  };
  const records = new Map<string, HeldRecord>();
  for (const [id, existing] of replica.records) {
    const latestThroughEpoch = extendThroughEpoch(updated, existing.latestThroughEpoch);
    // From here on, the new primary's copy takes precedence over messages still in transit.
    const isAuthoritative = stance === Stance.Primary && latestThroughEpoch >= assignment.epoch;
    const epoch = isAuthoritative ? assignment.epoch : existing.epoch;
    const updatedRecord = {
      ...existing,
      acknowledged: 0,
      epoch,
      latestThroughEpoch,
      own: existing.own && isContinuous,
    };
    records.set(id, endIfStale(updated, updatedRecord, rules));
  }
  return { ...updated, records };
}

/**
 * Extends a guarantee that holds up to the previous epoch to the current one, if the assignment
 * names this instance. Nothing relevant is done at an epoch without its primary and its backup.
 */
function extendThroughEpoch({ assignment, stance }: SlotReplica, throughEpoch: number): number {
  if (stance === Stance.None) return throughEpoch;
  return throughEpoch >= assignment.epoch - 1
    ? Math.max(throughEpoch, assignment.epoch)
    : throughEpoch;
}

function completeThroughAfter(
  replica: SlotReplica,
  { assignment, stance }: { assignment: SlotAssignment; stance: Stance },
): number {
  // The history starts anew where the slot map marks it as lost. Older keys are refused because of
  // that mark.
  const isNewHistory =
    stance === Stance.Primary &&
    assignment.historyLostAt !== 0 &&
    assignment.historyLostAt !== replica.assignment.historyLostAt &&
    assignment.epoch === replica.assignment.epoch + 1;
  if (isNewHistory) return assignment.epoch;
  return extendThroughEpoch({ ...replica, assignment, stance }, replica.completeThroughEpoch);
}

/** Ends a record if this instance is the primary and its copy may be out of date. */
function endIfStale(replica: SlotReplica, held: HeldRecord, rules: Rules): HeldRecord {
  const { record } = held;
  const isFresh = held.latestThroughEpoch >= replica.assignment.epoch || !rules.freshCopy;
  if (isFresh || replica.stance !== Stance.Primary) return held;
  if (record.repeatable || isFinalRequestState(record.state)) return held;
  const ended = {
    ...record,
    state: RequestState.MayHaveRun,
    reason: Refusal.HistoryLost,
    sequence: record.sequence + 1,
  };
  const { epoch } = replica.assignment;
  return { record: ended, acknowledged: 0, epoch, latestThroughEpoch: epoch, own: true };
}

function roleIn(assignment: SlotAssignment, self: string): Stance {
  if (assignment.primary === self) return Stance.Primary;
  if (assignment.backup === self) return Stance.Backup;
  return Stance.None;
}

/**
 * Writes a record as the owner. The caller then has to replicate it to the backup.
 *
 * @returns The new state, with the sequence of the record incremented.
 */
export function writeRecord(replica: SlotReplica, record: RequestRecord): SlotReplica {
  const existing = replica.records.get(record.id);
  const sequence = (existing?.record.sequence ?? 0) + 1;
  const { epoch } = replica.assignment;
  return withRecord(replica, {
    record: { ...record, sequence },
    acknowledged: existing?.acknowledged ?? 0,
    epoch,
    latestThroughEpoch: epoch,
    own: true,
  });
}

function withRecord(replica: SlotReplica, held: HeldRecord): SlotReplica {
  const all = new Map(replica.records);
  all.set(held.record.id, held);
  return { ...replica, records: all };
}

/**
 * Creates the message that replicates a record to the backup, or returns undefined if there is no
 * backup.
 */
export function createReplicateMessage(
  replica: SlotReplica,
  id: string,
): ReplicateMessage | undefined {
  const held = replica.records.get(id);
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
 * Handles a record that was sent as coming from the slot's primary.
 *
 * Without the check of the epoch, a primary that was paused past a takeover would get its intent
 * acknowledged and send a request that the new owner has already sent. The caller would pay twice.
 */
export function receiveRecord(
  replica: SlotReplica,
  message: ReplicateMessage,
  rules: Rules = ALL_RULES,
): TransitionResult {
  const refusal = findRefusal(replica, message.epoch, rules);
  if (refusal !== undefined) return { replica, reply: createReply(replica, refusal) };
  const isBackup = replica.stance === Stance.Backup || !rules.epochCheck;
  if (!isBackup) return { replica, reply: createReply(replica, SlotOutcome.NotNamed) };
  // Tokens are missing between the stored ones and the received ones: the sender starts over with
  // all of them.
  if (hasTokenGap(replica, message)) {
    return { replica, reply: createReply(replica, SlotOutcome.Unable) };
  }
  return {
    replica: mergeRecord(replica, message.record, { epoch: message.epoch, rules }),
    reply: createReply(replica, SlotOutcome.Acknowledged),
  };
}

function findRefusal(replica: SlotReplica, epoch: number, rules: Rules): SlotOutcome | undefined {
  // A receiver with an older slot map can't determine whether it is the backup. The sender retries
  // until the receiver has the current map.
  if (epoch > replica.assignment.epoch) return SlotOutcome.Unable;
  if (!rules.epochCheck) return undefined;
  if (epoch < replica.assignment.epoch) return SlotOutcome.StaleEpoch;
  return replica.stance === Stance.Acting ? SlotOutcome.StaleEpoch : undefined;
}

function createReply(replica: SlotReplica, outcome: SlotOutcome): SlotReply {
  return { outcome, epoch: replica.assignment.epoch };
}

/**
 * Keeps the later of two copies of a record. Duplicate and late messages change nothing.
 *
 * The epoch takes precedence over the sequence: a primary that was paused may hold a high sequence
 * that no backup ever received. If that copy counted as the later one, the instance would
 * acknowledge messages of its new primary without storing them, and after the next takeover
 * contradict what was reported to the caller.
 *
 * @param options `epoch` is the epoch of the owner from which the copy comes.
 */
export function mergeRecord(
  replica: SlotReplica,
  record: RequestRecord,
  options: { epoch: number; rules?: Rules },
): SlotReplica {
  const { epoch, rules = ALL_RULES } = options;
  const existing = replica.records.get(record.id);
  if (existing !== undefined && !isNewer({ record, epoch }, existing, rules)) return replica;
  const latestThroughEpoch = extendThroughEpoch(replica, epoch);
  const joined = joinTokens(existing?.record, record);
  const held = { record: joined, acknowledged: 0, epoch, latestThroughEpoch, own: false };
  return withRecord(replica, endIfStale(replica, held, rules));
}

function isNewer(
  { record, epoch }: Pick<HeldRecord, "record" | "epoch">,
  existing: HeldRecord,
  rules: Rules,
): boolean {
  if (rules.copyOrder && epoch !== existing.epoch) return epoch > existing.epoch;
  return record.sequence > existing.record.sequence;
}

function hasTokenGap(replica: SlotReplica, { record, epoch }: ReplicateMessage): boolean {
  if (record.tokensFrom === 0) return false;
  const existing = replica.records.get(record.id);
  // Tokens from an earlier epoch may belong to a different answer and must not be joined to these.
  if (existing?.epoch !== epoch) return true;
  if (existing.record.sequence >= record.sequence) return false;
  return record.tokensFrom > existing.record.tokens.length;
}

/** Joins a copy that starts at a later token to the stored tokens. */
function joinTokens(existing: RequestRecord | undefined, record: RequestRecord): RequestRecord {
  if (record.tokensFrom === 0) return record;
  const first = existing?.tokens.slice(0, record.tokensFrom) ?? [];
  return { ...record, tokens: [...first, ...record.tokens], tokensFrom: 0 };
}

/**
 * Ends ownership at the current epoch because a peer's reply shows that there is a later owner,
 * even though this instance hasn't received the later assignment yet.
 *
 * Without this, a primary that was paused past a takeover would report ends that the new owner
 * contradicts, until it receives the slot map.
 */
export function stepDown(replica: SlotReplica, epoch: number): SlotReplica {
  if (epoch < replica.assignment.epoch || !ownsSlot(replica)) return replica;
  return { ...replica, stance: Stance.Ceded };
}

/** Removes a record that was never sent anywhere or whose retention has expired. */
export function forgetRecord(replica: SlotReplica, id: string): SlotReplica {
  if (!replica.records.has(id)) return replica;
  const records = new Map(replica.records);
  records.delete(id);
  return { ...replica, records };
}

/** Records that the backup has acknowledged a sequence, if it did so at the current epoch. */
export function applyAcknowledgement(
  replica: SlotReplica,
  acknowledgement: { id: string; sequence: number; epoch: number },
): SlotReplica {
  const held = replica.records.get(acknowledgement.id);
  if (held === undefined || acknowledgement.epoch !== replica.assignment.epoch) return replica;
  if (held.acknowledged >= acknowledgement.sequence) return replica;
  return withRecord(replica, { ...held, acknowledged: acknowledgement.sequence });
}

/** Whether the backup has the current state of every record of the slot. */
export function areAllAcknowledged(replica: SlotReplica): boolean {
  return [...replica.records.keys()].every((id) => isAcknowledged(replica, id));
}

/** Whether the backup has the current state of the record. */
export function isAcknowledged(replica: SlotReplica, id: string): boolean {
  const held = replica.records.get(id);
  return held !== undefined && held.acknowledged >= held.record.sequence;
}

/**
 * Determines whether a record may be sent to a backend server now. The check is repeated
 * immediately before every write to a server's socket.
 */
export function permissionToSend(
  replica: SlotReplica,
  id: string,
  rules: Rules = ALL_RULES,
): Permission {
  const held = replica.records.get(id);
  if (held === undefined || !ownsSlot(replica)) return Permission.NotOwner;
  if (held.record.repeatable) return Permission.Send;
  if (replica.stance === Stance.Acting)
    return rules.actingWaits ? Permission.NeedsMap : Permission.Send;
  if (held.record.state !== RequestState.DispatchIntent) return Permission.NeedsIntent;
  if (!held.own && rules.intentBlocks) return Permission.NeedsInquiry;
  const isConfirmed = isAcknowledged(replica, id) || !rules.backupAck;
  return isConfirmed ? Permission.Send : Permission.NeedsAcknowledgement;
}

/** Whether the end in the record may be reported to the caller. */
export function canReportEnd(replica: SlotReplica, id: string, rules: Rules = ALL_RULES): boolean {
  const held = replica.records.get(id);
  if (held === undefined || !isFinalRequestState(held.record.state)) return false;
  if (!ownsSlot(replica)) return false;
  const needsAcknowledgement =
    held.record.state === RequestState.NotRun ? rules.notRunAck : mustSurviveOwner(held);
  return !needsAcknowledgement || isAcknowledged(replica, id);
}

/**
 * Whether a later owner must report the same end, because the caller can query the request there.
 */
function mustSurviveOwner({ record }: HeldRecord): boolean {
  return !record.repeatable || record.detached || record.keyed;
}

/** Returns the action of a new owner on an inherited record. */
export function takeoverActionFor(record: RequestRecord, rules: Rules = ALL_RULES): TakeoverAction {
  if (isFinalRequestState(record.state)) return TakeoverAction.Keep;
  if (record.repeatable || record.state === RequestState.Accepted) return TakeoverAction.Run;
  return rules.intentBlocks ? TakeoverAction.Inquire : TakeoverAction.Run;
}

/** The state of a slot after a handover, and the message that performs it. */
export interface SlotHandover {
  readonly replica: SlotReplica;
  readonly message: HandoverMessage;
}

/**
 * Hands the slot over. From here on this instance no longer acts at this epoch, whether or not the
 * message arrives. An instance that doesn't own the slot forwards the records that it holds in
 * custody.
 *
 * @param to Member id of the receiver. Any receiver but the assigned backup gets the records in
 * custody only. Handing the slot over to a second instance because the first did not reply would
 * create two owners.
 */
export function createSlotHandover(
  replica: SlotReplica,
  to: string,
  rules: Rules = ALL_RULES,
): SlotHandover {
  const isCustody =
    rules.cedeToNamed && !(replica.assignment.backup === to && canHandOver(replica));
  const isOrWasOwner = ownsSlot(replica) || replica.stance === Stance.Ceded;
  const { epoch } = replica.assignment;
  const message: HandoverMessage = {
    from: replica.self,
    slot: replica.slot,
    epoch: isOrWasOwner ? epoch : Math.min(epoch - 1, oldestCopyEpoch(replica)),
    custody: isCustody,
    complete: isOrWasOwner && replica.completeThroughEpoch >= epoch,
    records: recordsToForward(replica),
  };
  const stance = ownsSlot(replica) ? Stance.Ceded : replica.stance;
  return { replica: { ...replica, stance }, message };
}

/**
 * Creates the message that copies the records of an owned slot to a member that is about to become
 * its backup.
 *
 * The copies only save time later. They give no guarantee for requests that may not be repeated:
 * this instance continues to own the slot, so they carry epoch 0 and any copy made after the new
 * assignment replaces them.
 */
export function createCopyMessage(replica: SlotReplica): HandoverMessage {
  return {
    from: replica.self,
    slot: replica.slot,
    epoch: 0,
    custody: true,
    records: listRecords(replica),
  };
}

/**
 * Creates the message that informs the backup that it has the whole history of the slot.
 *
 * A newly assigned backup doesn't have it yet. If it took the slot over, it would run again a key
 * that it has never received.
 *
 * @returns Undefined if this primary doesn't have the whole history itself, or the backup hasn't
 * acknowledged every record yet.
 */
export function createCompletionMessage(replica: SlotReplica): HandoverMessage | undefined {
  const { epoch, backup } = replica.assignment;
  if (replica.stance !== Stance.Primary || backup === "" || replica.completeThroughEpoch < epoch) {
    return undefined;
  }
  if (!areAllAcknowledged(replica)) return undefined;
  const { self: from, slot } = replica;
  return { from, slot, epoch, custody: true, complete: true, records: [] };
}

function listRecords(replica: SlotReplica): RequestRecord[] {
  return [...replica.records.values()].map((held) => held.record);
}

/** Returns all records, except for those that a backup received from its current primary. */
function recordsToForward(replica: SlotReplica): RequestRecord[] {
  if (replica.stance !== Stance.Backup) return listRecords(replica);
  const { epoch } = replica.assignment;
  return [...replica.records.values()]
    .filter((held) => held.epoch < epoch)
    .map((held) => held.record);
}

function oldestCopyEpoch(replica: SlotReplica): number {
  const epochs = [...replica.records.values()].map((held) => held.latestThroughEpoch);
  return epochs.length === 0 ? 0 : Math.min(...epochs);
}

/**
 * Only the primary in the slot map, before or after its handover, can make its assigned backup the
 * owner.
 */
function canHandOver(replica: SlotReplica): boolean {
  return replica.assignment.primary === replica.self;
}

/** Handles a handover message. A duplicate is acknowledged again and changes nothing. */
export function receiveHandover(
  replica: SlotReplica,
  message: HandoverMessage,
  rules: Rules = ALL_RULES,
): TransitionResult {
  const { epoch } = message;
  const merged = message.records.reduce(
    (into, record) => mergeRecord(into, record, { epoch, rules }),
    message.complete === true
      ? {
          ...replica,
          completeThroughEpoch: Math.max(
            replica.completeThroughEpoch,
            extendThroughEpoch(replica, epoch),
          ),
        }
      : replica,
  );
  if (message.custody) {
    return { replica: merged, reply: createReply(merged, SlotOutcome.Acknowledged) };
  }
  if (message.epoch > replica.assignment.epoch) {
    return { replica: merged, reply: createReply(merged, SlotOutcome.Unable) };
  }
  if (rules.epochCheck && message.epoch < replica.assignment.epoch) {
    return { replica: merged, reply: createReply(merged, SlotOutcome.StaleEpoch) };
  }
  const isBackup = replica.stance === Stance.Backup || replica.stance === Stance.Acting;
  if (!isBackup && rules.cedeToNamed) {
    return { replica: merged, reply: createReply(merged, SlotOutcome.NotNamed) };
  }
  const acting = { ...merged, stance: Stance.Acting };
  return { replica: acting, reply: createReply(acting, SlotOutcome.Acknowledged) };
}

/**
 * Whether a request may run if its idempotency key is unknown to this owner.
 *
 * @returns False if the request may not be repeated and an earlier owner may have run the same key:
 * both earlier owners and their records were lost, or this owner was assigned before it had all
 * records.
 */
export function canAcceptUnknownKey(
  replica: SlotReplica,
  repeatable: boolean,
  rules: Rules = ALL_RULES,
): boolean {
  if (repeatable) return true;
  const isLost = replica.assignment.historyLostAt !== 0 && rules.historyLost;
  const isPartial = replica.completeThroughEpoch < replica.assignment.epoch && rules.freshCopy;
  return !isLost && !isPartial;
}

/**
 * Whether a request without an answer may end as {@linkcode RequestState.NotRun}.
 *
 * @param sent True if this instance has written the request to a backend server, or has been
 * permitted to and can't revoke that.
 * @returns True only if no other instance can have sent it either. A repeatable request is sent
 * without informing the backup, so only the instance that accepted it can rule out that it was
 * sent.
 */
export function canEndNotRun(replica: SlotReplica, id: string, sent: boolean): boolean {
  const held = replica.records.get(id);
  if (held === undefined || sent || !ownsSlot(replica)) return false;
  return held.own || (!held.record.repeatable && held.record.state === RequestState.Accepted);
}
