/** Resolves when the process is first asked to stop by SIGINT or SIGTERM; later ones change nothing. */
export function untilStopped(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) process.on(signal, () => resolve());
  });
}
