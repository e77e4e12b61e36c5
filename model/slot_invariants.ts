import { isFinalRequestState, RequestState } from "../src/interface/index.ts";
import { ownsSlot } from "../src/request/slot_replica.ts";
import type { Invariant } from "./checker.ts";
import type { Bounds, CallerRequest, SlotState } from "./slot_state.ts";

/** State reported to callers when a request is accepted. */
export const REPORTED_ACCEPTED = "accepted";

/** States in which a request has ended. */
const END_STATES: ReadonlySet<string> = new Set(
  Object.values(RequestState).filter(isFinalRequestState),
);

/** Creates the invariants of slot ownership for the requests in the bounds. */
export function slotInvariants({ demands, faults }: Bounds): Invariant<SlotState>[] {
  const forEachRequest =
    (check: (state: SlotState, request: CallerRequest) => boolean) =>
    (state: SlotState): boolean =>
      demands.every((request) => check(state, request));
  return [
    {
      name: "a request that may not be repeated runs at most once",
      holds: forEachRequest(runsAtMostOnce),
    },
    { name: "a request reported as not run never runs", holds: forEachRequest(isNotRunReportTrue) },
    {
      name: "a request is reported with at most one end state",
      holds: forEachRequest(hasAtMostOneEnd),
    },
    { name: "each epoch has at most one owner", holds: hasOneOwnerPerEpoch },
    {
      name: "an accepted request survives announced reclaims or one crash",
      holds: forEachRequest((state, request) => doesAcceptedSurvive(state, request, faults)),
    },
  ];
}

/**
 * Goal of the progress check: each accepted request has ended, or was lost with both its owners.
 */
export function haveAllEnded(state: SlotState, { demands, faults }: Bounds): boolean {
  return demands.every(({ id }) => {
    const reported = state.reported[id] ?? [];
    if (!reported.includes(REPORTED_ACCEPTED)) return true;
    return reported.some(isEnd) || (isLossPermitted(state, faults) && !isHeld(state, id));
  });
}

function runsAtMostOnce(state: SlotState, { id, repeatable }: CallerRequest): boolean {
  return repeatable || (state.runs[id] ?? 0) <= 1;
}

function isNotRunReportTrue(state: SlotState, { id }: CallerRequest): boolean {
  const reported = state.reported[id] ?? [];
  return !reported.includes(RequestState.NotRun) || (state.runs[id] ?? 0) === 0;
}

function hasAtMostOneEnd(state: SlotState, { id }: CallerRequest): boolean {
  return (state.reported[id] ?? []).filter(isEnd).length <= 1;
}

/**
 * A former owner may exist at an earlier epoch, or after a handover. Two owners must not act at the
 * same epoch.
 */
function hasOneOwnerPerEpoch(state: SlotState): boolean {
  const epochs = state.instances
    .filter(({ isUp, replica }) => isUp && ownsSlot(replica))
    .map(({ replica }) => replica.assignment.epoch);
  return new Set(epochs).size === epochs.length;
}

function doesAcceptedSurvive(
  state: SlotState,
  { id }: CallerRequest,
  faults: Bounds["faults"],
): boolean {
  if (!(state.reported[id] ?? []).includes(REPORTED_ACCEPTED)) return true;
  return isHeld(state, id) || isLossPermitted(state, faults);
}

function isHeld(state: SlotState, id: string): boolean {
  return state.instances.some(({ isUp, replica }) => isUp && replica.records.has(id));
}

/**
 * Whether the faults so far permit the loss of an accepted request. Two crashes can remove both
 * holders of its record. So can one crash while the other holder is leaving, because an instance
 * that received a slot by handover is its only holder until the slot map names a backup.
 */
function isLossPermitted(state: SlotState, faults: Bounds["faults"]): boolean {
  const crashes = faults.crash - state.faultsLeft.crash;
  const notices = faults.notice - state.faultsLeft.notice;
  return crashes > 1 || (crashes > 0 && notices > 0);
}

function isEnd(state: string): boolean {
  return END_STATES.has(state);
}
