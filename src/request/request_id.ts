import { SLOT_COUNT } from "../version/index.ts";

const ID_PATTERN = /^r(\d{1,4})-([0-9a-z]{16,64})$/;

/**
 * Formats a request id for a slot.
 *
 * @param slot The slot that the id belongs to.
 * @param unique 16 to 64 characters from 0-9 and a-z that no other request has.
 * @returns The id, such as `r17-4f0c…`.
 */
export function formatRequestId(slot: number, unique: string): string {
  return `r${slot}-${unique}`;
}

/**
 * Parses the slot from a request id.
 *
 * @returns The slot, or undefined if the text is not a valid request id.
 */
export function slotOfRequestId(id: string): number | undefined {
  const slot = Number(ID_PATTERN.exec(id)?.[1] ?? Number.NaN);
  return slot < SLOT_COUNT ? slot : undefined;
}
