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
  let frozen = false;
  const waiting: (() => void)[] = [];
  const whenAwake = (run: () => void): void => {
    if (frozen) waiting.push(run);
    else run();
  };
  return {
    clock: {
      now: () => clock.now(),
      date: () => clock.date(),
      after: (milliseconds, run) => {
        let stopped = false;
        const timer = clock.after(milliseconds, () => {
          whenAwake(() => {
            if (!stopped) run();
          });
        });
        return {
          close: () => {
            stopped = true;
            timer.close();
          },
        };
      },
    },
    gate: () =>
      new Promise((resolve) => {
        whenAwake(resolve);
      }),
    freeze: () => {
      frozen = true;
    },
    wake: () => {
      frozen = false;
      for (const run of waiting.splice(0)) run();
    },
  };
}
