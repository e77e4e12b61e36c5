/** A timer that can be stopped before it fires. */
export interface Timer {
  /** Stops the timer; a timer that has fired or was stopped ignores it. */
  close(): void;
}

/**
 * The source of time, passed in so that tests and replays control it.
 *
 * @example
 * ```ts
 * const started = clock.now();
 * await sleep(clock, 250);
 * const waited = clock.now() - started; // milliseconds, at least 250
 * ```
 */
export interface Clock {
  /** Monotonic time in milliseconds; only differences mean anything. */
  now(): number;
  /** The calendar's time, for what people read and for prices by the hour. */
  date(): Date;
  /** Calls `run` once after `milliseconds`. */
  after(milliseconds: number, run: () => void): Timer;
}

/** Options of {@linkcode sleep}. */
export interface SleepOptions {
  /** Ends the sleep early; the promise then rejects with the signal's reason. */
  signal?: AbortSignal;
}

/**
 * Waits on the given clock.
 *
 * @param clock The clock to wait on.
 * @param milliseconds How long to wait.
 * @returns A promise that resolves when the time has passed.
 */
export function sleep(
  clock: Clock,
  milliseconds: number,
  options: SleepOptions = {},
): Promise<void> {
  const { signal } = options;
  return new Promise((resolve, reject) => {
    if (signal?.aborted === true) {
      reject(signal.reason as Error);
      return;
    }
    const onAbort = (): void => {
      timer.close();
      reject(signal?.reason as Error);
    };
    const timer = clock.after(milliseconds, () => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    });
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}
