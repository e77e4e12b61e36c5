import type { Clock, Timer } from "../interface/index.ts";

/** Logs times in which the process had no processor time, or one step of its work took long. */
export interface StallMonitor {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createStallMonitor}. */
export interface StallMonitorParts {
  readonly clock: Clock;
  /** Called after a stall, with its duration in milliseconds. */
  readonly onStall: (duration: number) => void;
}

/** Milliseconds between two checks. */
const CHECK_INTERVAL = 250;
/** Milliseconds by which a check is late at the end of a stall. Shorter ones delay answers without ending any. */
const MIN_STALL = 250;

/**
 * Creates the monitor. It does nothing until `start` is called.
 *
 * During a stall all connections of the instance look silent, to itself and to others, and nothing else in
 * its log shows that they aren't.
 */
export function createStallMonitor({ clock, onStall }: StallMonitorParts): StallMonitor {
  let timer: Timer | undefined;
  const check = (dueAt: number): void => {
    const now = clock.now();
    if (now - dueAt >= MIN_STALL) onStall(now - dueAt);
    start();
  };
  const start = (): void => {
    const dueAt = clock.now() + CHECK_INTERVAL;
    timer = clock.after(CHECK_INTERVAL, () => check(dueAt));
  };
  return { start, close: () => timer?.close() };
}
