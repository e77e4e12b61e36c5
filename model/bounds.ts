import { ALL_RULES } from "../src/request/slot_replica.ts";
import type { Rules } from "../src/request/slot_replica.ts";
import type { Bounds, CallerRequest, FaultBudget } from "./slot_state.ts";

/** A request that runs at most once and carries the caller's own key. */
export const ENTRY_REQUEST: CallerRequest = {
  id: "entry",
  repeatable: false,
  keyed: true,
  detached: false,
};
/** A request that may be repeated and whose caller doesn't wait for the answer. */
export const SCRIPT_REQUEST: CallerRequest = {
  id: "script",
  repeatable: true,
  keyed: false,
  detached: true,
};

const NO_FAULTS: FaultBudget = { crash: 0, suspicion: 0, notice: 0, lostAnswer: 0 };

/** Differences from the base bounds of one request, three instances and no faults. */
export interface BoundsOverrides extends Partial<Omit<Bounds, "faults" | "rules" | "name">> {
  readonly faults: Partial<FaultBudget>;
}

/**
 * Creates the bounds of an exploration.
 *
 * The default maximum epoch allows more slot map changes than the faults require.
 *
 * @param name Name under which the exploration is reported.
 * @param overrides Differences from the base bounds.
 * @param rules Rules in effect, all by default.
 */
export function createBounds(
  name: string,
  overrides: BoundsOverrides,
  rules: Rules = ALL_RULES,
): Bounds {
  return {
    name,
    rules,
    instances: 3,
    demands: [ENTRY_REQUEST],
    epochs: 5,
    cedesToAll: false,
    ...overrides,
    faults: { ...NO_FAULTS, ...overrides.faults },
  };
}

/** Bounds explored on every test run. Together they take less than 20 s. */
export const DEFAULT_BOUNDS: Readonly<Record<string, BoundsOverrides>> = {
  "no faults, entry and script requests": {
    instances: 2,
    demands: [ENTRY_REQUEST, SCRIPT_REQUEST],
    epochs: 1,
    faults: {},
  },
  "one crash and one lost answer": { faults: { crash: 1, lostAnswer: 1 } },
  "one of two instances wrongly suspected": { instances: 2, faults: { suspicion: 1 } },
  "one of two instances with a reclaim notice": { instances: 2, faults: { notice: 1 } },
};

/** Larger bounds, explored only on request. */
export const LARGE_BOUNDS: Readonly<Record<string, BoundsOverrides>> = {
  "two crashes": { faults: { crash: 2 } },
  "one of three instances wrongly suspected": { epochs: 4, faults: { suspicion: 1 } },
  "one of three instances with a reclaim notice": { epochs: 4, faults: { notice: 1 } },
  "one of two instances wrongly suspected, and one crash": {
    instances: 2,
    faults: { suspicion: 1, crash: 1 },
  },
  "one of two instances with a reclaim notice, and one crash": {
    instances: 2,
    faults: { notice: 1, crash: 1 },
  },
  "one crash, entry and script requests": {
    instances: 2,
    demands: [ENTRY_REQUEST, SCRIPT_REQUEST],
    faults: { crash: 1 },
  },
};
