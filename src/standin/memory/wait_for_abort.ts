/**
 * Waits on a connection that hangs, until the caller gives up.
 *
 * @param signal Aborted by the caller. The promise then rejects with the signal's reason.
 */
export function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const onAbort = (): void => reject(signal.reason as Error);
    if (signal.aborted) onAbort();
    else signal.addEventListener("abort", onAbort, { once: true });
  });
}
