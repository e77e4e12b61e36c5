/**
 * Specification of how a rollout order ends. Such an order changes the version of a service's
 * workers. Two instances both act as the lease holder that ends it and decide differently.
 * Meanwhile the operator places another order, and the store loses responses or applies a write
 * late. The actions call the same functions as the entry instance, so the model checker explores
 * the code that runs in production.
 *
 * @module
 */
import { RolloutState } from "../src/interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../src/interface/index.ts";
import { isFinal, nextStatus, stateOfOrder } from "../src/version/index.ts";
import type { RolloutRules } from "../src/version/index.ts";
import type { Specification, Step } from "./checker.ts";

/** Versions of the successive orders. */
const VERSIONS = ["v2", "v3"];
const SERVICE = "model";
/** States that an instance may decide to write. */
const DECISIONS = [RolloutState.Running, RolloutState.Completed, RolloutState.RolledBack];

/** A conditional write of an order's status. */
interface Write {
  /** Version that the store must hold for the write to succeed. */
  readonly expectedVersion: number;
  readonly status: RolloutStatus;
}

/** An instance that may end the order. */
interface Candidate {
  readonly name: string;
  /** The stored entry as last read; undefined if it must be read first. */
  readonly readEntry: RolloutEntry | undefined;
}

/** A final state that was written for an order. */
interface OrderEnd {
  /** Index of the order, from 0. */
  readonly orderIndex: number;
  readonly state: RolloutState;
}

/** The complete state of the model, as plain data. */
export interface RolloutModelState {
  readonly stored: RolloutEntry;
  /** Index of the current order, from 0. */
  readonly orderIndex: number;
  readonly candidates: readonly Candidate[];
  /** Writes that the store may still apply although the writer has given up waiting. */
  readonly pendingWrites: readonly Write[];
  /** Final states written so far, without duplicates. */
  readonly ends: readonly OrderEnd[];
  /** Number of writes that may still become late. */
  readonly lateWritesLeft: number;
  /** Number of instance restarts that may still occur. */
  readonly restartsLeft: number;
}

/** Creates the specification with two instances, two orders, one late write and one restart. */
export function rolloutSpecification(rules: RolloutRules): Specification<RolloutModelState> {
  const order = createOrder(0);
  return {
    name: "roll-out",
    initial: {
      stored: { order, storeVersion: 1, status: undefined },
      orderIndex: 0,
      candidates: [
        { name: "a", readEntry: undefined },
        { name: "b", readEntry: undefined },
      ],
      pendingWrites: [],
      ends: [],
      lateWritesLeft: 1,
      restartsLeft: 1,
    },
    steps: (state) => [
      ...state.pendingWrites.map((write) => applyLateWrite(state, write, rules)),
      ...state.candidates.flatMap((one) => candidateSteps(state, one, rules)),
      ...operatorSteps(state),
    ],
    encode: (state) => JSON.stringify(state),
    invariants: [
      {
        name: "an order has at most one end",
        holds: ({ ends }) => new Set(ends.map((end) => end.orderIndex)).size === ends.length,
      },
      {
        name: "an order is considered ended only after its end was written",
        holds: (state) => !isFinal(stateOfOrder(state.stored, rules)) || hasEnd(state),
      },
    ],
    isGoal: hasEnd,
  };
}

function createOrder(index: number): RolloutEntry["order"] {
  return { service: SERVICE, to: VERSIONS[index] ?? "", duration: 1 };
}

/** Whether an end of the current order was written. */
function hasEnd({ ends, orderIndex }: RolloutModelState): boolean {
  return ends.some((end) => end.orderIndex === orderIndex);
}

/** Returns the state after a write, or undefined if the stored version isn't the expected one. */
function applyWrite(
  state: RolloutModelState,
  { expectedVersion, status }: Write,
  { expectVersion }: RolloutRules,
): RolloutModelState | undefined {
  const { stored, orderIndex, ends } = state;
  if (expectVersion && expectedVersion !== stored.storeVersion) return undefined;
  const isEnd = isFinal(status.state) && status.to === stored.order.to;
  const isRecorded = ends.some(
    (end) => end.orderIndex === orderIndex && end.state === status.state,
  );
  return {
    ...state,
    stored: { ...stored, status, storeVersion: stored.storeVersion + 1 },
    ends: isEnd && !isRecorded ? [...ends, { orderIndex, state: status.state }] : ends,
  };
}

/** Applies a pending write, which has no effect if its expected version is out of date. */
function applyLateWrite(
  state: RolloutModelState,
  write: Write,
  rules: RolloutRules,
): Step<RolloutModelState> {
  const remaining = { ...state, pendingWrites: state.pendingWrites.filter((one) => one !== write) };
  const next = applyWrite(remaining, write, rules) ?? remaining;
  return { name: "the store applies a delayed write", isFault: false, next };
}

function operatorSteps(state: RolloutModelState): Step<RolloutModelState>[] {
  const { stored, orderIndex } = state;
  if (orderIndex + 1 >= VERSIONS.length) return [];
  const next = {
    ...stored,
    order: createOrder(orderIndex + 1),
    storeVersion: stored.storeVersion + 1,
  };
  return [
    {
      name: "the operator places another order",
      isFault: false,
      next: { ...state, stored: next, orderIndex: orderIndex + 1 },
    },
  ];
}

function candidateSteps(
  state: RolloutModelState,
  candidate: Candidate,
  rules: RolloutRules,
): Step<RolloutModelState>[] {
  const withEntry = (
    entry: RolloutEntry | undefined,
    more: Partial<RolloutModelState> = {},
  ): RolloutModelState => ({
    ...state,
    ...more,
    candidates: state.candidates.map((one) =>
      one === candidate ? { ...one, readEntry: entry } : one,
    ),
  });
  const step = (
    name: string,
    next: RolloutModelState,
    isFault = false,
  ): Step<RolloutModelState> => ({
    name: `${candidate.name} ${name}`,
    isFault,
    next,
  });
  const { readEntry } = candidate;
  const steps = [step("reads", withEntry(state.stored))];
  if (state.restartsLeft > 0) {
    steps.push(
      step("restarts", withEntry(undefined, { restartsLeft: state.restartsLeft - 1 }), true),
    );
  }
  if (readEntry === undefined) return steps;
  for (const decision of DECISIONS) {
    const status = nextStatus(readEntry, decision, rules);
    if (status === undefined) continue;
    const write = { expectedVersion: readEntry.storeVersion, status };
    const written = applyWrite(withEntry(undefined), write, rules);
    steps.push(step(`writes ${decision}`, written ?? withEntry(undefined)));
    if (state.lateWritesLeft === 0) continue;
    const pending = {
      pendingWrites: [...state.pendingWrites, write],
      lateWritesLeft: state.lateWritesLeft - 1,
    };
    steps.push(
      step(`stops waiting for its write of ${decision}`, withEntry(undefined, pending), true),
    );
  }
  return steps;
}
