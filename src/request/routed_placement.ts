import { offerRetryDelay } from "../decision/index.ts";
import type { RankedChoice } from "../decision/index.ts";
import { RoutedRefusal } from "./caller_response.ts";
import type { WorkerChoice } from "./placement_request.ts";
import { chooseWorkers } from "./routed_choice.ts";
import type { CandidateWorker, DecisionFields } from "./routed_context.ts";
import {
  BUSY_RETRY_AFTER,
  giveUp,
  NO_WORKER_RETRY_AFTER,
  STOPPING_RETRY_AFTER,
} from "./routed_end.ts";
import { readmitUnreached } from "./routed_progress.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { sendRequest } from "./routed_sending.ts";
import { findStopConflict } from "./routed_stop.ts";

/** Sends the request to the next worker, or refuses it if there is none. */
export function placeRequest(state: RoutedRunState): void {
  const { context, admitted, progress, suspects } = state;
  if (state.isDone) return;
  const timeLeft = admitted.arrival.deadlineAt - context.clock.now();
  if (timeLeft <= 0) {
    giveUp(state, { reason: RoutedRefusal.DeadlinePassed });
    return;
  }
  const quarantinedFor = suspects.remainingTime();
  if (quarantinedFor > 0) {
    giveUp(state, { reason: RoutedRefusal.CrashesWorkers, retryAfter: quarantinedFor });
    return;
  }
  const { arrival, service } = admitted;
  const { tried, avoided, version } = progress;
  const choice = chooseWorkers(context, { arrival, service, tried, avoided, version });
  if (choice.kind === "ranked") sendToFirst(state, choice.inOrder());
  else if (choice.kind === "overloaded") refuseOverload(state, { choice, timeLeft });
  else if (choice.kind === "over-share") refuseOverShare(state, choice);
  else if (readmitUnreached(progress)) placeRequest(state);
  else refuseWithoutWorker(state);
}

/** Sends the request to the first worker with a free connection. */
function sendToFirst(
  state: RoutedRunState,
  choices: Iterable<RankedChoice<CandidateWorker>>,
): void {
  for (const choice of choices) {
    const conflict = findStopConflict(state, choice);
    if (conflict !== undefined) {
      refuseBeforeStop(state, conflict);
      return;
    }
    if (sendRequest(state, choice)) return;
  }
  giveUp(state, { reason: RoutedRefusal.Overloaded, retryAfter: BUSY_RETRY_AFTER });
}

function refuseBeforeStop(state: RoutedRunState, inputs: DecisionFields): void {
  const reason = RoutedRefusal.Stopping;
  giveUp(state, { reason, retryAfter: STOPPING_RETRY_AFTER, inputs });
}

function refuseOverload(
  state: RoutedRunState,
  {
    choice: { offer, best, runTime, candidates },
    timeLeft,
  }: {
    readonly choice: Extract<WorkerChoice, { readonly kind: "overloaded" }>;
    readonly timeLeft: number;
  },
): void {
  giveUp(state, {
    reason: RoutedRefusal.Overloaded,
    retryAfter: Math.round(offerRetryDelay(offer)),
    inputs: {
      wait: Math.round(offer.expectedFirstToken),
      target: offer.firstTokenTarget,
      left: Math.round(timeLeft),
      rank: offer.priorityRank,
      isReturn: offer.isRetry,
      running: best.running,
      slots: best.slots,
      runTime: Math.round(runTime),
      candidates,
    },
  });
}

function refuseOverShare(
  state: RoutedRunState,
  { retryAfter, fields: inputs }: Extract<WorkerChoice, { readonly kind: "over-share" }>,
): void {
  giveUp(state, { reason: RoutedRefusal.OverShare, retryAfter, inputs });
}

function refuseWithoutWorker(state: RoutedRunState): void {
  const { workerLoads } = state.context;
  const { service } = state.admitted;
  const { version } = state.progress;
  if (version !== undefined && !workerLoads.hasVersion(service, version)) {
    giveUp(state, { reason: RoutedRefusal.VersionGone });
    return;
  }
  const capacityIn = workerLoads.timeUntilCapacity(service);
  const after =
    capacityIn === undefined ? NO_WORKER_RETRY_AFTER : Math.max(BUSY_RETRY_AFTER, capacityIn);
  giveUp(state, { reason: RoutedRefusal.NoWorker, retryAfter: Math.round(after) });
}
