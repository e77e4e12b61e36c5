/**
 * The specification of the lease whose fence nobody checks: two instances that take, renew and lose it, are
 * suspended and wake, and give orders that are under way for a while. Its actions call the functions that the entry
 * instance executes.
 *
 * Time is counted in whole units of {@linkcode UNIT} milliseconds. An instance's steady clock stands still while it is
 * suspended; its time of day doesn't.
 *
 * @module
 */
import { giveBackIn, hasRunOut, leaseTimeLeft, mayOrder } from "../src/version/index.ts";
import type { HeldLease, LeaseMoment, LeaseRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

const UNIT = 1_000;
const ORDER_TIME = UNIT;

interface Order {
  readonly by: string;
  readonly fence: number;
  /** When it has arrived at the latest. */
  readonly until: number;
}

interface Holder {
  readonly name: string;
  readonly isSuspended: boolean;
  /** For how long it has been suspended so far. */
  readonly lag: number;
  readonly held: HeldLease | undefined;
  readonly seen: { readonly version: number; readonly since: number } | undefined;
}

/** Everything, as plain data. */
export interface LeaseState {
  readonly time: number;
  readonly stored: { readonly version: number; readonly holder: string };
  readonly holders: readonly Holder[];
  readonly underWay: readonly Order[];
  /** The highest fence that has arrived, and whether a lower one came after it. */
  readonly highest: number;
  readonly fell: boolean;
  /** The holders of the last orders that arrived, each with the time of its last one. */
  readonly last: { readonly name: string; readonly at: number } | undefined;
  readonly beforeLast: { readonly name: string; readonly at: number } | undefined;
  /** Whether an order arrived within a term of its holder's one before, with another's between them. */
  readonly alternated: boolean;
  readonly suspensions: number;
}

/** What is played. */
export interface LeaseBounds {
  /** How often an instance may be suspended. */
  readonly suspensions: number;
  /** Whether instances give the lease back; many more states, so without suspensions. */
  readonly givesBack: boolean;
  /** For how many units a lease holds after each write. */
  readonly term: number;
}

/** The bounds within which the lease is explored. */
export const LEASE_BOUNDS: readonly LeaseBounds[] = [
  { suspensions: 1, givesBack: false, term: 3 },
  // A unit has to pass before what arrives until a moment has arrived: there and back fit into no shorter term.
  { suspensions: 0, givesBack: true, term: 4 },
];

/** Two instances within the bounds. */
export function leaseSpecification(
  rules: LeaseRules,
  bounds: LeaseBounds,
): Specification<LeaseState> {
  const holder = (name: string): Holder => ({
    name,
    isSuspended: false,
    lag: 0,
    held: undefined,
    seen: undefined,
  });
  return {
    name: "lease",
    initial: {
      time: 0,
      stored: { version: 0, holder: "" },
      holders: [holder("a"), holder("b")],
      underWay: [],
      highest: 0,
      fell: false,
      last: undefined,
      beforeLast: undefined,
      alternated: false,
      suspensions: bounds.suspensions,
    },
    steps: (state) => [
      ...tick(state),
      ...state.underWay.map((order) => arrive(state, order, bounds)),
      ...state.holders.flatMap((one) => holderSteps(state, one, { rules, bounds })),
    ],
    encode: (state) => encode(state, bounds),
    invariants: [
      { name: "no order arrives after one of a later holder", holds: ({ fell }) => !fell },
      { name: "holders don't act in turn within a term", holds: ({ alternated }) => !alternated },
    ],
    goal: ({ highest }) => highest > 0,
  };
}

/**
 * What the future depends on: fences by their order, versions by whether they are the stored one, and times by their
 * distance from now as far as it matters. With absolute ones no state would ever come again, and the exploration
 * never end.
 */
function encode(state: LeaseState, { givesBack, term }: LeaseBounds): string {
  const { stored, holders, underWay, highest, fell, suspensions, time } = state;
  const { last, beforeLast, alternated } = state;
  const fences = [
    highest,
    ...underWay.map(({ fence }) => fence),
    ...holders.map(({ held }) => held?.fence ?? 0),
  ];
  const ranks = [...new Set(fences)].sort((a, b) => a - b);
  const units = (span: number): number => Math.max(-1, Math.min(term, span / UNIT));
  const orders = underWay.map(
    ({ by, fence, until }) => `${by} ${ranks.indexOf(fence)} ${until - time}`,
  );
  return JSON.stringify([
    stored.holder,
    ranks.indexOf(highest),
    fell,
    suspensions,
    orders.sort(),
    alternated,
    last?.name,
    beforeLast && [beforeLast.name, units(time - beforeLast.at)],
    last && units(time - last.at),
    holders.map((holder) => {
      const { held, seen, isSuspended, lag } = holder;
      const { now } = steadyNow(state, holder);
      const isSeen = seen?.version === stored.version;
      return [
        isSuspended,
        held && [
          held.version === stored.version,
          ranks.indexOf(held.fence),
          units(held.until - now),
          units(lag - held.dayOffset),
          givesBack && held.ordersUntil !== undefined && units(held.ordersUntil - now),
          givesBack && held.takenOverAt !== undefined && units(now - held.takenOverAt),
        ],
        isSeen && units(now - seen.since),
      ];
    }),
  ]);
}

function steadyNow({ time }: LeaseState, { lag }: Holder): LeaseMoment {
  return { now: time - lag, dayOffset: lag };
}

/** Time goes on, but not past the moment at which an order has arrived at the latest. */
function tick(state: LeaseState): Step<LeaseState>[] {
  const { time, underWay, holders } = state;
  if (underWay.some(({ until }) => until <= time)) return [];
  const later = holders.map((one) => (one.isSuspended ? { ...one, lag: one.lag + UNIT } : one));
  return [
    { name: "time goes on", fault: false, next: { ...state, time: time + UNIT, holders: later } },
  ];
}

function arrive(
  state: LeaseState,
  order: Order,
  { givesBack, term }: LeaseBounds,
): Step<LeaseState> {
  const { time, last, beforeLast } = state;
  const { by: name, fence } = order;
  const isSame = last?.name === name;
  const isBack = !isSame && beforeLast?.name === name && time - beforeLast.at < term * UNIT;
  return {
    name: `the order with fence ${fence} arrives`,
    fault: false,
    next: {
      ...state,
      underWay: state.underWay.filter((one) => one !== order),
      highest: Math.max(state.highest, fence),
      fell: state.fell || fence < state.highest,
      last: givesBack ? { name, at: time } : undefined,
      beforeLast: isSame ? beforeLast : last,
      alternated: state.alternated || isBack,
    },
  };
}

function holderSteps(
  state: LeaseState,
  holder: Holder,
  { rules, bounds }: { rules: LeaseRules; bounds: LeaseBounds },
): Step<LeaseState>[] {
  const term = bounds.term * UNIT;
  const become = (change: Partial<Holder>, more: Partial<LeaseState> = {}): LeaseState => ({
    ...state,
    ...more,
    holders: state.holders.map((one) => (one === holder ? { ...one, ...change } : one)),
  });
  const step = (name: string, next: LeaseState, fault = false): Step<LeaseState> => ({
    name: `${holder.name} ${name}`,
    fault,
    next,
  });
  if (holder.isSuspended) return [step("wakes", become({ isSuspended: false }))];
  const moment = steadyNow(state, holder);
  const steps: Step<LeaseState>[] = [];
  if (state.suspensions > 0) {
    const suspended = become({ isSuspended: true }, { suspensions: state.suspensions - 1 });
    steps.push(step("is suspended", suspended, true));
  }
  const { stored } = state;
  const { held, seen } = holder;
  if (seen?.version !== stored.version) {
    const since = moment.now;
    steps.push(step("looks", become({ seen: { version: stored.version, since } })));
  }
  for (const { name, held: theirs } of state.holders) {
    if (theirs === undefined || theirs.version <= (seen?.version ?? 0)) continue;
    const since = moment.now;
    steps.push(step(`hears of ${name}`, become({ seen: { version: theirs.version, since } })));
  }
  const version = stored.version + 1;
  const write = { stored: { version, holder: holder.name } };
  const until = moment.now + term;
  if (held !== undefined && leaseTimeLeft(held, moment, rules) <= 0) {
    steps.push(step("lets it run out", become({ held: undefined })));
  } else if (held !== undefined && held.version !== stored.version) {
    steps.push(step("finds its renewal refused", become({ held: undefined })));
  } else if (held !== undefined && held.until < until) {
    const renewed = { ...held, version, until, dayOffset: moment.dayOffset };
    steps.push(step("renews", become({ held: renewed }, write)));
  }
  if (bounds.givesBack && held?.version === stored.version) {
    if (giveBackIn(held, moment.now, { term, rules }) === 0) {
      const free = { stored: { version, holder: "" } };
      steps.push(step("gives it back", become({ held: undefined }, free)));
    }
  }
  const isFree = stored.holder === "";
  const isOver =
    seen?.version === stored.version && hasRunOut({ since: seen.since, term }, moment.now, rules);
  if (held === undefined && seen !== undefined && (isFree || isOver)) {
    const { now, dayOffset } = moment;
    const takenOverAt = stored.version > 0 && stored.holder !== holder.name ? now : undefined;
    const terms = { until, ordersFrom: now, ordersUntil: undefined, takenOverAt };
    const taken = { version, fence: version, dayOffset, ...terms };
    steps.push(step("takes it", become({ held: taken }, write)));
  }
  const mayAct = held !== undefined && mayOrder(held, moment, { orderTime: ORDER_TIME, rules });
  if (mayAct && state.underWay.length < 2) {
    const order = { by: holder.name, fence: held.fence, until: state.time + ORDER_TIME };
    const ordering = { ...held, ordersUntil: moment.now + ORDER_TIME };
    const underWay = [...state.underWay, order];
    steps.push(step("gives an order", become({ held: ordering }, { underWay })));
  }
  return steps;
}
