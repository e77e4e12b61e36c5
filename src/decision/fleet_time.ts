/**
 * Provides a time of day that all entry instances agree on, even if single clocks jump.
 *
 * Load: usage is counted by windows of the time of day. An instance whose time of day has jumped by
 * seconds counts its runs in the wrong windows, and if it also reports usage, it reports windows
 * that have not ended. Symptom: windows whose counts are off by that instance's share.
 *
 * Mechanism: each instance uses its monotonic clock plus an offset. The offset comes from the time
 * of day once, at the start, and then from the other instances: the median of their times and its
 * own. A jump of the time of day changes nothing. An instance that was suspended, or that started
 * with a wrong time of day, is corrected by the others, as long as fewer than half of them are
 * wrong.
 *
 * @module
 */

/**
 * A time of day that does not jump. All times are in milliseconds; `steady` is the time of the
 * monotonic clock.
 */
export interface FleetTime {
  /** Returns the milliseconds since 1970. */
  now(steady: number): number;
  /** Adds the time that another instance had when it sent a message, received at `steady`. */
  addSample(instance: string, sample: { time: number; steady: number }): void;
}

/** Milliseconds for which another instance's time is used. */
const SAMPLE_TTL = 2_000;
/** Differences up to this number of milliseconds are attributed to the messages' delay. */
const TOLERANCE = 25;

/**
 * Creates the time.
 *
 * @param start The time of day and the monotonic clock at the same moment, in milliseconds.
 */
export function createFleetTime(start: { date: number; steady: number }): FleetTime {
  let offset = start.date - start.steady;
  const samples = new Map<string, { difference: number; at: number }>();
  return {
    now: (steady) => steady + offset,
    addSample: (instance, { time, steady }) => {
      samples.set(instance, { difference: time - steady, at: steady });
      const offsets = [offset];
      for (const [name, { difference, at }] of samples) {
        if (steady - at > SAMPLE_TTL) samples.delete(name);
        else offsets.push(difference);
      }
      const agreed = median(offsets);
      if (Math.abs(agreed - offset) > TOLERANCE) offset = agreed;
    },
  };
}

/**
 * Returns the lower median. With only two values there is no majority, so neither is more reliable
 * than the other.
 */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
