import { z } from "zod";
import { SLOT_COUNT } from "./slot_map.ts";
import type { Assignment, SlotMap } from "./slot_map.ts";

/** The index that stands for "no member". */
const NO_MEMBER = -1;

const memberIndexSchema = z.number().int().min(NO_MEMBER);

const stored = z.strictObject({
  /** The distinct member ids; `primary` and `backup` contain indexes into this array. */
  members: z.array(z.string()),
  primary: z.array(memberIndexSchema).length(SLOT_COUNT),
  backup: z.array(memberIndexSchema).length(SLOT_COUNT),
  epoch: z.array(z.number().int().min(0)).length(SLOT_COUNT),
  /** Pairs of a slot whose history was lost and the time of the loss in Unix milliseconds. */
  lost: z.array(z.tuple([z.number().int(), z.number()])),
  claim: z.string().exactOptional(),
});

/**
 * Serializes a slot map for the store. With 380 members the value has about 14 kB, far below the store's limit of 1 MB.
 *
 * @param slots The assignments of all slots.
 * @param claim Id of the member that claims the slots of unreachable owners, if there is one.
 */
export function formatSlotMap(slots: readonly Assignment[], claim?: string): string {
  const members = [...new Set(slots.flatMap(({ primary, backup }) => [primary, backup]))]
    .filter((id) => id !== "")
    .sort();
  const indexes = new Map(members.map((id, index) => [id, index]));
  const memberIndex = (id: string): number => indexes.get(id) ?? NO_MEMBER;
  return JSON.stringify({
    members,
    primary: slots.map(({ primary }) => memberIndex(primary)),
    backup: slots.map(({ backup }) => memberIndex(backup)),
    epoch: slots.map(({ epoch }) => epoch),
    lost: slots.flatMap(({ historyLostAt }, slot) =>
      historyLostAt === 0 ? [] : [[slot, historyLostAt]],
    ),
    ...(claim === undefined ? {} : { claim }),
  });
}

/**
 * Parses a slot map from its value in the store.
 *
 * @param version The store's version of the object.
 * @param value The value in the store, as JSON.
 * @returns The slot map.
 * @throws {Error} If the value is not a slot map.
 */
export function parseSlotMap(version: number, value: string): SlotMap {
  const { members, primary, backup, epoch, lost, claim } = stored.parse(JSON.parse(value));
  const lostAt = new Map(lost);
  const memberAt = (index: number | undefined): string => members[index ?? NO_MEMBER] ?? "";
  const slots = epoch.map((assigned, slot) => ({
    epoch: assigned,
    primary: memberAt(primary[slot]),
    backup: memberAt(backup[slot]),
    historyLostAt: lostAt.get(slot) ?? 0,
  }));
  return claim === undefined ? { version, slots } : { version, slots, claim };
}
