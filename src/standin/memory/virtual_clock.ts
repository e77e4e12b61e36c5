import { setImmediate } from "node:timers/promises";
import { createHeap } from "../../decision/heap.ts";
import type { Clock } from "../../interface/index.ts";

/** A clock that tests and replays advance explicitly. */
export interface VirtualClock extends Clock {
  /**
   * Advances the time. Each timer runs at its time, and all asynchronous work that it starts runs
   * before the next timer.
   *
   * @param milliseconds Time by which the clock advances.
   */
  advance(milliseconds: number): Promise<void>;
  /** Returns the number of open timers. */
  pendingTimers(): number;
  /** Runs all pending asynchronous work that doesn't wait for a timer. */
  settle(): Promise<void>;
}

interface PendingTimer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  isClosed: boolean;
}

/** Calendar time at 0 of a virtual clock, in milliseconds. */
const START_DATE = Date.UTC(2026, 0, 1);

/** Creates a clock that starts at 0. */
export function createVirtualClock(): VirtualClock {
  /** Closed timers stay in the heap until they reach its top. */
  const timers = createHeap<PendingTimer>(
    (a, b) => a.at < b.at || (a.at === b.at && a.order < b.order),
  );
  let openCount = 0;
  let now = 0;
  let nextOrder = 0;
  const closeTimer = (timer: PendingTimer): void => {
    if (timer.isClosed) return;
    timer.isClosed = true;
    openCount--;
  };
  /** Returns the earliest open timer without removing it. */
  const nextTimer = (): PendingTimer | undefined => {
    while (timers.peek()?.isClosed === true) timers.pop();
    return timers.peek();
  };
  const settle = async (): Promise<void> => {
    // One turn of the event loop runs all promise callbacks that don't wait for a timer.
    await setImmediate();
  };
  return {
    now: () => now,
    date: () => new Date(START_DATE + now),
    after: (milliseconds, run) => {
      const at = now + Math.max(0, milliseconds);
      const timer: PendingTimer = { at, order: nextOrder++, run, isClosed: false };
      timers.push(timer);
      openCount++;
      return { close: () => closeTimer(timer) };
    },
    pendingTimers: () => openCount,
    settle,
    advance: async (milliseconds) => {
      const until = now + milliseconds;
      await settle();
      for (let next = nextTimer(); next !== undefined; next = nextTimer()) {
        if (next.at > until) break;
        now = Math.max(now, next.at);
        timers.pop();
        closeTimer(next);
        next.run();
        await settle();
      }
      now = until;
    },
  };
}
