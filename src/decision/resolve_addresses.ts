/**
 * Selects the addresses returned to a caller and how long the caller may cache them.
 *
 * Load: callers connect to the addresses they received and keep using them after an instance has
 * left, and a few callers send most of the load. Addresses cached for long lead to an instance that
 * is gone. If every answer had the same order, one instance would serve a large account alone while
 * eight are idle. Symptom: refused connections in the minute after a reclaim, and one overloaded
 * instance next to idle ones.
 *
 * Mechanism: the first address is the less loaded of two random instances, so that answers based on
 * the same outdated load data differ; the rest follow as spares. Instances in the caller's own zone
 * come first while their load is at most a quarter above the mean; saving half a millisecond is not
 * worth more. The owner of a key is returned separately, since going there directly saves a hop.
 *
 * Answers are cached for ten seconds. An instance that is about to be reclaimed is left out of new
 * answers, and most callers with an older answer ask again within the few seconds of notice. A
 * caller whose load is several times an even share caches answers for a correspondingly shorter
 * time, down to two seconds, so that its load moves in small steps. Asking again costs less than a
 * hundredth of what it sends in that time.
 *
 * @module
 */
import type { Member, Random } from "../interface/index.ts";

/** The data from which the addresses for a caller are selected. */
export interface ResolveContext {
  /** Entry instances that are alive and not leaving. */
  readonly alive: readonly Member[];
  /** The owner of the caller's key, if it sent one. */
  readonly owner: Member | undefined;
  /** The caller's availability zone, if it sent one. */
  readonly zone?: string;
  /** Requests in progress by member ID, as last received. */
  readonly load: ReadonlyMap<string, number>;
  readonly account: string;
  /** The account's fraction of all requests, from 0 to 1, if known. */
  readonly accountShare?: number;
}

/** The answer to a caller. It is sent as JSON. */
export interface ResolveResponse {
  /** Addresses as `IP:PORT`, the best first. */
  readonly addresses: readonly string[];
  /** Seconds for which the caller may cache the answer. */
  readonly keepFor: number;
  /** The owner's address, if the caller sent a key. */
  readonly owner?: string;
}

const CACHE_SECONDS = 10;
const MIN_CACHE_SECONDS = 2;
/** More spares would never be reached, since each failed connection costs a timeout. */
const MAX_ADDRESSES = 6;
const ZONE_TOLERANCE = 1.25;

/** Selects the addresses returned to a caller and how long the caller may cache them. */
export function resolveAddresses(context: ResolveContext, random: Random): ResolveResponse {
  const candidates = shuffled(context.alive, random);
  const preferred = candidates.filter((member) => isPreferred(member, context));
  const first = lessLoaded(preferred.length > 0 ? preferred : candidates, context);
  const otherCandidates = candidates.filter((member) => member !== first);
  const chosen = first === undefined ? [] : [first, ...otherCandidates].slice(0, MAX_ADDRESSES);
  const answer = {
    addresses: chosen.map(({ callerAddress }) => callerAddress),
    keepFor: cacheSeconds(context),
  };
  return context.owner === undefined ? answer : { ...answer, owner: context.owner.callerAddress };
}

function cacheSeconds({ alive, accountShare = 0 }: ResolveContext): number {
  const evenShares = accountShare * alive.length;
  return Math.max(MIN_CACHE_SECONDS, Math.round(CACHE_SECONDS / Math.max(1, evenShares)));
}

/** Returns the less loaded of the first two members. */
function lessLoaded([a, b]: readonly Member[], context: ResolveContext): Member | undefined {
  if (a === undefined || b === undefined) return a;
  return loadOf(b, context) < loadOf(a, context) ? b : a;
}

function isPreferred(member: Member, context: ResolveContext): boolean {
  if (context.zone === undefined || member.zone !== context.zone) return false;
  const sum = context.alive.reduce((total, other) => total + loadOf(other, context), 0);
  return loadOf(member, context) <= (ZONE_TOLERANCE * sum) / context.alive.length;
}

function loadOf({ id }: Member, { load }: ResolveContext): number {
  return load.get(id) ?? 0;
}

function shuffled(members: readonly Member[], random: Random): Member[] {
  const keyed = members.map((member) => ({ member, key: random.next() }));
  return keyed.sort((a, b) => a.key - b.key).map(({ member }) => member);
}
