/**
 * Waits on a silent connection, which ends only when the one who waits gives up.
 *
 * @param signal Aborted by the one who waits; the promise then rejects with its reason.
 */
export function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const onAbort = (): void => reject(signal.reason as Error);
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  });
}
