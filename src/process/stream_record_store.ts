import { sleep } from "../interface/index.ts";
import type {
  Clock,
  DeletableStore,
  FeedObject,
  ObjectFeed,
  ObjectStore,
  RestorableStore,
} from "../interface/index.ts";
import type { RecordWriter } from "./record_writer.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { decodeStreamRecords, encodeStreamRecords } from "./stream_record_codec.ts";
import type { AttemptVersion } from "./stream_record_codec.ts";

/**
 * The records of streams in the store, while a service has several versions.
 *
 * Load: all instances end at once, by a loss of power or a faulty release, and their callers take up their streams. The
 * records and their copies are only in the memory of instances. Symptom without the store: each of these streams is
 * refused until a service has one version again.
 */
export interface StreamRecordStore {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createStreamRecordStore}. */
export interface StreamRecordStoreParts {
  readonly clock: Clock;
  readonly store: Pick<ObjectStore, "put"> & DeletableStore & RestorableStore;
  readonly feed: Pick<ObjectFeed, "listKind">;
  /** Returns the store's kind of the objects of a group of instances, which are under `STREAM_RECORDS_KEY`. */
  readonly kindOf: (group: string) => string;
  readonly writer: RecordWriter;
  /** Whether records are to be stored, which may depend on the size of the fleet. */
  readonly isEnabled: () => boolean;
  /** Whether this instance has just started and has not heard from every address that it knows. */
  readonly isDiscovering: () => boolean;
  /** Returns what the names of this process's objects begin with; it differs from that of other processes. */
  readonly namePrefix: () => string;
  /** Whether every instance exchanges digests with every other. */
  readonly isSmallFleet: () => boolean;
  /** Returns the records of all streams that this instance knows and that may still be taken up. */
  readonly records: () => Iterable<AttemptVersion>;
  /** Returns the services with several recent versions, as seen by this instance. */
  readonly mixed: () => ServiceVersions;
  /** Adds records from the store to those that this instance knows. */
  readonly restore: (records: readonly AttemptVersion[]) => void;
  /** Maximum duration of a stream in milliseconds. */
  readonly maxDuration: () => number;
  readonly log: Pick<RoutedLog, "changed" | "fault">;
}

/** An object in the store, with the records of the streams that began between two writes. */
interface Segment {
  readonly name: string;
  readonly version: number;
  readonly attempts: readonly bigint[];
  /** When it was written or first read, in the clock's milliseconds. */
  readonly at: number;
}

/** Key prefix in the store of the records of streams. A group of instances and the name of an object follow. */
export const STREAM_RECORDS_KEY = "samphireshore/streams";
/**
 * Milliseconds between two writes in a small fleet. Streams that begin within this time of the end of all instances
 * can't be taken up. Each write is a billed call.
 */
const WRITE_INTERVAL_IN_SMALL_FLEET = 250;
/** The same in a large fleet, which has a writer in each zone, and whose streams are longer. */
const WRITE_INTERVAL_IN_LARGE_FLEET = 1_000;
/** Milliseconds between two checks whether this instance writes, while it learns of the others. */
const DISCOVERY_INTERVAL = 50;
/** Milliseconds after a failed call before the next one. */
const RETRY_DELAY = 1_000;
/** Maximum number of records in an object: about 600 kB of text, and the store allows 1 MB. */
const MAX_RECORDS = 50_000;

/**
 * Creates the task. Nothing is read or written before it is started.
 *
 * One instance writes for all of a small fleet, and one in each zone of a large one. It begins by reading what is there.
 * Each write contains only new records. Its object replaces one that is older than the longest stream, or is a new one,
 * so that the number of objects is limited. Without new records, expired objects are deleted one by one.
 */
