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
import { hasRunOut, leaseTimeLeft, mayOrder } from "../src/version/index.ts";
import type { HeldLease, LeaseMoment, LeaseRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

const UNIT = 1_000;
const TERM = 3 * UNIT;
const ORDER_TIME = UNIT;

interface Order {
  readonly fence: number;
  /** When it has arrived at the latest. */
  readonly by: number;
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
  readonly suspensions: number;
}

/** Two instances, one suspension. */
export function leaseSpecification(rules: LeaseRules): Specification<LeaseState> {
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
      suspensions: 1,
    },
    steps: (state) => [
      ...tick(state),
      ...state.underWay.map((order) => arrive(state, order)),
      ...state.holders.flatMap((one) => holderSteps(state, one, rules)),
    ],
    encode,
    invariants: [
      { name: "no order arrives after one of a later holder", holds: ({ fell }) => !fell },
    ],
    goal: ({ highest }) => highest > 0,
  };
}

/**
 * What the future depends on: fences by their order, versions by whether they are the stored one, and times by their
 * distance from now as far as it matters. With absolute ones no state would ever come again, and the exploration
 * never end.
 */
function encode(state: LeaseState): string {
  const { stored, holders, underWay, highest, fell, suspensions, time } = state;
  const fences = [
    highest,
    ...underWay.map(({ fence }) => fence),
    ...holders.map(({ held }) => held?.fence ?? 0),
  ];
  const ranks = [...new Set(fences)].sort((a, b) => a - b);
  const units = (span: number): number => Math.max(-1, Math.min(TERM, span) / UNIT);
  const orders = underWay.map(({ fence, by }) => `${ranks.indexOf(fence)} ${by - time}`);
  return JSON.stringify([
    stored.holder,
    ranks.indexOf(highest),
    fell,
    suspensions,
    orders.sort(),
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
  if (underWay.some(({ by }) => by <= time)) return [];
  const later = holders.map((one) => (one.isSuspended ? { ...one, lag: one.lag + UNIT } : one));
  return [
    { name: "time goes on", fault: false, next: { ...state, time: time + UNIT, holders: later } },
  ];
}

function arrive(state: LeaseState, order: Order): Step<LeaseState> {
  return {
    name: `the order with fence ${order.fence} arrives`,
    fault: false,
    next: {
      ...state,
      underWay: state.underWay.filter((one) => one !== order),
      highest: Math.max(state.highest, order.fence),
      fell: state.fell || order.fence < state.highest,
    },
  };
}

function holderSteps(state: LeaseState, holder: Holder, rules: LeaseRules): Step<LeaseState>[] {
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
  const version = stored.version + 1;
  const write = { stored: { version, holder: holder.name } };
  const until = moment.now + TERM;
  if (held !== undefined && leaseTimeLeft(held, moment, rules) <= 0) {
    steps.push(step("lets it run out", become({ held: undefined })));
  } else if (held !== undefined && held.version !== stored.version) {
    steps.push(step("finds its renewal refused", become({ held: undefined })));
  } else if (held !== undefined && held.until < until) {
    const renewed = { ...held, version, until, dayOffset: moment.dayOffset };
    steps.push(step("renews", become({ held: renewed }, write)));
  }
  const isFree = stored.holder === "";
  const isOver =
    seen?.version === stored.version &&
    hasRunOut({ since: seen.since, term: TERM }, moment.now, rules);
  if (held === undefined && seen !== undefined && (isFree || isOver)) {
    const ordersFrom = moment.now;
    const taken = { version, fence: version, dayOffset: moment.dayOffset, until, ordersFrom };
    steps.push(step("takes it", become({ held: taken }, write)));
  }
  const mayAct = held !== undefined && mayOrder(held, moment, { orderTime: ORDER_TIME, rules });
  if (mayAct && state.underWay.length < 2) {
    const order = { fence: held.fence, by: state.time + ORDER_TIME };
    steps.push(step("gives an order", { ...state, underWay: [...state.underWay, order] }));
  }
  return steps;
}
