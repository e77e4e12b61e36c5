import { MemberState } from "../interface/index.ts";
import type { Member, MemberDelta, Random } from "../interface/index.ts";

/** At the same rise, the state further on in this order overrides. */
const PRECEDENCE: readonly MemberState[] = [
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Leaving,
  MemberState.Dead,
];

/** Deltas on one message: with at most this many a message's size doesn't grow with the fleet. */
const MOST_DELTAS = 6;
/** Each news is sent this many times per doubling of the fleet, which reaches everyone but for rare luck. */
const SENDS_PER_DOUBLING = 3;
/** How long what is dead or has left is remembered, so that late news of it changes nothing. */
const REMEMBERED = 600_000;

/** What is known of one member or backend server. */
export interface MemberEntry extends MemberDelta {
  /** When this was learned, in the clock's milliseconds. */
  readonly since: number;
}

/** All that one instance believes of the others, and the news that it has yet to pass on. */
export interface MemberTable {
  /** Takes in what was heard; false where it is not newer than what is known. */
  merge(delta: MemberDelta, now: number): boolean;
  find(id: string): MemberEntry | undefined;
  /** Entry instances, this one not included. */
  members(): readonly MemberEntry[];
  /** Ids of backend servers that are marked as leaving. */
  leavingWorkers(): ReadonlySet<string>;
  /** News for one message, those sent least first, and one random entry against lost news. */
  news(random: Random): readonly MemberDelta[];
  /** Everything, for an instance that joins. */
  all(): readonly MemberDelta[];
  /** Forgets what has been dead or gone for long. */
  forget(now: number): void;
}

/** Makes an empty table. */
export function createMemberTable(): MemberTable {
  const entries = new Map<string, MemberEntry>();
  const sends = new Map<string, number>();
  let leaving: ReadonlySet<string> = new Set();
  const members = (): readonly MemberEntry[] =>
    [...entries.values()].filter((entry) => !entry.backend);
  const listLeaving = (): void => {
    const marked = [...entries.values()].filter((entry) => entry.backend);
    leaving = new Set(marked.map((entry) => entry.member.id));
  };
  const mostSends = (): number => SENDS_PER_DOUBLING * Math.ceil(Math.log2(entries.size + 2));
  return {
    merge: (delta, now) => {
      if (!overrides(delta, entries.get(delta.member.id))) return false;
      entries.set(delta.member.id, { ...delta, since: now });
      sends.set(delta.member.id, 0);
      if (delta.backend) listLeaving();
      return true;
    },
    find: (id) => entries.get(id),
    members,
    leavingWorkers: () => leaving,
    news: (random) => {
      const fresh = [...sends.entries()].sort(([, a], [, b]) => a - b).slice(0, MOST_DELTAS);
      for (const [id, count] of fresh) {
        if (count + 1 >= mostSends()) sends.delete(id);
        else sends.set(id, count + 1);
      }
      const known = [...entries.values()];
      const any = known[Math.floor(random.next() * known.length)];
      const ids = new Set(fresh.map(([id]) => id));
      if (any !== undefined) ids.add(any.member.id);
      return [...ids].flatMap((id) => deltaOf(entries.get(id)));
    },
    all: () => [...entries.values()].flatMap(deltaOf),
    forget: (now) => {
      for (const [id, { state, backend, since }] of entries) {
        const over = backend || state === MemberState.Dead;
        if (!over || now - since < REMEMBERED) continue;
        entries.delete(id);
        sends.delete(id);
      }
      listLeaving();
    },
  };
}

function overrides(delta: MemberDelta, known: MemberEntry | undefined): boolean {
  if (known === undefined) return true;
  if (delta.rise !== known.rise) return delta.rise > known.rise;
  return PRECEDENCE.indexOf(delta.state) > PRECEDENCE.indexOf(known.state);
}

function deltaOf(entry: MemberEntry | undefined): MemberDelta[] {
  if (entry === undefined) return [];
  const { member, state, rise, backend } = entry;
  return [{ member, state, rise, backend }];
}

/** The part of a member id before its incarnation. */
export function nameOf(member: Member): string {
  return member.id.slice(0, member.id.lastIndexOf("#"));
}
