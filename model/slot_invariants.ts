import { hasEnded, RequestState } from "../src/interface/index.ts";
import { ownsSlot } from "../src/request/slot_replica.ts";
import type { Invariant } from "./checker.ts";
import type { Bounds, Demand, State } from "./slot_state.ts";

/** What callers are told when a request is accepted. */
export const TOLD_ACCEPTED = "accepted";

const ENDS: ReadonlySet<string> = new Set(Object.values(RequestState).filter(hasEnded));

/** All invariants of slot ownership, for the requests that the bounds name. */
export function slotInvariants({ demands, faults }: Bounds): Invariant<State>[] {
  const every =
    (check: (state: State, demand: Demand) => boolean) =>
    (state: State): boolean =>
      demands.every((demand) => check(state, demand));
  return [
    { name: "what is not to be repeated runs at most once", holds: every(runsAtMostOnce) },
    { name: "told not run, never run", holds: every(notRunIsTrue) },
    { name: "told ends never contradict each other", holds: every(oneEnd) },
    { name: "one owner at each epoch", holds: oneOwnerAnEpoch },
    {
      name: "accepted survives announced reclaims, and one death without notice",
      holds: every((state, demand) => acceptedSurvives(state, demand, faults)),
    },
  ];
}

/** Goal of progress: each request that was accepted has an end, or was lost with both its owners. */
export function allEnded(state: State, { demands, faults }: Bounds): boolean {
  return demands.every(({ id }) => {
    const told = state.told[id] ?? [];
    if (!told.includes(TOLD_ACCEPTED)) return true;
    return told.some(isEnd) || (isExcused(state, faults) && !isHeld(state, id));
  });
}

function runsAtMostOnce(state: State, { id, repeatable }: Demand): boolean {
  return repeatable || (state.runs[id] ?? 0) <= 1;
}

function notRunIsTrue(state: State, { id }: Demand): boolean {
  const told = state.told[id] ?? [];
  return !told.includes(RequestState.NotRun) || (state.runs[id] ?? 0) === 0;
}

function oneEnd(state: State, { id }: Demand): boolean {
  return (state.told[id] ?? []).filter(isEnd).length <= 1;
}

/** A ceded owner, or one whose epoch has passed, may be there; two that act at one epoch may not. */
function oneOwnerAnEpoch(state: State): boolean {
  const epochs = state.nodes
    .filter(({ up, replica }) => up && ownsSlot(replica))
    .map(({ replica }) => replica.assignment.epoch);
  return new Set(epochs).size === epochs.length;
}

function acceptedSurvives(state: State, { id }: Demand, faults: Bounds["faults"]): boolean {
  if (!(state.told[id] ?? []).includes(TOLD_ACCEPTED)) return true;
  return isHeld(state, id) || isExcused(state, faults);
}

function isHeld(state: State, id: string): boolean {
  return state.nodes.some(({ up, replica }) => up && replica.records.has(id));
}

/**
 * Two deaths without notice may take both holders, and so may one while the other holder is leaving: an
 * instance that was handed a slot is its only holder until the slot map gives it a backup.
 */
function isExcused(state: State, faults: Bounds["faults"]): boolean {
  const crashes = faults.crash - state.faults.crash;
  const notices = faults.notice - state.faults.notice;
  return crashes > 1 || (crashes > 0 && notices > 0);
}

function isEnd(told: string): boolean {
  return ENDS.has(told);
}