export function createStreamRecordStore(parts: StreamRecordStoreParts): StreamRecordStore {
  const { clock, store, log } = parts;
  /** The group whose objects this instance has read; undefined if they have to be read. */
  let group: string | undefined;
  /** The group's objects, oldest first. */
  let segments: Segment[] = [];
  /** The attempts in these objects. */
  let stored = new Set<bigint>();
  /** The store's era in which they were read. */
  let era = 0;
  let written = 0;
  let isClosed = false;

  const keyOf = (name: string): string => `${STREAM_RECORDS_KEY}/${group ?? ""}/${name}`;
  const setSegments = (changed: Segment[]): void => {
    segments = changed;
    stored = new Set(changed.flatMap(({ attempts }) => attempts));
  };
  const add = (segment: Segment): void => {
    segments.push(segment);
    for (const attempt of segment.attempts) stored.add(attempt);
  };
  /** Forgets the oldest object, which is replaced or deleted. */
  const removeOldest = (): void => {
    for (const attempt of segments.shift()?.attempts ?? []) stored.delete(attempt);
  };
  const oldestExpired = (): Segment | undefined => {
    const [oldest] = segments;
    return oldest !== undefined && oldest.at < clock.now() - parts.maxDuration()
      ? oldest
      : undefined;
  };
  const read = async (of: string): Promise<void> => {
    const { objects } = await parts.feed.listKind(parts.kindOf(of));
    const decoded = objects.map((object) => ({ object, records: decode(object) }));
    const records = decoded.flatMap((one) => one.records);
    parts.restore(records);
    const now = clock.now();
    // An object that is read again expires no later than before.
    const since = ({ name, version }: FeedObject): number =>
      segments.find((known) => known.name === name && known.version === version)?.at ?? now;
    const found = decoded.map(({ object, records: contained }) => ({
      name: object.name,
      version: object.version,
      attempts: contained.map(({ attempt }) => attempt),
      at: since(object),
    }));
    setSegments(found.sort((a, b) => a.at - b.at));
    group = of;
    era = store.era;
    if (records.length > 0)
      log.changed("stream-records-read", { objects: found.length, records: records.length });
  };
  const unstored = (): AttemptVersion[] => {
    const found: AttemptVersion[] = [];
    const mixed = parts.mixed();
    if (mixed.size === 0) return found;
    for (const record of parts.records()) {
      if (found.length === MAX_RECORDS) break;
      const { attempt, version } = record;
      if (!stored.has(attempt) && mixed.has(version.service)) found.push(record);
    }
    return found;
  };
  /** Writes records to an expired object, or a new one. Returns whether they are stored. */
  const write = async (records: readonly AttemptVersion[]): Promise<boolean> => {
    const replaced = oldestExpired();
    if (replaced !== undefined) removeOldest();
    const name = replaced?.name ?? `${parts.namePrefix()}-${++written}`;
    const expect = replaced?.version ?? 0;
    const outcome = await store.put(keyOf(name), encode(records), { expect });
    if (outcome.kind !== "written") return false;
    const attempts = records.map(({ attempt }) => attempt);
    add({ name, version: outcome.version, attempts, at: clock.now() });
    return true;
  };
  /** Writes new records or deletes an expired object. Returns the milliseconds until the next check. */
  const check = async (): Promise<number> => {
    if (parts.isDiscovering()) return DISCOVERY_INTERVAL;
    if (!parts.isEnabled() || parts.writer.other() !== undefined) {
      group = undefined;
      return writeInterval();
    }
    const current = parts.writer.group();
    // A restored store may have lost objects; they are read again to find out which records it lacks.
    if (group !== current || era !== store.era) await read(current);
    const records = unstored();
    const expired = oldestExpired();
    let isDone = true;
    if (records.length > 0) isDone = await write(records);
    else if (expired !== undefined) {
      isDone = await store.delete(keyOf(expired.name), { expect: expired.version });
      if (isDone) removeOldest();
    }
    // Without the outcome of a call, only another read shows what is stored.
    if (!isDone) group = undefined;
    return isDone ? writeInterval() : RETRY_DELAY;
  };
  const writeInterval = (): number =>
    parts.isSmallFleet() ? WRITE_INTERVAL_IN_SMALL_FLEET : WRITE_INTERVAL_IN_LARGE_FLEET;
  const decode = ({ name, value }: FeedObject): readonly AttemptVersion[] => {
    const bytes = typeof value === "string" ? Buffer.from(value, "base64") : undefined;
    const message = bytes === undefined ? undefined : decodeStreamRecords(bytes);
    // Another program may have written it.
    if (message === undefined)
      log.fault("stream-records", { detail: `Object ${name} is invalid.` });
    return message?.records ?? [];
  };
  const run = async (): Promise<void> => {
    while (!isClosed) {
      const delay = await check().catch(() => RETRY_DELAY);
      await sleep(clock, delay);
    }
  };
  return {
    start: () => void run(),
    close: () => (isClosed = true),
  };
}

function encode(records: readonly AttemptVersion[]): string {
  const message = {
    sender: "",
    question: 0,
    records,
    askedAttempts: [],
    askedServices: [],
    recent: [],
  };
  return Buffer.from(encodeStreamRecords(message)).toString("base64");
}
