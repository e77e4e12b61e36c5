import type { Clock } from "../interface/index.ts";

/**
 * Waits for an answer with a timeout, since a connection, and with it a call, can go silent
 * permanently.
 *
 * @param clock The clock for the timeout.
 * @param answer The pending answer. It is ignored after the timeout.
 * @param options The timeout in milliseconds, and the attempted action for the error message.
 * @throws {Error} If no answer arrives in time.
 */
export function withinTime<T>(
  clock: Clock,
  answer: Promise<T>,
  options: { readonly limit: number; readonly step: string },
): Promise<T> {
  const { limit, step } = options;
  return new Promise((resolve, reject) => {
    const timer = clock.after(limit, () =>
      reject(new Error(`Timed out after ${limit} ms: ${step}.`)),
    );
    answer.then(resolve, reject).finally(() => timer.close());
  });
}
