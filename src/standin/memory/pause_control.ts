import type { Clock } from "../../interface/index.ts";

/** Pauses the clock and the incoming calls of one instance, as when its process is suspended. */
export interface PauseControl {
  /** The clock that is passed to the instance. */
  readonly clock: Clock;
  /** Resolves when the instance is running. All calls to the instance wait for it. */
  whenRunning(): Promise<void>;
  /** Pauses the instance. */
  pause(): void;
  /** Resumes the instance and runs what was deferred, in order. */
  resume(): void;
}

/**
 * Creates the control of an instance that uses a clock. While the instance is paused, timers that
 * expire are deferred until it resumes.
 */
export function createPauseControl(clock: Clock): PauseControl {
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
    whenRunning: () =>
      new Promise((resolve) => {
        runOrDefer(resolve);
      }),
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      for (const run of deferred.splice(0)) run();
    },
  };
}
