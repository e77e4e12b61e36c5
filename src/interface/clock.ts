/** A timer that can be stopped before it fires. */
export interface Timer {
  /** Cancels the timer. Has no effect if the timer has fired or was cancelled already. */
  close(): void;
}

/**
 * A source of time. It is injected so that tests and replays can control it.
 *
 * @example
 * ```ts
 * const started = clock.now();
 * await sleep(clock, 250);
 * const waited = clock.now() - started; // milliseconds, at least 250
 * ```
 */
export interface Clock {
  /** Returns monotonic time in milliseconds. The origin is arbitrary, so only differences are meaningful. */
  now(): number;
  /** Returns wall-clock time, for display and for hourly prices. */
  date(): Date;
  /** Calls `run` once after the given number of milliseconds. */
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
 * @param milliseconds The time to wait, in milliseconds.
 * @param options A signal that ends the wait early.
 * @returns A promise that resolves when the time has passed, or rejects with the signal's reason.
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
