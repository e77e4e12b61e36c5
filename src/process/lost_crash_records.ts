import type { Clock, ObjectStore } from "../interface/index.ts";
import { crashRecordText } from "./crash_record.ts";
import type { CrashRecord } from "./crash_record.ts";
import type { RoutedLog } from "./routed_log.ts";

/** Crash records by the names of their fingerprints. */
type CrashRecords = ReadonlyMap<string, CrashRecord>;

/** Crash records that the store has lost in a restore from a copy, until it contains them again. */
export interface LostCrashRecords {
  /** Keeps the records of which the restored store has none, or only an earlier state with fewer crashes. */
  keep(known: CrashRecords, restored: CrashRecords): void;
  /** Returns the store's records and the lost ones, and forgets those that the store contains again. */
  addTo(stored: CrashRecords): CrashRecords;
  /** Forgets the lost records that have expired. */
  removeExpired(isExpired: (record: CrashRecord) => boolean): void;
  /** Writes the lost records again. */
  rewrite(): Promise<void>;
}

/** Dependencies of {@linkcode createLostCrashRecords}. */
export interface LostCrashRecordsParts {
  readonly clock: Clock;
  readonly store: Pick<ObjectStore, "put">;
  /** Returns the store's key of a record. */
  readonly keyOf: (name: string) => string;
  readonly log: Pick<RoutedLog, "changed">;
}

/** Milliseconds until a record is written again that the store still doesn't contain. */
const RETRY_DELAY = 1_000;

/** Creates an empty set. */
export function createLostCrashRecords(parts: LostCrashRecordsParts): LostCrashRecords {
  const { clock, store, keyOf, log } = parts;
  const lost = new Map<string, CrashRecord>();
  /** When each of them was last written, in milliseconds of the clock. */
  const writtenAt = new Map<string, number>();

  const write = async (name: string, { version, ...record }: CrashRecord): Promise<void> => {
    if (clock.now() - (writtenAt.get(name) ?? -Infinity) < RETRY_DELAY) return;
    writtenAt.set(name, clock.now());
    // A conflict means that another instance has written the record.
    const outcome = await store.put(keyOf(name), crashRecordText(record), { expect: version });
    log.changed("quarantine-rewritten", { print: name, outcome: outcome.kind });
  };
  return {
    keep: (known, restored) => {
      writtenAt.clear();
      for (const [name, record] of known) {
        const found = restored.get(name);
        if (found !== undefined && found.crashes >= record.crashes) continue;
        lost.set(name, { ...record, version: found?.version ?? 0 });
      }
    },
    addTo: (stored) => {
      for (const [name, { crashes }] of lost)
        if ((stored.get(name)?.crashes ?? 0) >= crashes) lost.delete(name);
      return new Map([...stored, ...lost]);
    },
    removeExpired: (isExpired) => {
      for (const [name, record] of lost) if (isExpired(record)) lost.delete(name);
    },
    rewrite: async () => {
      for (const [name, record] of [...lost]) await write(name, record);
    },
  };
}
