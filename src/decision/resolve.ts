/**
 * Which addresses a caller is told, and for how long it may keep them.
 *
 * Load that it answers: callers connect to what they were told and keep it after the instance has left, and
 * a few callers bring most of the load. Told for long, they go on calling an instance that is gone; all
 * told the same order, one instance carries a large club alone while eight idle. One would notice refused
 * connections in the minute after a reclaim, and one instance that is overloaded beside idle ones.
 *
 * The first address is the less loaded of two that are drawn at random, so that answers given from the same
 * stale loads don't agree on one instance; the rest follow as spares. The caller's own zone goes first while
 * its instances aren't loaded by more than a quarter above the mean: half a millisecond saved isn't worth
 * more. A key's owner is named besides, since going there at once saves a hop.
 *
 * Answers are kept for ten seconds: an instance under notice leaves the answers at once, and of those that
 * hold an older one, most have asked again before a notice of some seconds has run out. A caller with more
 * than its even part of the load keeps them for less by that much, down to two, so that its load moves in
 * small pieces; asking costs less than a hundredth of what it sends in that time.
 *
 * @module
 */
import type { Member, Random } from "../interface/index.ts";

/** What is known where a caller asks which address to use. */
export interface ResolveView {
  /** Entry instances that are alive and not leaving. */
  readonly alive: readonly Member[];
  /** The owner of the caller's key, if it gave one. */
  readonly owner: Member | undefined;
  /** The caller's availability zone where it says so. */
  readonly zone?: string;
  /** Requests in progress by member id, as last heard. */
  readonly load: ReadonlyMap<string, number>;
  readonly account: string;
  /** The account's part of all requests, from 0 to 1, where it is known. */
  readonly accountShare?: number;
}

/** What a caller is told. */
export interface ResolveAnswer {
  /** `IP:PORT`, best first. */
  readonly addresses: readonly string[];
  /** Seconds for which the caller may keep the answer. */
  readonly keepFor: number;
  /** The owner's address where a key was given. */
  readonly owner?: string;
}

const KEEP_FOR = 10;
const LEAST_KEEP_FOR = 2;
/** Spares beyond these are never reached: each failed connection costs its time-out. */
const GREATEST_ADDRESSES = 6;
const ZONE_TOLERANCE = 1.25;

/** Chooses the addresses that a caller is told, and for how long. */
export function resolve(view: ResolveView, random: Random): ResolveAnswer {
  const order = shuffled(view.alive, random);
  const near = order.filter((member) => isNear(member, view));
  const first = lessLoaded(near.length > 0 ? near : order, view);
  const others = order.filter((member) => member !== first);
  const chosen = first === undefined ? [] : [first, ...others].slice(0, GREATEST_ADDRESSES);
  const answer = {
    addresses: chosen.map(({ callerAddress }) => callerAddress),
    keepFor: keepFor(view),
  };
  return view.owner === undefined ? answer : { ...answer, owner: view.owner.callerAddress };
}

function keepFor({ alive, accountShare = 0 }: ResolveView): number {
  const evenParts = accountShare * alive.length;
  return Math.max(LEAST_KEEP_FOR, Math.round(KEEP_FOR / Math.max(1, evenParts)));
}

/** The less loaded of the first two. */
function lessLoaded([a, b]: readonly Member[], view: ResolveView): Member | undefined {
  if (a === undefined || b === undefined) return a;
  return loadOf(b, view) < loadOf(a, view) ? b : a;
}

function isNear(member: Member, view: ResolveView): boolean {
  if (view.zone === undefined || member.zone !== view.zone) return false;
  const sum = view.alive.reduce((total, other) => total + loadOf(other, view), 0);
  return loadOf(member, view) <= (ZONE_TOLERANCE * sum) / view.alive.length;
}

function loadOf({ id }: Member, { load }: ResolveView): number {
  return load.get(id) ?? 0;
}

function shuffled(members: readonly Member[], random: Random): Member[] {
  const drawn = members.map((member) => ({ member, at: random.next() }));
  return drawn.sort((a, b) => a.at - b.at).map(({ member }) => member);
}
