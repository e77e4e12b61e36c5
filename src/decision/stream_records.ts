/**
 * The version at which streams began, by the attempt that brought their first event.
 *
 * Load: a service has workers of several software versions, instances and workers end, and callers
 * take up their streams at any instance. What two versions write doesn't fit together, and workers
 * don't check it. Symptom without the records: streams that begin at one version and end at another.
 *
 * @module
 */

/** The workers at which a stream began: a service, and a version of its workers' software. */
export interface StreamVersion {
  readonly service: string;
  readonly version: string;
}

/** What is known of an attempt. */
export type StreamRecord =
  | ({ readonly kind: "known" } & StreamVersion)
  /** Two streams began under the same id at different versions. */
  | { readonly kind: "ambiguous" };

/** Records of streams, by a hash of the attempt's id and its account. */
export interface StreamRecords {
  /** Adds a record, at a time in milliseconds of the clock. */
  add(attempt: bigint, version: StreamVersion, now: number): void;
  readonly find: (attempt: bigint) => StreamRecord | undefined;
  /** Returns all records that are not ambiguous, those added last at the end. */
  known(): Iterable<readonly [bigint, StreamVersion]>;
  /** Removes the records that were last added before this time. */
  removeBefore(time: number): void;
  readonly size: number;
}

/** Creates an empty set of records. */
export function createStreamRecords(): StreamRecords {
  /** The records, those added last at the end. */
  const records = new Map<bigint, { record: StreamRecord; at: number }>();
  return {
    add: (attempt, { service, version }, now) => {
      const before = records.get(attempt)?.record;
      const isSame =
        before === undefined ||
        (before.kind === "known" && before.service === service && before.version === version);
      const record: StreamRecord = isSame
        ? { kind: "known", service, version }
        : { kind: "ambiguous" };
      records.delete(attempt);
      records.set(attempt, { record, at: now });
    },
    find: (attempt) => records.get(attempt)?.record,
    known: function* () {
      for (const [attempt, { record }] of records)
        if (record.kind === "known") yield [attempt, record];
    },
    removeBefore: (time) => {
      for (const [attempt, { at }] of records) {
        if (at >= time) break;
        records.delete(attempt);
      }
    },
    get size() {
      return records.size;
    },
  };
}
