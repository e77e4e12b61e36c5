import { setImmediate } from "node:timers/promises";
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

interface Pending {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** The calendar's time at which virtual clocks begin, in milliseconds. */
const EPOCH = Date.UTC(2026, 0, 1);

/** Makes a clock that begins at 0. */
export function createVirtualClock(): VirtualClock {
  const pending = new Set<Pending>();
  let now = 0;
  let order = 0;
  const settle = async (): Promise<void> => {
    // One turn of the event loop runs every promise that can run without a timer.
    await setImmediate();
  };
  return {
    now: () => now,
    date: () => new Date(EPOCH + now),
    after: (milliseconds, run) => {
      const timer: Pending = { at: now + Math.max(0, milliseconds), order: order++, run };
      pending.add(timer);
      return { close: () => pending.delete(timer) };
    },
    pending: () => pending.size,
    settle,
    advance: async (milliseconds) => {
      const until = now + milliseconds;
      await settle();
      for (let next = earliest(pending); next !== undefined; next = earliest(pending)) {
        if (next.at > until) break;
        now = Math.max(now, next.at);
        pending.delete(next);
        next.run();
        await settle();
      }
      now = until;
    },
  };
}

function earliest(pending: ReadonlySet<Pending>): Pending | undefined {
  let first: Pending | undefined;
  for (const timer of pending) {
    const sooner = first === undefined || timer.at < first.at;
    if (sooner || (timer.at === first?.at && timer.order < first.order)) first = timer;
  }
  return first;
}
