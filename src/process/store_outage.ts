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
  let othersWereAnswered = false;
  return {
    began: () => {
      since = clock.now();
      othersWereAnswered = false;
    },
    heardAnswering: () => {
      othersWereAnswered ||= since !== undefined && clock.now() - since > staleAfter;
    },
    ended: () => {
      since = undefined;
      return !othersWereAnswered;
    },
  };
}
