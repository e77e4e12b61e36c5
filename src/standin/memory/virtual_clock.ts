import { setImmediate } from "node:timers/promises";
import { createHeap } from "../../decision/heap.ts";
import type { Clock } from "../../interface/index.ts";

/** A clock that stands still until it is moved: tests and replays own time. */
export interface VirtualClock extends Clock {
  /**
   * Moves time on, firing each timer at its time and letting all that follows from it happen first.
   *
   * @param milliseconds How far.
   */
  advance(milliseconds: number): Promise<void>;
  /** Timers that wait for their time. */
  pending(): number;
  /** Lets everything happen that needs no time. */
  settle(): Promise<void>;
}

interface PendingTimer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  isClosed: boolean;
}

/** The calendar's time at which virtual clocks begin, in milliseconds. */
const START_DATE = Date.UTC(2026, 0, 1);

/** Makes a clock that begins at 0. */
export function createVirtualClock(): VirtualClock {
  /** Timers that were closed stay in until their time comes. */
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
  /** The next timer that is open, left in. */
  const nextTimer = (): PendingTimer | undefined => {
    while (timers.peek()?.isClosed === true) timers.pop();
    return timers.peek();
  };
  const settle = async (): Promise<void> => {
    // One turn of the event loop runs every promise that can run without a timer.
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
    pending: () => openCount,
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
