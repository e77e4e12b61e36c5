import { MemberState } from "../interface/index.ts";
import type { Member, MembershipUpdate, Random } from "../interface/index.ts";

/**
 * States in increasing precedence. At the same incarnation number (`rise`), a later state overrides
 * an earlier one.
 */
const PRECEDENCE: readonly MemberState[] = [
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Leaving,
  MemberState.Dead,
];

/** Maximum number of pending deltas per message, so that its size doesn't grow with the fleet. */
const MAX_DELTAS = 6;
/**
 * Number of times each delta is sent per doubling of the fleet's size. With this many, it reaches
 * all members with high probability.
 */
const SENDS_PER_DOUBLING = 3;
/**
 * Milliseconds for which dead members and leaving backend servers are remembered, so that delayed
 * deltas about them have no effect.
 */
const RETENTION_TIME = 600_000;

/** State of one member or backend server. */
export interface MemberEntry extends MembershipUpdate {
  /** When the state was recorded, in milliseconds of the clock that the caller uses. */
  readonly changedAt: number;
}

/**
 * States of all other members as known to one instance, and the deltas that it still has to
 * forward.
 */
export interface MemberTable {
  /** Applies a delta. Returns false if it is not newer than the known state. */
  merge(delta: MembershipUpdate, now: number): boolean;
  find(id: string): MemberEntry | undefined;
  /** Returns the entry instances other than this one. */
  members(): readonly MemberEntry[];
  /** Returns the ids of backend servers that are marked as leaving. */
  leavingWorkers(): ReadonlySet<string>;
  /**
   * Returns deltas for one message: those sent least often, and one random entry as a safeguard
   * against lost messages.
   */
  nextDeltas(random: Random): readonly MembershipUpdate[];
  /** Returns all entries, for an instance that joins. */
  all(): readonly MembershipUpdate[];
  /** Removes entries that have been dead or leaving for long enough. */
  prune(now: number): void;
}

/** Creates an empty table. */
export function createMemberTable(): MemberTable {
  const entries = new Map<string, MemberEntry>();
  const sendCounts = new Map<string, number>();
  let leaving: ReadonlySet<string> = new Set();
  const members = (): readonly MemberEntry[] =>
    [...entries.values()].filter((entry) => !entry.backend);
  const updateLeaving = (): void => {
    const marked = [...entries.values()].filter((entry) => entry.backend);
    leaving = new Set(marked.map((entry) => entry.member.id));
  };
  const maxSends = (): number => SENDS_PER_DOUBLING * Math.ceil(Math.log2(entries.size + 2));
  return {
    merge: (delta, now) => {
      if (!overrides(delta, entries.get(delta.member.id))) return false;
      entries.set(delta.member.id, { ...delta, changedAt: now });
      sendCounts.set(delta.member.id, 0);
      if (delta.backend) updateLeaving();
      return true;
    },
    find: (id) => entries.get(id),
    members,
    leavingWorkers: () => leaving,
    nextDeltas: (random) => {
      const pending = [...sendCounts.entries()].sort(([, a], [, b]) => a - b).slice(0, MAX_DELTAS);
      for (const [id, count] of pending) {
        if (count + 1 >= maxSends()) sendCounts.delete(id);
        else sendCounts.set(id, count + 1);
      }
      const known = [...entries.values()];
      const randomEntry = known[Math.floor(random.next() * known.length)];
      const ids = new Set(pending.map(([id]) => id));
      if (randomEntry !== undefined) ids.add(randomEntry.member.id);
      return [...ids].flatMap((id) => deltaOf(entries.get(id)));
    },
    all: () => [...entries.values()].flatMap(deltaOf),
    prune: (now) => {
      for (const [id, { state, backend, changedAt }] of entries) {
        const isFinal = backend || state === MemberState.Dead;
        if (!isFinal || now - changedAt < RETENTION_TIME) continue;
        entries.delete(id);
        sendCounts.delete(id);
      }
      updateLeaving();
    },
  };
}

function overrides(delta: MembershipUpdate, known: MemberEntry | undefined): boolean {
  if (known === undefined) return true;
  if (delta.rise !== known.rise) return delta.rise > known.rise;
  return PRECEDENCE.indexOf(delta.state) > PRECEDENCE.indexOf(known.state);
}

function deltaOf(entry: MemberEntry | undefined): MembershipUpdate[] {
  if (entry === undefined) return [];
  const { member, state, rise, backend } = entry;
  return [{ member, state, rise, backend }];
}

/** Returns the part of a member id before the incarnation. */
export function instanceNameOf(member: Member): string {
  return member.id.slice(0, member.id.lastIndexOf("#"));
}
