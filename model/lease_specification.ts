/**
 * Specification of the lease that permits orders to the platform. Each acquisition of the lease has
 * a higher fence (fencing token) than the one before. The receiver of an order doesn't check its
 * fence, so the lease alone must prevent an order of an earlier holder from arriving late. Two
 * instances acquire, renew and lose the lease, are suspended and resumed, and send orders that take
 * some time to arrive. The store may be restored from a copy, in which the lease is free or belongs
 * to any instance. The actions call the same functions as the entry instance.
 *
 * Time advances in units of {@linkcode TIME_UNIT} milliseconds. While an instance is suspended, its
 * monotonic clock stops but its time of day continues.
 *
 * @module
 */
import {
  canAcquire,
  canRewrite,
  canStartCall,
  eraOf,
  leaseTimeLeft,
  releaseDelay,
  revisionOf,
  storeVersion,
} from "../src/version/index.ts";
import type { HeldLease, ClockReading, LeaseRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

/** Length of a time step in milliseconds. */
const TIME_UNIT = 1_000;
/** Maximum time from sending an order to its arrival, in milliseconds. */
const ORDER_TIME = TIME_UNIT;

/** An order in transit to the platform. */
interface Order {
  /** Name of the instance that sent it. */
  readonly sender: string;
  /** Fence of the lease under which it was sent. */
  readonly fence: number;
  /** Latest time of arrival. */
  readonly arrivesBy: number;
}

/** An instance that may hold the lease. */
interface Candidate {
  readonly name: string;
  readonly isSuspended: boolean;
  /** Total time of suspension so far, by which the monotonic clock lags. */
  readonly clockLag: number;
  /** The lease as this instance last wrote it. The stored one may have changed since. */
  readonly lease: HeldLease | undefined;
  /** The latest lease version observed, and the monotonic time of its observation. */
  readonly observed: { readonly version: number; readonly since: number } | undefined;
  /** The store's latest era observed, and the monotonic time of its observation. */
  readonly knownEra: { readonly era: number; readonly since: number } | undefined;
}

/** The lease as the store contains it. */
interface StoredLease {
  readonly version: number;
  /** Name of the holder; empty if the lease is free. */
  readonly holder: string;
  /** The store's latest era that the writer had observed; -1 before the first write. */
  readonly era: number;
}

/** The complete state of the model, as plain data. Times are in milliseconds. */
export interface LeaseState {
  readonly time: number;
  /** The lease in the store. */
  readonly storedLease: StoredLease;
  readonly candidates: readonly Candidate[];
  readonly pendingOrders: readonly Order[];
  /** Highest fence of any order that has arrived. */
  readonly highestFence: number;
  /** Whether an order with a lower fence arrived afterward. */
  readonly hasFenceDecreased: boolean;
  /** Sender and arrival time of the latest order; only tracked if instances release the lease. */
  readonly lastOrder: { readonly name: string; readonly at: number } | undefined;
  /** Sender and arrival time of the latest order from a sender other than that of `lastOrder`. */
  readonly previousOrder: { readonly name: string; readonly at: number } | undefined;
  /**
   * Whether two orders of one sender arrived within a term, with an order of another sender between
   * them.
   */
  readonly hasAlternated: boolean;
  /** Number of suspensions that may still occur. */
  readonly suspensionsLeft: number;
  /** Number of restores of the store that may still occur. */
  readonly restoresLeft: number;
}

/** Bounds of an exploration of the lease. */
export interface LeaseBounds {
  /** Number of suspensions, over all instances. */
  readonly suspensions: number;
  /** Number of restores of the store from a copy. */
  readonly restores: number;
  /**
   * Whether instances release the lease. This adds many states, so it is explored without
   * suspensions.
   */
  readonly givesBack: boolean;
  /** Duration of a lease after each write, in time units. */
  readonly term: number;
}

/** Bounds within which the lease is explored. */
export const LEASE_BOUNDS: readonly LeaseBounds[] = [
  { suspensions: 1, restores: 0, givesBack: false, term: 3 },
  { suspensions: 1, restores: 1, givesBack: false, term: 2 },
  // Each order takes up to one time unit. In a shorter term, the lease can't change hands and
  // return.
  { suspensions: 0, restores: 0, givesBack: true, term: 4 },
  { suspensions: 0, restores: 1, givesBack: true, term: 2 },
];

/** Creates the specification with two instances. */
export function leaseSpecification(
  rules: LeaseRules,
  bounds: LeaseBounds,
): Specification<LeaseState> {
  const candidate = (name: string): Candidate => ({
    name,
    isSuspended: false,
    clockLag: 0,
    lease: undefined,
    observed: undefined,
    knownEra: undefined,
  });
  return {
    name: "lease",
    initial: {
      time: 0,
      storedLease: { version: 0, holder: "", era: -1 },
      candidates: [candidate("a"), candidate("b")],
      pendingOrders: [],
      highestFence: 0,
      hasFenceDecreased: false,
      lastOrder: undefined,
      previousOrder: undefined,
      hasAlternated: false,
      suspensionsLeft: bounds.suspensions,
      restoresLeft: bounds.restores,
    },
    steps: (state) => [
      ...advanceTime(state),
      ...restoreStore(state),
      ...state.pendingOrders.map((order) => deliverOrder(state, order, bounds)),
      ...state.candidates.flatMap((one) => candidateSteps(state, one, { rules, bounds })),
    ],
    encode: (state) => encode(state, bounds),
    invariants: [
      {
        name: "no order arrives after an order of a later holder",
        holds: ({ hasFenceDecreased }) => !hasFenceDecreased,
      },
      {
        name: "holders don't alternate within a term",
        holds: ({ hasAlternated }) => !hasAlternated,
      },
    ],
    isGoal: ({ highestFence }) => highestFence > 0,
  };
}

/**
 * Encodes what future steps depend on: the order of the fences, whether a version is the stored
 * one, and times relative to now, limited to the term. With absolute values no state would recur,
 * and the exploration would not terminate.
 */
function encode(state: LeaseState, { givesBack, restores, term }: LeaseBounds): string {
  const {
    storedLease,
    candidates,
    pendingOrders,
    highestFence,
    hasFenceDecreased,
    suspensionsLeft,
    restoresLeft,
    time,
  } = state;
  const era = eraOf(storedLease.version);
  const { lastOrder, previousOrder, hasAlternated } = state;
  const fences = [
    highestFence,
    ...pendingOrders.map(({ fence }) => fence),
    ...candidates.map(({ lease }) => lease?.fence ?? 0),
  ];
  const ranks = [...new Set(fences)].sort((a, b) => a - b);
  const units = (duration: number): number => Math.max(-1, Math.min(term, duration / TIME_UNIT));
  const orders = pendingOrders.map(
    ({ sender, fence, arrivesBy }) => `${sender} ${ranks.indexOf(fence)} ${arrivesBy - time}`,
  );
  return JSON.stringify([
    storedLease.holder,
    restores > 0 && storedLease.era === era,
    ranks.indexOf(highestFence),
    hasFenceDecreased,
    suspensionsLeft,
    restoresLeft,
    orders.sort(),
    hasAlternated,
    lastOrder?.name,
    previousOrder && [previousOrder.name, units(time - previousOrder.at)],
    lastOrder && units(time - lastOrder.at),
    candidates.map((candidate) => {
      const { lease, observed, knownEra, isSuspended, clockLag } = candidate;
      const { now } = readClock(state, candidate);
      const isCurrent = observed?.version === storedLease.version;
      return [
        isSuspended,
        lease && [
          lease.version === storedLease.version,
          eraOf(lease.version) === era,
          ranks.indexOf(lease.fence),
          units(lease.until - now),
          units(clockLag - lease.dayOffset),
          givesBack && lease.ordersUntil !== undefined && units(lease.ordersUntil - now),
          givesBack && lease.takenOverAt !== undefined && units(now - lease.takenOverAt),
        ],
        isCurrent && units(now - observed.since),
        restores > 0 && knownEra?.era === era && units(now - knownEra.since),
      ];
    }),
  ]);
}

/** Returns the clock reading of an instance. */
function readClock({ time }: LeaseState, { clockLag }: Candidate): ClockReading {
  return { now: time - clockLag, dayOffset: clockLag };
}

/** Advances time by one unit, but not past the latest arrival time of a pending order. */
function advanceTime(state: LeaseState): Step<LeaseState>[] {
  const { time, pendingOrders, candidates } = state;
  if (pendingOrders.some(({ arrivesBy }) => arrivesBy <= time)) return [];
  const updated = candidates.map((one) =>
    one.isSuspended ? { ...one, clockLag: one.clockLag + TIME_UNIT } : one,
  );
  return [
    {
      name: "time advances",
      isFault: false,
      next: { ...state, time: time + TIME_UNIT, candidates: updated },
    },
  ];
}

/** Replaces the lease by that of an earlier copy: free, or held by any instance, and written in an earlier era. */
function restoreStore(state: LeaseState): Step<LeaseState>[] {
  const { storedLease, candidates, restoresLeft } = state;
  if (restoresLeft === 0 || storedLease.version === 0) return [];
  const version = storeVersion({
    era: eraOf(storedLease.version) + 1,
    revision: revisionOf(storedLease.version),
  });
  return ["", ...candidates.map(({ name }) => name)].map((holder) => ({
    name: `the store is restored with the lease ${holder === "" ? "free" : `held by ${holder}`}`,
    isFault: true,
    next: {
      ...state,
      storedLease: { version, holder, era: eraOf(storedLease.version) },
      restoresLeft: restoresLeft - 1,
    },
  }));
}

function deliverOrder(
  state: LeaseState,
  order: Order,
  { givesBack, term }: LeaseBounds,
): Step<LeaseState> {
  const { time, lastOrder, previousOrder } = state;
  const { sender: name, fence } = order;
  const isSameSender = lastOrder?.name === name;
  const isAlternating =
    !isSameSender && previousOrder?.name === name && time - previousOrder.at < term * TIME_UNIT;
  return {
    name: `the order with fence ${fence} arrives`,
    isFault: false,
    next: {
      ...state,
      pendingOrders: state.pendingOrders.filter((one) => one !== order),
      highestFence: Math.max(state.highestFence, fence),
      hasFenceDecreased: state.hasFenceDecreased || fence < state.highestFence,
      lastOrder: givesBack ? { name, at: time } : undefined,
      previousOrder: isSameSender ? previousOrder : lastOrder,
      hasAlternated: state.hasAlternated || isAlternating,
    },
  };
}

/** Returns when an instance observed the store's era. A store that is never restored counts no eras. */
function eraSince(
  { knownEra }: Candidate,
  { now }: ClockReading,
  { restores }: LeaseBounds,
): number {
  return restores === 0 ? -Infinity : (knownEra?.since ?? now);
}

function candidateSteps(
  state: LeaseState,
  candidate: Candidate,
  { rules, bounds }: { rules: LeaseRules; bounds: LeaseBounds },
): Step<LeaseState>[] {
  const term = bounds.term * TIME_UNIT;
  const withChange = (change: Partial<Candidate>, more: Partial<LeaseState> = {}): LeaseState => ({
    ...state,
    ...more,
    candidates: state.candidates.map((one) => (one === candidate ? { ...one, ...change } : one)),
  });
  const step = (name: string, next: LeaseState, isFault = false): Step<LeaseState> => ({
    name: `${candidate.name} ${name}`,
    isFault,
    next,
  });
  if (candidate.isSuspended) return [step("resumes", withChange({ isSuspended: false }))];
  const reading = readClock(state, candidate);
  const steps: Step<LeaseState>[] = [];
  if (state.suspensionsLeft > 0) {
    const suspended = withChange(
      { isSuspended: true },
      { suspensionsLeft: state.suspensionsLeft - 1 },
    );
    steps.push(step("is suspended", suspended, true));
  }
  const { storedLease } = state;
  const { lease, observed, knownEra } = candidate;
  const observe = (seen: number): Partial<Candidate> => {
    const era = eraOf(seen);
    const since = reading.now;
    return {
      observed: { version: seen, since },
      knownEra: knownEra !== undefined && knownEra.era >= era ? knownEra : { era, since },
    };
  };
  if (observed?.version !== storedLease.version)
    steps.push(step("reads the store", withChange(observe(storedLease.version))));
  for (const { name, lease: peerLease } of state.candidates) {
    if (peerLease === undefined || peerLease.version <= (observed?.version ?? 0)) continue;
    steps.push(step(`receives the version of ${name}`, withChange(observe(peerLease.version))));
  }
  const version = storedLease.version + 1;
  const era = knownEra?.era ?? 0;
  const write = { storedLease: { version, holder: candidate.name, era } };
  const until = reading.now + term;
  const isRewritable =
    lease !== undefined &&
    canRewrite(lease, { stored: storedLease.version, moment: reading }, rules);
  if (isRewritable) {
    const rewritten = { ...lease, version, until, dayOffset: reading.dayOffset };
    steps.push(step("writes the lost lease again", withChange({ lease: rewritten }, write)));
  }
  if (lease !== undefined && leaseTimeLeft(lease, reading, rules) <= 0) {
    steps.push(step("lets the lease expire", withChange({ lease: undefined })));
  } else if (lease !== undefined && lease.version !== storedLease.version) {
    if (!isRewritable)
      steps.push(step("gets its renewal refused", withChange({ lease: undefined })));
  } else if (lease !== undefined && lease.until < until) {
    const renewed = { ...lease, version, until, dayOffset: reading.dayOffset };
    steps.push(step("renews the lease", withChange({ lease: renewed }, write)));
  }
  if (bounds.givesBack && lease?.version === storedLease.version) {
    if (releaseDelay(lease, reading.now, { term, rules }) === 0) {
      const release = { storedLease: { version, holder: "", era } };
      steps.push(step("releases the lease", withChange({ lease: undefined }, release)));
    }
  }
  const isFree = storedLease.holder === "";
  const isOfEra = storedLease.era === eraOf(storedLease.version);
  const isAcquirable =
    observed?.version === storedLease.version &&
    canAcquire(
      {
        isFree,
        isOfEra,
        since: observed.since,
        eraSince: eraSince(candidate, reading, bounds),
        term,
      },
      reading.now,
      rules,
    );
  if (lease === undefined && isAcquirable) {
    const { now, dayOffset } = reading;
    const takenOverAt =
      storedLease.version > 0 && storedLease.holder !== candidate.name ? now : undefined;
    const times = { until, ordersFrom: now, ordersUntil: undefined, takenOverAt };
    const acquired = { version, fence: version, dayOffset, ...times };
    steps.push(step("acquires the lease", withChange({ lease: acquired }, write)));
  }
  const canOrder =
    lease !== undefined && canStartCall(lease, reading, { orderTime: ORDER_TIME, rules });
  if (canOrder && state.pendingOrders.length < 2) {
    const order = {
      sender: candidate.name,
      fence: lease.fence,
      arrivesBy: state.time + ORDER_TIME,
    };
    const withOrder = { ...lease, ordersUntil: reading.now + ORDER_TIME };
    const pendingOrders = [...state.pendingOrders, order];
    steps.push(step("sends an order", withChange({ lease: withOrder }, { pendingOrders })));
  }
  return steps;
}
