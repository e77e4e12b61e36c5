/**
 * The specification of how an order to change the version of a service's workers ends: two instances that both take
 * themselves for the one that ends it and decide differently, an operator who orders once more meanwhile, and a store
 * that loses answers or does a write later. Its actions call the functions that the entry instance executes.
 *
 * @module
 */
import { RolloutState } from "../src/interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../src/interface/index.ts";
import { isFinal, nextStatus, stateOfOrder } from "../src/version/index.ts";
import type { RolloutRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

/** Versions that are ordered in turn. */
const VERSIONS = ["v2", "v3"];
const SERVICE = "model";
const DECISIONS = [RolloutState.Running, RolloutState.Completed, RolloutState.RolledBack];

interface Write {
  readonly over: number;
  readonly status: RolloutStatus;
}

interface Holder {
  readonly name: string;
  readonly known: RolloutEntry | undefined;
}

/** An end that was written of an order. */
interface End {
  /** Counts the orders. */
  readonly order: number;
  readonly state: RolloutState;
}

/** Everything, as plain data. */
export interface RolloutWorld {
  readonly stored: RolloutEntry;
  /** Counts the orders. */
  readonly order: number;
  readonly holders: readonly Holder[];
  /** Writes that the store may still do, though nobody waits for them. */
  readonly late: readonly Write[];
  readonly ends: readonly End[];
  readonly lateWrites: number;
  readonly restarts: number;
}

/** Two instances, two orders, a write that is done late and a restart. */
export function rolloutSpecification(rules: RolloutRules): Specification<RolloutWorld> {
  const order = orderOf(0);
  return {
    name: "roll-out",
    initial: {
      stored: { order, storeVersion: 1, status: undefined },
      order: 0,
      holders: [
        { name: "a", known: undefined },
        { name: "b", known: undefined },
      ],
      late: [],
      ends: [],
      lateWrites: 1,
      restarts: 1,
    },
    steps: (world) => [
      ...world.late.map((write) => doLate(world, write, rules)),
      ...world.holders.flatMap((one) => holderSteps(world, one, rules)),
      ...operatorSteps(world),
    ],
    encode: (world) => JSON.stringify(world),
    invariants: [
      {
        name: "an order has one end",
        holds: ({ ends }) => new Set(ends.map((end) => end.order)).size === ends.length,
      },
      {
        name: "an order is taken for ended only after it was",
        holds: (world) => !isFinal(stateOfOrder(world.stored, rules)) || hasEnd(world),
      },
    ],
    goal: hasEnd,
  };
}

function orderOf(count: number): RolloutEntry["order"] {
  return { service: SERVICE, to: VERSIONS[count] ?? "", duration: 1 };
}

function hasEnd({ ends, order }: RolloutWorld): boolean {
  return ends.some((end) => end.order === order);
}

/** The world after a write; undefined where its condition doesn't hold. */
function written(
  world: RolloutWorld,
  { over, status }: Write,
  { expectVersion }: RolloutRules,
): RolloutWorld | undefined {
  const { stored, order, ends } = world;
  if (expectVersion && over !== stored.storeVersion) return undefined;
  const isEnd = isFinal(status.state) && status.to === stored.order.to;
  const isKnown = ends.some((end) => end.order === order && end.state === status.state);
  return {
    ...world,
    stored: { ...stored, status, storeVersion: stored.storeVersion + 1 },
    ends: isEnd && !isKnown ? [...ends, { order, state: status.state }] : ends,
  };
}

function doLate(world: RolloutWorld, write: Write, rules: RolloutRules): Step<RolloutWorld> {
  const rest = { ...world, late: world.late.filter((one) => one !== write) };
  const next = written(rest, write, rules) ?? rest;
  return { name: "the store does a write late", fault: false, next };
}

function operatorSteps(world: RolloutWorld): Step<RolloutWorld>[] {
  const { stored, order } = world;
  if (order + 1 >= VERSIONS.length) return [];
  const next = { ...stored, order: orderOf(order + 1), storeVersion: stored.storeVersion + 1 };
  return [
    {
      name: "the operator orders",
      fault: false,
      next: { ...world, stored: next, order: order + 1 },
    },
  ];
}

function holderSteps(
  world: RolloutWorld,
  holder: Holder,
  rules: RolloutRules,
): Step<RolloutWorld>[] {
  const become = (
    known: RolloutEntry | undefined,
    more: Partial<RolloutWorld> = {},
  ): RolloutWorld => ({
    ...world,
    ...more,
    holders: world.holders.map((one) => (one === holder ? { ...one, known } : one)),
  });
  const step = (name: string, next: RolloutWorld, fault = false): Step<RolloutWorld> => ({
    name: `${holder.name} ${name}`,
    fault,
    next,
  });
  const { known } = holder;
  const steps = [step("reads", become(world.stored))];
  if (world.restarts > 0) {
    steps.push(step("is restarted", become(undefined, { restarts: world.restarts - 1 }), true));
  }
  if (known === undefined) return steps;
  for (const decided of DECISIONS) {
    const status = nextStatus(known, decided, rules);
    if (status === undefined) continue;
    const write = { over: known.storeVersion, status };
    const done = written(become(undefined), write, rules);
    steps.push(step(`says ${decided}`, done ?? become(undefined)));
    if (world.lateWrites === 0) continue;
    const late = { late: [...world.late, write], lateWrites: world.lateWrites - 1 };
    steps.push(step(`gives up saying ${decided}`, become(undefined, late), true));
  }
  return steps;
}
