import type { Clock } from "../interface/index.ts";

/**
 * Distinguishes an outage of the platform's store from a loss of this instance's connection to it.
 */
export interface StoreOutage {
  /** Records that the store has stopped answering this instance. */
  start(): void;
  /** Records that another instance reports an answer of the store. */
  reportAnswer(): void;
  /**
   * Records that the store answers this instance again. Returns whether the outage may have
   * affected all instances.
   */
  end(): boolean;
}

/**
 * Maximum difference in milliseconds between the times at which the store answers two instances
 * again: the backoff and timeout of their calls to an unavailable store, doubled. If the others
 * have been answered for less than this, the outage may have affected them too.
 */
const RECOVERY_SPREAD = 2_000;

/**
 * Creates the detector.
 *
 * After an outage of the store, entries may be missing for a while although their workers exist.
 * After a loss of only this instance's connection, a missing entry means that the worker has left,
 * and requests sent there would reach a worker that can stop at any moment. The reports of the
 * other instances distinguish the two cases: in the second one, the store keeps answering them.
 *
 * @param staleAfter Milliseconds for which other instances keep reporting that the store answers
 * them after it has stopped.
 */
export function createStoreOutage(parts: {
  readonly clock: Clock;
  readonly staleAfter: number;
}): StoreOutage {
  const { clock, staleAfter } = parts;
  let startedAt: number | undefined;
  /** When another instance first reported an answer during this outage. */
  let peersAnsweredSince: number | undefined;
  return {
    start: () => {
      startedAt = clock.now();
      peersAnsweredSince = undefined;
    },
    reportAnswer: () => {
      const now = clock.now();
      if (startedAt !== undefined && now - startedAt > staleAfter) peersAnsweredSince ??= now;
    },
    end: () => {
      startedAt = undefined;
      return peersAnsweredSince === undefined || clock.now() - peersAnsweredSince < RECOVERY_SPREAD;
    },
  };
}
