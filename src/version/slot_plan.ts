import type { SlotAssignment, SlotMap } from "./slot_map.ts";
import { slotTargets } from "./slot_target.ts";
import type { SlotMember, SlotTarget } from "./slot_target.ts";

/** The members of a region that matter for slot assignments. */
export interface SlotFleet {
  /** Members that may be assigned slots: alive, not leaving, and not in a zone that is about to be reclaimed. */
  readonly eligible: readonly SlotMember[];
  /** Ids of members that still hold their records: the eligible ones, and suspect or leaving ones. */
  readonly present: ReadonlySet<string>;
  /**
   * Whether the slot's backup may be promoted although the primary, which is not eligible any more, is still present.
   * Promoted before it has the whole history, it would refuse all keys that it doesn't know.
   */
  readonly canReplacePrimary: (slot: number, assignment: SlotAssignment) => boolean;
}

/** A new assignment of a slot. It is written only if the slot is still at the preceding epoch. */
export interface SlotChange {
  readonly slot: number;
  readonly assignment: SlotAssignment;
}

/** Slots of a primary that need a new backup, by the member that is to become the backup. */
export type BackupPlan = ReadonlyMap<string, readonly number[]>;

/**
 * Plans the changes that any member may write: first assignments, promotions of backups, and new owners for slots that
 * have lost both.
 *
 * A promoted slot gets no backup yet. A backup that is assigned before it holds the records would be promoted without
 * them if the primary died next, and requests would be lost silently.
 *
 * @param map The current slot map.
 * @param fleet The members.
 * @param date The current time in Unix milliseconds, recorded for slots whose history is lost.
 * @returns The changes; empty if none is needed.
 */
export function planTakeover(map: SlotMap, fleet: SlotFleet, date: number): readonly SlotChange[] {
  const eligibleIds = new Set(fleet.eligible.map(({ id }) => id));
  if (map.slots.every((assignment) => !needsTakeover(assignment, { fleet, eligibleIds })))
    return [];
  const targets = slotTargets(fleet.eligible);
  return map.slots.flatMap((before, slot) => {
    const assignment = takeoverAssignment(before, {
      slot,
      fleet,
      eligibleIds,
      target: targets[slot],
      date,
    });
    return assignment === undefined ? [] : [{ slot, assignment }];
  });
}

function needsTakeover(
  assignment: SlotAssignment,
  { fleet, eligibleIds }: { fleet: SlotFleet; eligibleIds: ReadonlySet<string> },
): boolean {
  const { primary, backup } = assignment;
  if (!fleet.present.has(primary) || mustRemoveBackup(assignment, fleet)) return true;
  return !eligibleIds.has(primary) && eligibleIds.has(backup);
}

/**
 * Returns whether only one member is eligible and the slot's backup is dead. The backup is then removed from the map,
 * so that the owner doesn't wait for its acknowledgments.
 */
function mustRemoveBackup({ backup }: SlotAssignment, { eligible, present }: SlotFleet): boolean {
  return eligible.length === 1 && backup !== "" && !present.has(backup);
}

function takeoverAssignment(
  before: SlotAssignment,
  view: {
    slot: number;
    fleet: SlotFleet;
    eligibleIds: ReadonlySet<string>;
    target: SlotTarget | undefined;
    date: number;
  },
): SlotAssignment | undefined {
  const { slot, fleet, eligibleIds, target, date } = view;
  const { primary, backup, epoch } = before;
  if (eligibleIds.has(primary))
    return mustRemoveBackup(before, fleet) ? withBackup(before, "") : undefined;
  if (fleet.present.has(primary))
    return fleet.canReplacePrimary(slot, before) ? promoteBackup(before, eligibleIds) : undefined;
  if (fleet.present.has(backup)) return promoteBackup(before, fleet.present);
  if (target === undefined || target.primary === "") return undefined;
  // No member holds records of the slot any more, so the backup can be assigned at once.
  return { epoch: epoch + 1, ...target, historyLostAt: epoch === 0 ? 0 : date };
}

/**
 * Returns an assignment with the backup promoted to primary, at the next epoch and without a backup.
 *
 * @param before The slot's current assignment.
 * @param among Ids of the members that may be promoted.
 * @returns The assignment, or undefined if the backup may not be promoted.
 */
