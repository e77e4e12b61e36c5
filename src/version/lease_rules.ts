/**
 * Rules for when a lease may be taken over and when its holder may make calls under it.
 *
 * The platform does not check fencing tokens, so it would carry out the calls of two simultaneous holders. The rules
 * do not compare the clocks of different instances. A holder counts the term from just before the write that acquired
 * or renewed the lease. A successor waits the full term from when it first observed that version, which is later. The
 * holder therefore stops before the successor starts.
 *
 * @module
 */
import { eraOf } from "./store_version.ts";

/** A lease as its holder tracks it. All times are milliseconds of the holder's monotonic clock. */
export interface HeldLease {
  /** The store's version of the last renewal. */
  readonly version: number;
  /** The fencing token: the version at which the lease was acquired. Renewals keep it; each new holder has a higher one. */
  readonly fence: number;
  /** Wall-clock time minus monotonic time at the last renewal, in milliseconds. */
  readonly dayOffset: number;
  /** When the lease expires. */
  readonly until: number;
  /** When the holder may make its first call. Until then, a call of the previous holder may be in progress. */
  readonly ordersFrom: number;
  /** When the last call that was started is certainly over; undefined if none was started. */
  readonly ordersUntil: number | undefined;
  /** When the lease was taken over from another holder that released it or let it expire; undefined if from none. */
  readonly takenOverAt: number | undefined;
}

/** A reading of one instance's clocks, in milliseconds. */
export interface ClockReading {
  /** Monotonic time. */
  readonly now: number;
  /** Wall-clock time minus monotonic time. */
  readonly dayOffset: number;
}

/** Rules that the model checker can switch off one at a time to show that each one is needed. */
export interface LeaseRules {
  /** A successor waits for a full term. */
  readonly waitTerm: boolean;
  /** Time for which the monotonic clock stood still is subtracted from the lease. */
  readonly countSuspension: boolean;
  /** A call is started only if it ends before the lease expires. */
  readonly leaveRoom: boolean;
  /** A lease is not released while a call may be in progress. */
  readonly endOrders: boolean;
  /** A lease that was taken over is not released within one term. */
  readonly keepTerm: boolean;
  /** A free lease is not acquired within a term of a restore of the store, which may have lost its holder's writes. */
  readonly waitAfterRestore: boolean;
  /** A holder writes a lease that the store has lost again only while it is valid. */
  readonly rewriteInTerm: boolean;
}

/** All rules enabled, as in production. */
export const ALL_LEASE_RULES: LeaseRules = {
  waitTerm: true,
  countSuspension: true,
  leaveRoom: true,
  endOrders: true,
  keepTerm: true,
  waitAfterRestore: true,
  rewriteInTerm: true,
};

/** Milliseconds added to the end of a call, because the call may still arrive in that last millisecond. */
const ARRIVAL_MARGIN = 1;
/** Maximum drift in milliseconds between the two clocks that counts as an adjustment of the wall clock. */
const CLOCK_TOLERANCE = 100;

/**
 * Returns the milliseconds that are left of a lease.
 *
 * The monotonic clock stops while an instance is suspended, and the wall clock does not. The difference is subtracted
 * from the lease. Otherwise a resumed instance would act under a lease that another instance has taken meanwhile.
 */
export function leaseTimeLeft(
  held: HeldLease,
  { now, dayOffset }: ClockReading,
  rules: LeaseRules = ALL_LEASE_RULES,
): number {
  const offsetChange = dayOffset - held.dayOffset;
  const suspended = rules.countSuspension && offsetChange > CLOCK_TOLERANCE ? offsetChange : 0;
  return held.until - now - suspended;
}

/** Returns whether the holder may start a call that takes at most `orderTime` milliseconds. */
export function canStartCall(
  held: HeldLease,
  moment: ClockReading,
  options: { orderTime: number; rules?: LeaseRules },
): boolean {
  const { orderTime, rules = ALL_LEASE_RULES } = options;
  if (moment.now < held.ordersFrom) return false;
  return leaseTimeLeft(held, moment, rules) > (rules.leaveRoom ? orderTime : 0);
}

/**
 * Returns whether another instance's lease has expired.
 *
 * @param seen When this instance first observed the lease's current version, and the lease's term in milliseconds.
 * @param now This instance's monotonic time.
 */
export function hasExpired(
  seen: { since: number; term: number },
  now: number,
  rules: LeaseRules = ALL_LEASE_RULES,
): boolean {
  return !rules.waitTerm || now - seen.since >= seen.term;
}

/** What an instance knows about a lease that it doesn't hold. Times are in milliseconds of its monotonic clock. */
export interface ObservedLease {
  /** Whether the store contains no holder. */
  readonly isFree: boolean;
  /** When the lease's current version was first observed. */
  readonly since: number;
  /** Whether the lease was written in the store's current era, so that no restore can have lost a later holder's write. */
  readonly isOfEra: boolean;
  /** When the store's current era was first observed; see {@linkcode eraOf}. */
  readonly eraSince: number;
  /** The lease's term. */
  readonly term: number;
}

/**
 * Returns whether an instance may acquire a lease.
 *
 * The store may have been restored from a copy that is older than the last holder's writes. The lease then looks free, or
 * held by an earlier holder, although the last one acts until its term ends. That term began before the restore, so it
 * has ended a term after any instance has observed the restore. An instance that has just started doesn't know when the
 * store was last restored, and waits as well, unless the lease was written since: its writer has waited.
 */
export function canAcquire(
  { isFree, isOfEra, since, eraSince, term }: ObservedLease,
  now: number,
  rules: LeaseRules = ALL_LEASE_RULES,
): boolean {
  if (hasExpired({ since, term }, now, rules)) return true;
  return isFree && (!rules.waitAfterRestore || isOfEra || now - eraSince >= term);
}

/**
 * Returns whether a holder may write its lease again after the store was restored from a copy without it. Other instances
 * acquire it no sooner than a term after the restore, when the holder's term has ended.
 *
 * @param stored The version of the lease in the store, or any version of its current era if there is none.
 */
export function canRewrite(
  held: HeldLease,
  { stored, moment }: { readonly stored: number; readonly moment: ClockReading },
  rules: LeaseRules = ALL_LEASE_RULES,
): boolean {
  const isLost = eraOf(stored) > eraOf(held.version);
  return isLost && (!rules.rewriteInTerm || leaseTimeLeft(held, moment, rules) > 0);
}

/**
 * Returns the milliseconds until the holder may release its lease, so that another instance can take it without waiting
 * for the term; undefined if the lease must be left to expire.
 *
 * - A call in progress, also one of the previous holder, could arrive after the first call of the next holder, which the
 *   platform treats as split brain.
 * - During a rolling restart, a lease that was taken over a moment ago would move on at once, perhaps back to its
 *   previous holder. Two holders would then alternate within one term, which also looks like split brain.
 */
export function releaseDelay(
  held: HeldLease,
  now: number,
  options: { term: number; rules?: LeaseRules },
): number | undefined {
  const { term, rules = ALL_LEASE_RULES } = options;
  if (rules.keepTerm && now - (held.takenOverAt ?? -Infinity) < term) return undefined;
  if (!rules.endOrders) return 0;
  const { ordersFrom, ordersUntil = -Infinity } = held;
  const lastArrival = ordersUntil + ARRIVAL_MARGIN;
  return Math.max(0, ordersFrom - now, ordersUntil < now ? 0 : lastArrival - now);
}
