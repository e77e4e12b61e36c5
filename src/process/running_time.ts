import type { Clock, Timer } from "../interface/index.ts";

/** Measures the time in which this process was able to run. */
export interface RunningTime {
  /** Returns the milliseconds between two times of the clock, without stalls of the process. */
  between(from: number, to: number): number;
  /** Whether what is read now may have arrived long ago, because the process was stalled. */
  isLate(): boolean;
  /** Calls `run` once everything that arrived while the process was stalled has been read; at once if it wasn't. */
  whenRead(run: () => void): void;
  /** Starts to check for stalls. */
  start(): void;
  /** Ends the checks. The time after it counts as running time. */
  close(): void;
}

/** A time in which the process had no processor time, or one step of its work took long. */
interface Stall {
  readonly from: number;
  readonly to: number;
}

/** Milliseconds between two checks. */
const CHECK_INTERVAL = 100;
/** Milliseconds by which a check is late after a stall. Timers of a process that runs are a few milliseconds late. */
const MIN_STALL = 20;
/** Milliseconds for which a stall is remembered. */
const STALL_TTL = 10_000;

/**
 * Creates the measure. Until `start` is called, all time counts.
 *
 * A process that stalls reads nothing. Without this measure, it would take its own stall for the silence of others,
 * for instance for an outage of the store.
 */
export function createRunningTime(clock: Clock): RunningTime {
  let stalls: Stall[] = [];
  let nextCheck = Infinity;
  let timer: Timer | undefined;
  /** Whether a check was late in this turn of the event loop, in which sockets are read after it. */
  let wasLate = false;
  /** Returns the stall that lasts until now, if there is one. After a stall, sockets may be read before timers run. */
  const currentStall = (): Stall[] => {
    const now = clock.now();
    return now - nextCheck >= MIN_STALL ? [{ from: nextCheck, to: now }] : [];
  };
  const isLate = (): boolean => wasLate || currentStall().length > 0;
  const check = (): void => {
    const oldest = clock.now() - STALL_TTL;
    const current = currentStall();
    stalls = [...stalls, ...current].filter(({ to }) => to >= oldest);
    if (current.length > 0) {
      wasLate = true;
      setImmediate(() => (wasLate = false));
    }
    start();
  };
  const start = (): void => {
    nextCheck = clock.now() + CHECK_INTERVAL;
    timer = clock.after(CHECK_INTERVAL, check);
  };
  return {
    between: (from, to) => {
      let running = to - from;
      for (const stall of [...stalls, ...currentStall()]) {
        running -= Math.max(0, Math.min(stall.to, to) - Math.max(stall.from, from));
      }
      return running;
    },
    isLate,
    whenRead: (run) => {
      // All sockets are read once between the two, also those whose events of this turn have been handled.
      if (isLate()) setImmediate(() => setImmediate(run));
      else run();
    },
    start,
    close: () => {
      timer?.close();
      nextCheck = Infinity;
    },
  };
}
