import type { Clock } from "../../interface/index.ts";

/** One instance's own view of time, which can be frozen as a paused process is. */
export interface Freezer {
  /** The clock that the instance is given. */
  readonly clock: Clock;
  /** Resolves at once, or when the instance wakes: everything that reaches an instance passes here. */
  gate(): Promise<void>;
  freeze(): void;
  wake(): void;
}

/** Makes a freezer over a clock: while frozen, timers that come due wait for the waking. */
export function createFreezer(clock: Clock): Freezer {
  let isPaused = false;
  const deferred: (() => void)[] = [];
  const runOrDefer = (run: () => void): void => {
    if (isPaused) deferred.push(run);
    else run();
  };
  return {
    clock: {
      now: () => clock.now(),
      date: () => clock.date(),
      after: (milliseconds, run) => {
        let isClosed = false;
        const timer = clock.after(milliseconds, () => {
          runOrDefer(() => {
            if (!isClosed) run();
          });
        });
        return {
          close: () => {
            isClosed = true;
            timer.close();
          },
        };
      },
    },
    gate: () =>
      new Promise((resolve) => {
        runOrDefer(resolve);
      }),
    freeze: () => {
      isPaused = true;
    },
    wake: () => {
      isPaused = false;
      for (const run of deferred.splice(0)) run();
    },
  };
}
