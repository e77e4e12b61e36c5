import type { SlotAssignment, SlotMap } from "./slot_map.ts";

/** Numbers of slots whose requests are at risk. */
export interface SlotCounts {
  /** Slots without an owner. */
  readonly unassigned: number;
  /** Slots with a primary that has no backup. */
  readonly withoutBackup: number;
  /** Slots that have lost both owners, and with them their history, at some time. */
  readonly historyLost: number;
}

/** Counts the slots of a map that lack an owner, a backup or their history. */
export function countSlots({ slots }: SlotMap): SlotCounts {
  const countWhere = (condition: (assignment: SlotAssignment) => boolean): number =>
    slots.filter(condition).length;
  return {
    unassigned: countWhere(({ primary }) => primary === ""),
    withoutBackup: countWhere(({ primary, backup }) => primary !== "" && backup === ""),
    historyLost: countWhere(({ historyLostAt }) => historyLostAt > 0),
  };
}
