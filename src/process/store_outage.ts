import type { Clock } from "../interface/index.ts";
import type { RunningTime } from "./running_time.ts";

/** Detects outages of the platform's store from its answers to any instance of the fleet. */
export interface StoreOutage {
  /**
   * When the store last answered any instance, in milliseconds of the local clock; undefined if no
   * answer is known.
   */
  readonly answeredAt: number | undefined;
  /** Records that the store has answered this instance. */
  recordAnswer(): void;
  /** Records an answer to another instance, which arrived at a time of the local clock. */
  recordPeerAnswer(at: number): void;
}

/** Dependencies of {@linkcode createStoreOutage}. */
export interface StoreOutageParts {
  readonly clock: Clock;
  readonly runningTime: Pick<RunningTime, "between">;
  /** Called when the store answers again, with the time of the local clock at which it did. */
  readonly onEnd: (at: number) => void;
}

/**
 * Milliseconds of running time without an answer to any instance that show an outage. The instances
 * call the store in turn, at least once a second, and one that gets no answer because its connection
 * is silent calls it again 0.7 s later. An entry expires only after several seconds without a
 * renewal.
 */
const MIN_OUTAGE = 2_000;

/**
 * Creates the detector.
 *
 * After an outage of the store, entries may be missing for a while although their workers exist.
 * After a loss of connections to it, a missing entry means that the worker has left, and requests
 * sent there would reach a worker that can stop at any moment. A failed call doesn't distinguish
 * the two: in the second case, the store has answered another instance, or answers the next call.
 *
 * A time in which this process was stalled says nothing about the store, so it doesn't count. An
 * outage during which this process ran for less than two seconds therefore goes unnoticed.
 */
export function createStoreOutage({ clock, runningTime, onEnd }: StoreOutageParts): StoreOutage {
  let answeredAt: number | undefined;
  const record = (at: number): void => {
    const previous = answeredAt;
    if (previous !== undefined && at <= previous) return;
    answeredAt = at;
    if (previous === undefined) return;
    if (runningTime.between(previous, at) >= MIN_OUTAGE) onEnd(at);
  };
  return {
    get answeredAt() {
      return answeredAt;
    },
    recordAnswer: () => record(clock.now()),
    // The clocks of the instances differ slightly; no answer has arrived in the future.
    recordPeerAnswer: (at) => record(Math.min(at, clock.now())),
  };
}
