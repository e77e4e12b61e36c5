import type { Clock, RequestRecord, Timer } from "../interface/index.ts";
import type { SlotTable } from "./slot_table.ts";

/** Keeps ended records for as long as callers may query them, then drops them. */
export interface Retention {
  /** Registers a record that has ended, here or at the slot's primary. */
  add(record: RequestRecord): void;
  /** Returns the number of ended records that are kept. */
  size(): number;
  close(): void;
}

/** Milliseconds for which an answer without an idempotency key can be queried by its id. */
const UNKEYED_RETENTION = 60_000;
/** Milliseconds for which answers with an idempotency key, and detached ones, are kept. */
const KEYED_RETENTION = 24 * 3_600_000;
/**
 * Minimum time, in milliseconds after its deadline, for which the end of a request that may not be
 * repeated is kept.
 */
const AT_MOST_ONCE_RETENTION = 60_000;
/** Milliseconds between two sweeps of expired records. */
const SWEEP_INTERVAL = 5_000;

interface RetainedRecord {
  readonly id: string;
  readonly slot: number;
  /** Time in the clock's milliseconds. */
  readonly expiresAt: number;
}

/**
 * Creates the retention of a table's records.
 *
 * Without it, memory use would grow for as long as the instance runs: 50 requests per second are
 * over four million per day. Each kind of record has a queue of its own, ordered by expiry, so a
 * sweep touches only the records that it drops.
 */
export function createRetention(clock: Clock, table: SlotTable): Retention {
  const unkeyed: RetainedRecord[] = [];
  const keyed: RetainedRecord[] = [];
  const retainedIds = new Set<string>();
  let timer: Timer | undefined;
  const sweepQueue = (queue: RetainedRecord[], now: number): void => {
    const firstRetained = queue.findIndex((entry) => entry.expiresAt > now);
    const expired = queue.splice(0, firstRetained === -1 ? queue.length : firstRetained);
    for (const { id, slot } of expired) {
      retainedIds.delete(id);
      table.forget(slot, id);
    }
  };
  const sweep = (): void => {
    const now = clock.now();
    sweepQueue(unkeyed, now);
    sweepQueue(keyed, now);
    timer = retainedIds.size > 0 ? clock.after(SWEEP_INTERVAL, sweep) : undefined;
  };
  return {
    add: (record) => {
      if (retainedIds.has(record.id)) return;
      retainedIds.add(record.id);
      const now = clock.now();
      const entry = { id: record.id, slot: record.slot };
      if (record.keyed || record.detached) {
        keyed.push({ ...entry, expiresAt: now + KEYED_RETENTION });
      } else {
        const remaining = Math.max(0, record.deadlineAt - clock.date().getTime());
        const minimum = record.repeatable ? 0 : remaining + AT_MOST_ONCE_RETENTION;
        unkeyed.push({ ...entry, expiresAt: now + Math.max(UNKEYED_RETENTION, minimum) });
      }
      timer ??= clock.after(SWEEP_INTERVAL, sweep);
    },
    size: () => retainedIds.size,
    close: () => timer?.close(),
  };
}
