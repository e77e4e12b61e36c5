/**
 * When a lease may be taken over, and when its holder may act on it.
 *
 * The platform's calls aren't checked for their fence, so two holders at a time would be obeyed in turn. No instance
 * trusts another's clock: a holder counts its time from before the write that took or renewed the lease, and a
 * successor the whole term from when it first saw that version, which is later.
 *
 * @module
 */

/** A lease as its holder has it; times are those of its own steady clock, in milliseconds. */
export interface HeldLease {
  /** The store's version of the last renewal. */
  readonly version: number;
  /** The version at which it was taken: renewals don't change the fencing number, whose rise is a new holder. */
  readonly fence: number;
  /** The time of day less the steady clock at the last renewal. */
  readonly dayOffset: number;
  readonly until: number;
  /** Before this no order is sent: one of the holder before may still be under way. */
  readonly ordersFrom: number;
  /** Until when an order that was begun may be under way; undefined where none was begun. */
  readonly ordersUntil: number | undefined;
  /** When it was taken after another holder, which gave it back or let it run out; undefined after none. */
  readonly takenOverAt: number | undefined;
}

/** A moment of one instance. */
export interface LeaseMoment {
  /** Its steady clock. */
  readonly now: number;
  /** The time of day less the steady clock. */
  readonly dayOffset: number;
}

/** What can be switched off in the specification to show that it is needed. */
export interface LeaseRules {
  /** A successor waits out the term. */
  readonly waitTerm: boolean;
  /** Time that the steady clock didn't count counts against the lease. */
  readonly countSuspension: boolean;
  /** A call is begun only if it will be over before the lease is. */
  readonly leaveRoom: boolean;
  /** A lease isn't given back while a call may be under way. */
  readonly endOrders: boolean;
  /** A lease that was another holder's isn't given back within a term. */
  readonly keepTerm: boolean;
}

/** All rules in force. */
export const ALL_LEASE_RULES: LeaseRules = {
  waitTerm: true,
  countSuspension: true,
  leaveRoom: true,
  endOrders: true,
  keepTerm: true,
};

/** Milliseconds: what may arrive until a moment may arrive at it. */
const SAME_MOMENT = 1;
/** Differences between the time of day and the steady clock up to this are corrections of the time of day. */
const CLOCK_TOLERANCE = 100;

/**
 * Milliseconds that are left of a lease.
 *
 * The steady clock stands still while an instance is suspended and the time of day doesn't: without counting that, an
 * instance that wakes would act on a lease that another one has taken meanwhile.
 */
export function leaseTimeLeft(
  held: HeldLease,
  { now, dayOffset }: LeaseMoment,
  rules: LeaseRules = ALL_LEASE_RULES,
): number {
  const uncounted = dayOffset - held.dayOffset;
  const suspended = rules.countSuspension && uncounted > CLOCK_TOLERANCE ? uncounted : 0;
  return held.until - now - suspended;
}

/** Says whether the holder may begin a call that takes so many milliseconds at most. */
export function mayOrder(
  held: HeldLease,
  moment: LeaseMoment,
  options: { orderTime: number; rules?: LeaseRules },
): boolean {
  const { orderTime, rules = ALL_LEASE_RULES } = options;
  if (moment.now < held.ordersFrom) return false;
  return leaseTimeLeft(held, moment, rules) > (rules.leaveRoom ? orderTime : 0);
}

/** Says whether another instance's lease has run out, by when its version was first seen. */
export function hasRunOut(
  seen: { since: number; term: number },
  now: number,
  rules: LeaseRules = ALL_LEASE_RULES,
): boolean {
  return !rules.waitTerm || now - seen.since >= seen.term;
}

/**
 * Milliseconds until the holder may give its lease back, for another to take it at once; undefined where it must be
 * left to run out.
 *
 * - A call that is under way would arrive after one of the next holder, which the platform takes for a split.
 * - Where instances are restarted in turn, a lease that was another's a moment ago would go on at once, and perhaps to
 *   the one that had it before: two holders would act in turn within one term, which is taken for a split too.
 */
export function giveBackIn(
  held: HeldLease,
  now: number,
  options: { term: number; rules?: LeaseRules },
): number | undefined {
  const { term, rules = ALL_LEASE_RULES } = options;
  if (rules.keepTerm && now - (held.takenOverAt ?? -Infinity) < term) return undefined;
  const { ordersUntil } = held;
  if (!rules.endOrders || ordersUntil === undefined || ordersUntil < now) return 0;
  return ordersUntil - now + SAME_MOMENT;
}