export function promoteBackup(
  before: SlotAssignment,
  among: ReadonlySet<string>,
): SlotAssignment | undefined {
  const { epoch, backup } = before;
  return among.has(backup)
    ? { ...before, epoch: epoch + 1, primary: backup, backup: "" }
    : undefined;
}

/**
 * Plans new backups for the slots of a primary: for slots whose backup is missing or leaving, and up to `maxMoves`
 * more that bring the slots closer to their targets.
 *
 * @param map The current slot map.
 * @param options The primary's member id, the members, and the maximum number of slots to move for balance.
 * @returns Slots by the member that is to become their backup. The slots' records must be copied to that member before
 * the assignment is written.
 */
export function planBackups(map: SlotMap, options: BackupOptions): BackupPlan {
  const { self, fleet, maxMoves } = options;
  if (!map.slots.some(({ primary }) => primary === self)) return new Map();
  const targets = slotTargets(fleet.eligible);
  const eligibleIds = new Set(fleet.eligible.map(({ id }) => id));
  const plan = new Map<string, number[]>();
  let moves = 0;
  map.slots.forEach(({ primary, backup }, slot) => {
    if (primary !== self) return;
    const wanted = targetBackup(self, targets[slot]);
    if (wanted === "" || wanted === backup) return;
    if (eligibleIds.has(backup) && ++moves > maxMoves) return;
    plan.set(wanted, [...(plan.get(wanted) ?? []), slot]);
  });
  return plan;
}

/** A member that should become the primary becomes the backup first; then primary and backup swap. */
function targetBackup(self: string, target: SlotTarget | undefined): string {
  if (target === undefined) return "";
  return target.primary === self ? target.backup : target.primary;
}

/** Options of {@linkcode planBackups}. */
export interface BackupOptions {
  /** Member id of the instance that plans, the current primary. */
  readonly self: string;
  readonly fleet: SlotFleet;
  /** Maximum number of backups replaced at once only to balance the load. */
  readonly maxMoves: number;
}

/** Options of {@linkcode planSwaps}. */
export interface SwapOptions extends BackupOptions {
  /** Whether the backup has the whole history of the slot at this epoch. */
  readonly isBackupReady: (slot: number, epoch: number) => boolean;
}

/**
 * Plans swaps of primary and backup for slots whose backup should be the primary.
 *
 * Only a backup with the whole history becomes the primary. Any other one would have to refuse all
 * requests that may not be repeated and whose key it doesn't know, from then on.
 *
 * @returns At most `maxMoves` changes, which the current primary may write.
 */
export function planSwaps(map: SlotMap, options: SwapOptions): readonly SlotChange[] {
  const { self, fleet, maxMoves, isBackupReady } = options;
  if (!map.slots.some(({ primary }) => primary === self)) return [];
  const targets = slotTargets(fleet.eligible);
  return map.slots
    .map((before, slot) => ({ before, slot }))
    .filter(({ before }) => before.primary === self && before.backup !== "")
    .filter(({ before, slot }) => targets[slot]?.primary === before.backup)
    .filter(({ before, slot }) => isBackupReady(slot, before.epoch))
    .slice(0, maxMoves)
    .map(({ before, slot }) => ({
      slot,
      assignment: {
        ...before,
        epoch: before.epoch + 1,
        primary: before.backup,
        backup: self,
      },
    }));
}

/**
 * Returns an assignment with another backup, at the next epoch.
 *
 * @param before The slot's current assignment.
 * @param backup Member id of the new backup, which must hold the slot's records.
 */
export function withBackup(before: SlotAssignment, backup: string): SlotAssignment {
  return { ...before, epoch: before.epoch + 1, backup };
}

/**
 * Applies the changes that are still valid, which are those of slots at the preceding epoch.
 *
 * @returns The assignments, or undefined if no change is valid any more.
 */
export function applyChanges(
  map: SlotMap,
  changes: readonly SlotChange[],
): readonly SlotAssignment[] | undefined {
  const slots = [...map.slots];
  let applied = 0;
  for (const { slot, assignment } of changes) {
    // The slot was reassigned after the plan was made, so the change is outdated.
    if (slots[slot]?.epoch !== assignment.epoch - 1) continue;
    slots[slot] = assignment;
    applied++;
  }
  return applied === 0 ? undefined : slots;
}
