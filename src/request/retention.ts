import type { Clock, RequestRecord, Timer } from "../interface/index.ts";
import type { SlotTable } from "./slot_table.ts";

/** Keeps ended records for as long as they may be asked for, then drops them. */
export interface Retention {
  /** Takes in that a record has ended, here or at the slot's primary. */
  note(record: RequestRecord): void;
  /** Ended records that are kept. */
  size(): number;
  close(): void;
}

/** Milliseconds for which an answer without a key can be asked for by its id. */
const PLAIN_TIME = 60_000;
/** Milliseconds for which answers by key, and detached ones, are kept. */
const KEYED_TIME = 24 * 3_600_000;
/** Milliseconds past its deadline for which the end of what may not be repeated is remembered at least. */
const LATE_TIME = 60_000;
const SWEEP_TIME = 5_000;

interface Kept {
  readonly id: string;
  readonly slot: number;
  readonly until: number;
}

/**
 * Makes the retention of a table's records.
 *
 * Without it the memory of answered requests grows for as long as the instance lives: 50 requests a second
 * are over four million a day. Each kind has a queue of its own in order of expiry, so a sweep touches only
 * what it drops.
 */
export function createRetention(clock: Clock, table: SlotTable): Retention {
  const plain: Kept[] = [];
  const keyed: Kept[] = [];
  const known = new Set<string>();
  let timer: Timer | undefined;
  const sweepQueue = (queue: Kept[], now: number): void => {
    const rest = queue.findIndex((kept) => kept.until > now);
    const expired = queue.splice(0, rest === -1 ? queue.length : rest);
    for (const { id, slot } of expired) {
      known.delete(id);
      table.forget(slot, id);
    }
  };
  const sweep = (): void => {
    const now = clock.now();
    sweepQueue(plain, now);
    sweepQueue(keyed, now);
    timer = known.size > 0 ? clock.after(SWEEP_TIME, sweep) : undefined;
  };
  return {
    note: (record) => {
      if (known.has(record.id)) return;
      known.add(record.id);
      const now = clock.now();
      const kept = { id: record.id, slot: record.slot };
      if (record.keyed || record.detached) {
        keyed.push({ ...kept, until: now + KEYED_TIME });
      } else {
        const left = Math.max(0, record.deadlineAt - clock.date().getTime());
        const late = record.repeatable ? 0 : left + LATE_TIME;
        plain.push({ ...kept, until: now + Math.max(PLAIN_TIME, late) });
      }
      timer ??= clock.after(SWEEP_TIME, sweep);
    },
    size: () => known.size,
    close: () => timer?.close(),
  };
}
