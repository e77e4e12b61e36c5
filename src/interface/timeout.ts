import type { Clock, Timer } from "./clock.ts";

/** Default number of steps that a period of running time is divided into. */
const DEFAULT_STEPS = 4;
/**
 * Maximum number of steps that don't count because the process was stalled. Bounds the time until a
 * timeout expires in a process that is permanently late.
 */
const MAX_STALLED_STEPS = 4;

/**
 * Calls `run` once after this process has been running for the given time. Without stalls this is a
 * plain timer.
 *
 * After a time without processor time, expired timers run before sockets are read. A plain timer
 * would then report a peer as silent whose answer is waiting to be read, and all peers at once. Here
 * a step that ends late doesn't count, and between two steps what has arrived is read.
 *
 * @param clock The clock to wait on.
 * @param milliseconds The running time in milliseconds.
 * @param run Called once, unless the timer is closed before.
 * @param options `steps` is the number of steps that the time is divided into. With fewer steps, only longer stalls are
 * noticed, and fewer timers run.
 */
export function afterRunningTime(
  clock: Clock,
  milliseconds: number,
  run: () => void,
  { steps = DEFAULT_STEPS }: { readonly steps?: number } = {},
): Timer {
  const step = milliseconds / steps;
  let remainingSteps = steps;
  let stalledSteps = 0;
  let startedAt = clock.now();
  const onStep = (): void => {
    const elapsed = clock.now() - startedAt;
    const isStalled = elapsed >= 2 * step && stalledSteps < MAX_STALLED_STEPS;
    if (isStalled) stalledSteps++;
    else remainingSteps--;
    if (remainingSteps === 0) {
      run();
      return;
    }
    startedAt = clock.now();
    timer = clock.after(step, onStep);
  };
  let timer = clock.after(step, onStep);
  return { close: () => timer.close() };
}

/** Options of {@linkcode withTimeout}. */
export interface TimeoutOptions {
  /** Running time in milliseconds after which the wait ends; see {@linkcode afterRunningTime}. */
  readonly limit: number;
  /** The attempted action, for the error message. */
  readonly step: string;
}

/**
 * Waits for an answer with a timeout, since a connection, and with it a call, can go silent
 * permanently.
 *
 * @param clock The clock for the timeout.
 * @param answer The pending answer. It is ignored after the timeout.
 * @throws {Error} If no answer arrives in time.
 */
export function withTimeout<T>(
  clock: Clock,
  answer: Promise<T>,
  { limit, step }: TimeoutOptions,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = afterRunningTime(clock, limit, () =>
      reject(new Error(`Timed out after ${limit} ms: ${step}.`)),
    );
    answer.then(resolve, reject).finally(() => timer.close());
  });
}
