import { hashText, mixHashes } from "./rendezvous.ts";
import { SLOT_COUNT } from "./slot_map.ts";

/** A member that may be given slots. */
export interface SlotHolder {
  readonly id: string;
  /** Availability zone. */
  readonly zone: string;
}

/** Who should have a slot, as far as only the members decide it. */
export interface SlotTarget {
  /** Empty where there is no member. */
  readonly primary: string;
  /** In another availability zone than the primary wherever there is one; empty where there is nobody. */
  readonly backup: string;
}

/**
 * How far above the mean a member's part may be. Plain rendezvous hashing gives the unluckiest of 63
 * members about 1.6 times the mean, which would make it the first to be overloaded.
 */
const MOST_ABOVE_MEAN = 1.15;

/**
 * The target of every slot: rendezvous hashing with a bound on each member's part. A member that goes
 * leaves its slots to their second choice, which is the backup, so a takeover needs no further moves but
 * the few that the bound asks for.
 *
 * @param holders Members that may be given slots, in any order.
 * @returns One target a slot.
 */
export function slotTargets(holders: readonly SlotHolder[]): readonly SlotTarget[] {
  const hashed = holders
    .map((holder) => ({ holder, hash: hashText(holder.id) }))
    .sort((a, b) => (a.holder.id < b.holder.id ? -1 : 1));
  const bound = Math.ceil((SLOT_COUNT / Math.max(1, holders.length)) * MOST_ABOVE_MEAN);
  const primaries = new Map<string, number>();
  const backups = new Map<string, number>();
  return Array.from({ length: SLOT_COUNT }, (_, slot) => {
    const order = hashed
      .map(({ holder, hash }) => ({ holder, score: mixHashes(hash, slot + 1) }))
      .sort((a, b) => b.score - a.score)
      .map(({ holder }) => holder);
    const primary = chooseWithin(order, { counts: primaries, bound });
    if (primary === undefined) return { primary: "", backup: "" };
    const others = order.filter((holder) => holder.id !== primary.id);
    const elsewhere = others.filter((holder) => holder.zone !== primary.zone);
    const backup = chooseWithin(elsewhere.length > 0 ? elsewhere : others, {
      counts: backups,
      bound,
    });
    return { primary: primary.id, backup: backup?.id ?? "" };
  });
}

/** The first of an order whose part is within the bound, else the first. */
function chooseWithin(
  order: readonly SlotHolder[],
  { counts, bound }: { counts: Map<string, number>; bound: number },
): SlotHolder | undefined {
  const chosen = order.find(({ id }) => (counts.get(id) ?? 0) < bound) ?? order[0];
  if (chosen !== undefined) counts.set(chosen.id, (counts.get(chosen.id) ?? 0) + 1);
  return chosen;
}
