import type { Specification } from "./checker.ts";
import { slotSteps } from "./slot_actions.ts";
import { allEnded, slotInvariants } from "./slot_invariants.ts";
import { encodeState, initialState } from "./slot_state.ts";
import type { Bounds, State } from "./slot_state.ts";

/** The specification of slot ownership within bounds. */
export function slotSpecification(within: Bounds): Specification<State> {
  return {
    name: within.name,
    initial: initialState(within),
    steps: (state) => slotSteps(state, within),
    encode: encodeState,
    invariants: slotInvariants(within),
    goal: (state) => allEnded(state, within),
  };
}
