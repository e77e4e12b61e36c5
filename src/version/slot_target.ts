import { hashText, mixHashes } from "./rendezvous.ts";
import { SLOT_COUNT } from "./slot_map.ts";

/** A member that may be assigned slots. */
export interface SlotMember {
  readonly id: string;
  /** Availability zone. */
  readonly zone: string;
}

/** The ideal owners of a slot. They depend only on the set of members, not on the current assignment. */
export interface SlotTarget {
  /** Member id of the primary; empty if there are no members. */
  readonly primary: string;
  /** Member id of the backup, in another availability zone than the primary if possible; empty if there is none. */
  readonly backup: string;
}

/**
 * The maximum share of a member, relative to the mean. Plain rendezvous hashing gives one of 63 members about 1.6 times
 * the mean, so that member would be overloaded first.
 */
const MAX_SHARE_OF_MEAN = 1.15;

/** The number of cached results. Members rarely change, and the targets are requested every one to two seconds. */
const MAX_CACHED_RESULTS = 4;
const cachedTargets = new Map<string, readonly SlotTarget[]>();

/**
 * Computes the targets of all slots by rendezvous hashing with a limit on each member's share. When a member is lost,
 * its slots go to the second choice, which is their backup. Only the few slots that exceed the limit move further.
 *
 * @param members The members that may be assigned slots, in any order.
 * @returns One target per slot.
 */
export function slotTargets(members: readonly SlotMember[]): readonly SlotTarget[] {
  const sorted = [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
  const key = sorted.map(({ id, zone }) => `${id} ${zone}`).join("\n");
  const known = cachedTargets.get(key);
  if (known !== undefined) return known;
  const targets = computeTargets(sorted);
  const [oldest] = cachedTargets.keys();
  if (cachedTargets.size >= MAX_CACHED_RESULTS && oldest !== undefined)
    cachedTargets.delete(oldest);
  cachedTargets.set(key, targets);
  return targets;
}

/** A member during the computation, with the numbers of slots it has been assigned so far. */
interface Candidate extends SlotMember {
  readonly hash: number;
  primaries: number;
  backups: number;
}

function computeTargets(members: readonly SlotMember[]): readonly SlotTarget[] {
  const maxSlots = Math.ceil((SLOT_COUNT / Math.max(1, members.length)) * MAX_SHARE_OF_MEAN);
  const all: Candidate[] = members.map(({ id, zone }) => ({
    id,
    zone,
    hash: hashText(id),
    primaries: 0,
    backups: 0,
  }));
  return Array.from({ length: SLOT_COUNT }, (_, slot) => {
    const primary = bestCandidate(all, { slot, fits: ({ primaries }) => primaries < maxSlots });
    if (primary === undefined) return { primary: "", backup: "" };
    primary.primaries++;
    const others = all.filter((other) => other !== primary);
    const inOtherZones = others.filter(({ zone }) => zone !== primary.zone);
    const candidates = inOtherZones.length > 0 ? inOtherZones : others;
    const backup = bestCandidate(candidates, { slot, fits: ({ backups }) => backups < maxSlots });
    if (backup !== undefined) backup.backups++;
    return { primary: primary.id, backup: backup?.id ?? "" };
  });
}

/** Returns the best candidate that fits, or the best of all if none fits. */
function bestCandidate(
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
