import type { Clock } from "../interface/index.ts";

/**
 * Creates a function that returns when the store's current era was first observed, in milliseconds of the clock;
 * negative infinity while the store counts no restores. It notices a restore when it is called, so it must be called
 * periodically. The time may be later than that of the restore, never earlier.
 *
 * @param parts `era` returns the store's era as of its latest response.
 */
export function createEraSince(parts: {
  readonly clock: Clock;
  readonly era: () => number;
}): () => number {
  let knownEra = 0;
  let since = -Infinity;
  return () => {
    const era = parts.era();
    if (era !== knownEra) {
      knownEra = era;
      since = parts.clock.now();
    }
    return since;
  };
}
