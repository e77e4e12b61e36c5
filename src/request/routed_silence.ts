import { afterRunningTime } from "../interface/index.ts";
import { isHungAttempt, silenceLimitOf } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { handleSilence } from "./routed_failures.ts";
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
    if (!moveIfHung(state, attempt)) watchSilence(state, attempt);
  };
  // One step, because every request in progress has this timer.
  state.silenceTimer = afterRunningTime(state.context.clock, SILENCE_CHECK_INTERVAL, check, {
    steps: 1,
  });
}

function moveIfHung(state: RoutedRunState, attempt: Attempt): boolean {
  const { context, admitted } = state;
  const { route } = admitted.arrival;
  const check = {
    now: context.clock.now(),
    workerLastReceivedAt: context.connections.activity(attempt.worker.id)?.lastReceivedAt,
    isStream: deliversEvents(route),
    target: route.latencyTarget,
  };
  if (!isHungAttempt(attempt, check)) return false;
  return handleSilence(state, { attempt, limit: silenceLimitOf(attempt, check) });
}
