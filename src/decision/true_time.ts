/**
 * The time of day that all entry instances agree on, while single clocks jump.
 *
 * What goes wrong without it: usage is counted by windows of the time of day. An instance whose time of day
 * has jumped by seconds counts its runs into other windows, and where it also reports, it reports windows that
 * aren't over. One would notice windows whose counts are off by that instance's share.
 *
 * Each instance goes by its steady clock and an offset that it takes from the time of day once, at its start,
 * and then from the others: the median of what they and it hold for the time. A jump of the time of day changes
 * nothing; an instance that was suspended, or that started while its time of day was off, is put right by the
 * others, as long as fewer than half of them are wrong.
 *
 * @module
 */

/** A time of day that doesn't jump. */
export interface TrueTime {
  /** Milliseconds since 1970. */
  now(steady: number): number;
  /** What another instance held for the time when its message came. */
  heard(instance: string, said: { time: number; steady: number }): void;
}

/** How long what an instance said counts, in milliseconds. */
const STATEMENT_LIFE = 2_000;
/** Differences up to this are the messages' delay. */
const TOLERANCE = 25;

/**
 * Makes the time.
 *
 * @param start The time of day and the steady clock at the same moment.
 */
export function createTrueTime(start: { date: number; steady: number }): TrueTime {
  let offset = start.date - start.steady;
  const said = new Map<string, { difference: number; at: number }>();
  return {
    now: (steady) => steady + offset,
    heard: (instance, { time, steady }) => {
      said.set(instance, { difference: time - steady, at: steady });
      const offsets = [offset];
      for (const [name, { difference, at }] of said) {
        if (steady - at > STATEMENT_LIFE) said.delete(name);
        else offsets.push(difference);
      }
      const agreed = median(offsets);
      if (Math.abs(agreed - offset) > TOLERANCE) offset = agreed;
    },
  };
}

/** The lower median: of two that differ the instance's own is as good as the other. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
