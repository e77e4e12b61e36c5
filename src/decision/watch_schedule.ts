/**
 * Spreads the renewals of the fleet's watches evenly over time.
 *
 * Load: instances that wait on open connections for changes of the store. A connection can go
 * silent permanently, which only the timeout of the watch reveals, and all connections can go
 * silent at once. Symptom: a change comes into force seconds late, at every instance.
 *
 * Mechanism: the first instance to call the store again receives the change and forwards it to the
 * others, so what counts is the longest time without any call. Random timeouts leave long gaps,
 * especially after a change, when all instances have just called the store. With assigned times,
 * the same number of calls leaves none longer than the interval.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";

/** A watch among all watches that the fleet renews in turn. */
export interface ScheduledWatch {
  /** Ids of the instances that watch the store. */
  readonly watchers: readonly string[];
  /** Id of this instance. It may be missing from `watchers` while views of the fleet differ. */
  readonly self: string;
  /** Position of the watch among those of this instance, from 0 to less than 1. */
  readonly position: number;
  /** Milliseconds between the renewals of two instances. */
  readonly interval: number;
}

/**
 * Milliseconds between the renewals of two instances' watches: in a fleet whose instances all watch
 * the store, and in one where a few watch it for all others. There, changes take longer to arrive.
 */
export const RENEWAL_INTERVAL = { mesh: 1_000, relayed: 500 };

/** A watch that would be renewed within this number of milliseconds skips the renewal. */
const MIN_WATCH_TIME = 150;

/**
 * Returns the milliseconds for which a watch is open until its next renewal.
 *
 * @param time The time that all instances agree on, in milliseconds.
 */
export function timeUntilRenewal(
  { watchers, self, position, interval }: ScheduledWatch,
  { time, random }: { readonly time: number; readonly random: Random },
): number {
  const period = interval * Math.max(1, watchers.length);
  const index = [...watchers].sort().indexOf(self);
  const turn = index < 0 ? random.next() * watchers.length : index;
  // Watches that are renewed one after the other belong to different instances, so that the loss of
  // some instances leaves no long gap.
  const shift = Math.floor(position * watchers.length) + position;
  const renewalTime = (turn + shift) * interval;
  const wait = (((renewalTime - time) % period) + period) % period;
  return wait < MIN_WATCH_TIME ? wait + period : wait;
}
