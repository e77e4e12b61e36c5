/** Number of slots that request ids hash to, the same in every region for ever. */
export const SLOT_COUNT = 1024;

/** Who owns one slot. An epoch names exactly one assignment: the slot map is written conditionally. */
export interface Assignment {
  /** Only grows; 0 says that nobody has owned the slot yet. */
  readonly epoch: number;
  /** Member ids, or empty where there is none. */
  readonly primary: string;
  readonly backup: string;
  /**
   * Calendar time in milliseconds at which both owners were lost without handing over, or 0. A key that
   * the new owner doesn't know may have run before that.
   */
  readonly historyLostAt: number;
}

/** The slots of one region, as the platform's object API holds them. */
export interface SlotMap {
  /** The object's version in the store; 0 where it has not been written. */
  readonly version: number;
  readonly slots: readonly Assignment[];
  /**
   * Id of a member that sees most owners dead and asks whether anybody is there: it takes over only when
   * nobody has written the map since.
   */
  readonly claim?: string;
}

/** The assignment of a slot that nobody has owned. */
export const UNASSIGNED: Assignment = { epoch: 0, primary: "", backup: "", historyLostAt: 0 };

/** The map before its first write. */
export const EMPTY_SLOT_MAP: SlotMap = {
  version: 0,
  slots: Array.from({ length: SLOT_COUNT }, () => UNASSIGNED),
};

/**
 * The assignment of one slot.
 *
 * @param map The map to look in.
 * @param slot 0 to {@linkcode SLOT_COUNT} - 1.
 * @returns The assignment, {@linkcode UNASSIGNED} where the map has none.
 */
export function assignmentOf(map: SlotMap, slot: number): Assignment {
  return map.slots[slot] ?? UNASSIGNED;
}
