/** Resolves when the process receives its first SIGINT or SIGTERM; further signals have no effect. */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) process.on(signal, () => resolve());
  });
}
