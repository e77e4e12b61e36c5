import { afterRunningTime } from "../interface/index.ts";
import { isHungAttempt } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { handleSilence } from "./routed_failures.ts";
import { canMove } from "./routed_repeats.ts";
import { deliversEvents } from "./routed_request.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

/** Milliseconds between two checks of whether the worker is silent. */
const SILENCE_CHECK_INTERVAL = 150;

/**
 * Watches an attempt instead of the one before it, and moves the request to another worker if its
 * own hangs. The connection stays open, so nothing else would detect this. Silence has no consequence
 * while the request can't be sent again or there is no other worker.
 */
export function watchSilence(state: RoutedRunState, attempt: Attempt): void {
  state.silenceTimer?.close();
  const check = (): void => {
    if (state.isDone || state.current !== attempt) return;
    if (isHung(state, attempt) && canMove(state)) handleSilence(state, attempt);
    else watchSilence(state, attempt);
  };
  // One step, because every request in progress has this timer.
  state.silenceTimer = afterRunningTime(state.context.clock, SILENCE_CHECK_INTERVAL, check, {
    steps: 1,
  });
}

function isHung({ context, admitted }: RoutedRunState, attempt: Attempt): boolean {
  const { route } = admitted.arrival;
  const workerLastReceivedAt = context.connections.lastReceivedAt(attempt.worker.id);
  return isHungAttempt(attempt, {
    now: context.clock.now(),
    workerLastReceivedAt,
    isStream: deliversEvents(route),
    target: route.latencyTarget,
  });
}
