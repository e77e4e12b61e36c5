/** Resolves when the process is asked to stop by SIGINT or SIGTERM. */
export function untilStopped(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) process.once(signal, () => resolve());
  });
}
