import type { Clock } from "../interface/index.ts";

/**
 * Waits for an answer for a limited time, since a connection can go silent for good and its call with it.
 *
 * @param clock The clock to wait on.
 * @param answer What is waited for; it goes on unheard when the time is over.
 * @param options The limit in milliseconds, and what was tried, for the error.
 * @throws {Error} When no answer came in time.
 */
export function withinTime<T>(
  clock: Clock,
  answer: Promise<T>,
  options: { readonly limit: number; readonly step: string },
): Promise<T> {
  const { limit, step } = options;
  return new Promise((resolve, reject) => {
    const timer = clock.after(limit, () =>
      reject(new Error(`Waited to ${step}: no answer came within ${limit} ms.`)),
    );
    answer.then(resolve, reject).finally(() => timer.close());
  });
}
