import type { Specification } from "./checker.ts";
import { slotSteps } from "./slot_actions.ts";
import { haveAllEnded, slotInvariants } from "./slot_invariants.ts";
import { encodeState, initialState } from "./slot_state.ts";
import type { Bounds, SlotState } from "./slot_state.ts";

/** Creates the specification of slot ownership within bounds. */
export function slotSpecification(bounds: Bounds): Specification<SlotState> {
  return {
    name: bounds.name,
    initial: initialState(bounds),
    steps: (state) => slotSteps(state, bounds),
    encode: encodeState,
    invariants: slotInvariants(bounds),
    isGoal: (state) => haveAllEnded(state, bounds),
  };
}
