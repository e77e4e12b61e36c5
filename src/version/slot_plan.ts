import type { Assignment, SlotMap } from "./slot_map.ts";
import { slotTargets } from "./slot_target.ts";
import type { SlotHolder, SlotTarget } from "./slot_target.ts";

/** The members of a region, as the planner of slots sees them. */
export interface SlotFleet {
  /** Members that may be given slots: alive, not leaving, in no zone under notice. */
  readonly able: readonly SlotHolder[];
  /** Ids of members that still hold their records: those able, and those suspected or leaving. */
  readonly present: ReadonlySet<string>;
}

/** A new assignment of one slot, to be written if the slot is still at the epoch before. */
export interface SlotChange {
  readonly slot: number;
  readonly assignment: Assignment;
}

/** Slots that a primary wants a new backup for, by the backup that is to have them. */
export type BackupPlan = ReadonlyMap<string, readonly number[]>;

/**
 * What any member may write: first assignments, promotions of backups, and takeovers of orphans.
 *
 * A promoted slot names no backup yet: a backup that is named before it holds the records would be
 * promoted without them if the primary died next, and a request would be lost without a trace.
 *
 * @param map The slot map as it stands.
 * @param fleet The members.
 * @param date Calendar time in milliseconds, for slots whose history is lost.
 * @returns The changes, none where nothing is to be done.
 */
export function planTakeover(map: SlotMap, fleet: SlotFleet, date: number): readonly SlotChange[] {
  const able = new Set(fleet.able.map(({ id }) => id));
  if (map.slots.every((assignment) => !needsTakeover(assignment, { fleet, able }))) return [];
  const targets = slotTargets(fleet.able);
  return map.slots.flatMap((before, slot) => {
    const assignment = takeover(before, { fleet, able, target: targets[slot], date });
    return assignment === undefined ? [] : [{ slot, assignment }];
  });
}

function needsTakeover(
  assignment: Assignment,
  { fleet, able }: { fleet: SlotFleet; able: ReadonlySet<string> },
): boolean {
  const { primary, backup } = assignment;
  if (!fleet.present.has(primary) || isLoneOwner(assignment, fleet)) return true;
  return !able.has(primary) && able.has(backup);
}

/** Nobody is left to be the backup: the map says so, so that the owner doesn't wait for a dead one. */
function isLoneOwner({ backup }: Assignment, { able, present }: SlotFleet): boolean {
  return able.length === 1 && backup !== "" && !present.has(backup);
}

function takeover(
  before: Assignment,
  view: {
    fleet: SlotFleet;
    able: ReadonlySet<string>;
    target: SlotTarget | undefined;
    date: number;
  },
): Assignment | undefined {
  const { fleet, able, target, date } = view;
  const { primary, backup, epoch } = before;
  if (able.has(primary)) return isLoneOwner(before, fleet) ? withBackup(before, "") : undefined;
  if (fleet.present.has(primary)) return promotedBackup(before, able);
  if (fleet.present.has(backup)) return promotedBackup(before, fleet.present);
  if (target === undefined || target.primary === "") return undefined;
  // Nobody holds a record of the slot any more, so a backup can be named at once.
  return { epoch: epoch + 1, ...target, historyLostAt: epoch === 0 ? 0 : date };
}

/**
 * The assignment with the backup as primary, at a new epoch and with no backup yet.
 *
 * @param before The slot's present assignment.
 * @param among Ids that may be promoted.
 * @returns Undefined where the backup is not among them.
 */
export function promotedBackup(
  before: Assignment,
  among: ReadonlySet<string>,
): Assignment | undefined {
  const { epoch, backup } = before;
  return among.has(backup)
    ? { ...before, epoch: epoch + 1, primary: backup, backup: "" }
    : undefined;
}

/**
 * The backups that a primary should have and hasn't: those missing or leaving first, then those that
 * bring the slots nearer to their targets.
 *
 * @param map The slot map as it stands.
 * @param options The primary's member id, the members, and how many slots may move for balance's sake.
 * @returns Slots by the member that is to become their backup; their records are copied before it is
 * written.
 */
export function planBackups(
  map: SlotMap,
  options: { self: string; fleet: SlotFleet; mostMoves: number },
): BackupPlan {
  const { self, fleet, mostMoves } = options;
  if (!map.slots.some(({ primary }) => primary === self)) return new Map();
  const targets = slotTargets(fleet.able);
  const able = new Set(fleet.able.map(({ id }) => id));
  const plan = new Map<string, number[]>();
  let moves = 0;
  map.slots.forEach(({ primary, backup }, slot) => {
    if (primary !== self) return;
    const wanted = wantedBackup(self, targets[slot]);
    if (wanted === "" || wanted === backup) return;
    if (able.has(backup) && ++moves > mostMoves) return;
    plan.set(wanted, [...(plan.get(wanted) ?? []), slot]);
  });
  return plan;
}

/** Where another member should be the primary it becomes the backup first, and then the two swap. */
function wantedBackup(self: string, target: SlotTarget | undefined): string {
  if (target === undefined) return "";
  return target.primary === self ? target.backup : target.primary;
}

/**
 * Slots whose backup should be the primary: both hold the records, so the two swap.
 *
 * @returns The changes that the present primary may write, at most `mostMoves`.
 */
export function planSwaps(
  map: SlotMap,
  options: { self: string; fleet: SlotFleet; mostMoves: number },
): readonly SlotChange[] {
  const { self, fleet, mostMoves } = options;
  if (!map.slots.some(({ primary }) => primary === self)) return [];
  const targets = slotTargets(fleet.able);
  return map.slots
    .map((before, slot) => ({ before, slot }))
    .filter(({ before }) => before.primary === self && before.backup !== "")
    .filter(({ before, slot }) => targets[slot]?.primary === before.backup)
    .slice(0, mostMoves)
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
 * The assignment with another backup, at a new epoch.
 *
 * @param before The slot's present assignment.
 * @param backup The new backup, which holds the slot's records.
 */
export function withBackup(before: Assignment, backup: string): Assignment {
  return { ...before, epoch: before.epoch + 1, backup };
}

/**
 * Applies changes that are still right: those of slots that stand one epoch before.
 *
 * @returns The assignments, or undefined where nothing is left to change.
 */
export function applyChanges(
  map: SlotMap,
  changes: readonly SlotChange[],
): readonly Assignment[] | undefined {
  const slots = [...map.slots];
  let applied = 0;
  for (const { slot, assignment } of changes) {
    // A slot that has moved on meanwhile was planned on what is no longer so: it is left alone.
    if (slots[slot]?.epoch !== assignment.epoch - 1) continue;
    slots[slot] = assignment;
    applied++;
  }
  return applied === 0 ? undefined : slots;
}
