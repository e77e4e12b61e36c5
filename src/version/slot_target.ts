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

/** Results kept: the members change seldom, and the targets are asked for every second or two. */
const REMEMBERED = 4;
const remembered = new Map<string, readonly SlotTarget[]>();

/**
 * The target of every slot: rendezvous hashing with a bound on each member's part. A member that goes
 * leaves its slots to their second choice, which is the backup, so a takeover needs no further moves but
 * the few that the bound asks for.
 *
 * @param holders Members that may be given slots, in any order.
 * @returns One target a slot.
 */
export function slotTargets(holders: readonly SlotHolder[]): readonly SlotTarget[] {
  const sorted = [...holders].sort((a, b) => (a.id < b.id ? -1 : 1));
  const key = sorted.map(({ id, zone }) => `${id} ${zone}`).join("\n");
  const known = remembered.get(key);
  if (known !== undefined) return known;
  const targets = computeTargets(sorted);
  const [oldest] = remembered.keys();
  if (remembered.size >= REMEMBERED && oldest !== undefined) remembered.delete(oldest);
  remembered.set(key, targets);
  return targets;
}

interface Candidate extends SlotHolder {
  readonly hash: number;
  primaries: number;
  backups: number;
}

function computeTargets(holders: readonly SlotHolder[]): readonly SlotTarget[] {
  const bound = Math.ceil((SLOT_COUNT / Math.max(1, holders.length)) * MOST_ABOVE_MEAN);
  const all: Candidate[] = holders.map(({ id, zone }) => ({
    id,
    zone,
    hash: hashText(id),
    primaries: 0,
    backups: 0,
  }));
  return Array.from({ length: SLOT_COUNT }, (_, slot) => {
    const primary = best(all, { slot, fits: ({ primaries }) => primaries < bound });
    if (primary === undefined) return { primary: "", backup: "" };
    primary.primaries++;
    const others = all.filter((other) => other !== primary);
    const elsewhere = others.filter(({ zone }) => zone !== primary.zone);
    const candidates = elsewhere.length > 0 ? elsewhere : others;
    const backup = best(candidates, { slot, fits: ({ backups }) => backups < bound });
    if (backup !== undefined) backup.backups++;
    return { primary: primary.id, backup: backup?.id ?? "" };
  });
}

/** The first choice that fits, or the first choice where none does. */
function best(
  candidates: readonly Candidate[],
  { slot, fits }: { slot: number; fits: (candidate: Candidate) => boolean },
): Candidate | undefined {
  let first: Candidate | undefined;
  let fitting: Candidate | undefined;
  for (const candidate of candidates) {
    const score = mixHashes(candidate.hash, slot + 1);
    if (first === undefined || score > mixHashes(first.hash, slot + 1)) first = candidate;
    if (!fits(candidate)) continue;
    if (fitting === undefined || score > mixHashes(fitting.hash, slot + 1)) fitting = candidate;
  }
  return fitting ?? first;
}
