import { afterRunningTime } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";

/** Watches a stream for events that don't come. */
export interface SilenceWatch {
  /** Starts the wait for the next event, with a limit of its own in milliseconds. */
  restart(limit: number): void;
  close(): void;
}

/**
 * Calls `onSilence` once no event has come within the limit.
 *
 * An event doesn't start a timer of its own: the open one checks the time since the last event when it
 * ends, and restarts itself. Only a shorter limit replaces it.
 *
 * @param limit Milliseconds until the first event; see {@linkcode afterRunningTime}.
 */
export function createSilenceWatch(
  clock: Clock,
  limit: number,
  onSilence: () => void,
): SilenceWatch {
  let currentLimit = limit;
  let lastEventAt = clock.now();
  const check = (): void => {
    const remaining = lastEventAt + currentLimit - clock.now();
    if (remaining > 0) timer = afterRunningTime(clock, remaining, check);
    else onSilence();
  };
  let timer = afterRunningTime(clock, limit, check);
  return {
    restart: (nextLimit) => {
      const isShorter = nextLimit < currentLimit;
      currentLimit = nextLimit;
      lastEventAt = clock.now();
      if (!isShorter) return;
      timer.close();
      timer = afterRunningTime(clock, currentLimit, check);
    },
    close: () => timer.close(),
  };
}
