import type { Clock, RequestRecord, Timer } from "../interface/index.ts";
import type { SlotTable } from "./slot_table.ts";

/** Keeps ended records for as long as they may be requested, then drops them. */
export interface Retention {
  /** Registers a record that has ended, here or at the slot's primary. */
  note(record: RequestRecord): void;
  /** Returns the number of ended records that are kept. */
  size(): number;
  close(): void;
}

/** Milliseconds for which an answer without an idempotency key can be requested by its id. */
const PLAIN_TIME = 60_000;
/** Milliseconds for which answers with an idempotency key, and detached ones, are kept. */
const KEYED_TIME = 24 * 3_600_000;
/**
 * Minimum time, in milliseconds after its deadline, for which the end of a request that may not be
 * repeated is kept.
 */
const LATE_TIME = 60_000;
const SWEEP_TIME = 5_000;

interface Kept {
  readonly id: string;
  readonly slot: number;
  readonly until: number;
}

/**
 * Creates the retention of a table's records.
 *
 * Without it, memory use would grow for as long as the instance runs: 50 requests per second are
 * over four million per day. Each kind of record has a queue of its own, ordered by expiry, so a
 * sweep touches only the records that it drops.
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
