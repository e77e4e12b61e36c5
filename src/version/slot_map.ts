/** The number of slots that request ids are hashed to. It is the same in every region and must never change. */
export const SLOT_COUNT = 1024;

/**
 * The owners of a slot. An epoch identifies exactly one assignment, because the slot map is written conditionally.
 */
export interface SlotAssignment {
  /** Increases with each assignment; 0 means that the slot has never been assigned. */
  readonly epoch: number;
  /** Member id of the primary; empty if there is none. */
  readonly primary: string;
  /** Member id of the backup; empty if there is none. */
  readonly backup: string;
  /**
   * When both owners were lost without a handover, in Unix milliseconds; 0 if that never happened. A request that the
   * new owner has no record of may have run before that time.
   */
  readonly historyLostAt: number;
}

/** The slot assignments of one region, as stored in the platform's object API. */
export interface SlotMap {
  /** The object's version in the store; 0 if it has never been written. */
  readonly version: number;
  readonly slots: readonly SlotAssignment[];
  /**
   * Id of a member that observes most owners as dead. It writes this claim first, and takes over only if no other member
   * has written the map since: the other members may be alive and only unreachable for it.
   */
  readonly claim?: string;
}

/** The assignment of a slot that has never had an owner. */
export const UNASSIGNED: SlotAssignment = { epoch: 0, primary: "", backup: "", historyLostAt: 0 };

/** The slot map before its first write. */
export const EMPTY_SLOT_MAP: SlotMap = {
  version: 0,
  slots: Array.from({ length: SLOT_COUNT }, () => UNASSIGNED),
};

/**
 * Returns the assignment of a slot.
 *
 * @param map The slot map.
 * @param slot The slot's number, from 0 to {@linkcode SLOT_COUNT} - 1.
 * @returns The assignment, or {@linkcode UNASSIGNED} if the map has none.
 */
export function assignmentOf(map: SlotMap, slot: number): SlotAssignment {
  return map.slots[slot] ?? UNASSIGNED;
}

/** Returns the member ids of all primaries and backups. */
export function ownersOf(map: SlotMap): ReadonlySet<string> {
  const owners = new Set(map.slots.flatMap(({ primary, backup }) => [primary, backup]));
  owners.delete("");
  return owners;
}
