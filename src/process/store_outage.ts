import type { Clock } from "../interface/index.ts";

/** Tells an outage of the platform's store from one of this instance's way to it. */
export interface StoreOutage {
  /** The store has ceased to answer this instance. */
  began(): void;
  /** Another instance says that the store answers it. */
  heardAnswering(): void;
  /** The store answers this instance again; says whether it may have been away for everybody. */
  ended(): boolean;
}

/**
 * How much later than others an instance may be answered again, in milliseconds: the pauses and the wait of its calls
 * to a store that is away, and as much again. Others that are answered for no longer may just have been sooner.
 */
const RETURN_SPREAD = 2_000;

/**
 * Makes what decides whether the store itself was away.
 *
 * After an outage of the store, entries may be missing for a while though their workers are there. After one of this
 * instance's way alone they aren't: what is missing has left, and requests that are sent there on the contrary belief
 * reach workers that may end at any moment. The other instances tell the two apart, as the store goes on answering them.
 *
 * @param staleAfter Milliseconds for which others go on saying that the store answers them after it has ceased to.
 */
export function createStoreOutage(parts: {
  readonly clock: Clock;
  readonly staleAfter: number;
}): StoreOutage {
  const { clock, staleAfter } = parts;
  let since: number | undefined;
  /** When another instance was first known to be answered in this outage. */
  let othersSince: number | undefined;
  return {
    began: () => {
      since = clock.now();
      othersSince = undefined;
    },
    heardAnswering: () => {
      const now = clock.now();
      if (since !== undefined && now - since > staleAfter) othersSince ??= now;
    },
    ended: () => {
      since = undefined;
      return othersSince === undefined || clock.now() - othersSince < RETURN_SPREAD;
    },
  };
}
