import { ALL_RULES } from "../src/request/slot_replica.ts";
import type { Rules } from "../src/request/slot_replica.ts";
import type { Bounds, Demand, Faults } from "./slot_state.ts";

/** An entry: runs at most once, under the caller's own key. */
export const ENTRY: Demand = { id: "entry", repeatable: false, keyed: true, detached: false };
/** A script: may be repeated, nobody waits for it. */
export const SCRIPT: Demand = { id: "script", repeatable: true, keyed: false, detached: true };

const NO_FAULTS: Faults = { crash: 0, suspicion: 0, notice: 0, lostAnswer: 0 };

/** What differs from one request, three instances and no faults. */
export interface Difference extends Partial<Omit<Bounds, "faults" | "rules" | "name">> {
  readonly faults: Partial<Faults>;
}

/**
 * Bounds that are enumerated, by name.
 *
 * The highest epoch leaves room for more changes of the slot map than the faults call for.
 */
export function boundsOf(name: string, difference: Difference, rules: Rules = ALL_RULES): Bounds {
  return {
    name,
    rules,
    instances: 3,
    demands: [ENTRY],
    epochs: 5,
    cedesToAll: false,
    ...difference,
    faults: { ...NO_FAULTS, ...difference.faults },
  };
}

/** What is enumerated within 20 s, and with every run of the tests. */
export const DEFAULT_BOUNDS: Readonly<Record<string, Difference>> = {
  "no fault, an entry and a script": {
    instances: 2,
    demands: [ENTRY, SCRIPT],
    epochs: 1,
    faults: {},
  },
  "one death and a lost answer": { faults: { crash: 1, lostAnswer: 1 } },
  "one of two instances wrongly taken for dead": { instances: 2, faults: { suspicion: 1 } },
  "one of two instances under notice": { instances: 2, faults: { notice: 1 } },
};

/** What is enumerated on demand. */
export const LARGE_BOUNDS: Readonly<Record<string, Difference>> = {
  "two deaths": { faults: { crash: 2 } },
  "wrongly taken for dead, of three": { epochs: 4, faults: { suspicion: 1 } },
  "under notice, of three": { epochs: 4, faults: { notice: 1 } },
  "wrongly taken for dead and a death, of two": {
    instances: 2,
    faults: { suspicion: 1, crash: 1 },
  },
  "under notice and a death, of two": { instances: 2, faults: { notice: 1, crash: 1 } },
  "an entry and a script, one death": {
    instances: 2,
    demands: [ENTRY, SCRIPT],
    faults: { crash: 1 },
  },
};
