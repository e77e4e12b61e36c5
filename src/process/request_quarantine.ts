import { CRASH_LIFE, createCrashEvidence } from "../decision/index.ts";
import type { CrashEvidence, CrashFinding, RunCounts } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type {
  Clock,
  ErasableStore,
  FeedObject,
  ObjectStore,
  PutOutcome,
} from "../interface/index.ts";
import type { Quarantine, RequestPrint } from "../request/index.ts";
import { crashRecordText, isQuarantined, readCrashRecord } from "./crash_record.ts";
import type { CrashRecord } from "./crash_record.ts";
import type { RoutedLog } from "./routed_log.ts";

/** Quarantines requests that crash workers, so that no worker receives them. */
export interface RequestQuarantine extends Quarantine {
  /** Records that a worker crashed while it ran these requests. */
  crashed(prints: readonly RequestPrint[]): void;
  /** Replaces the local view of the store's quarantine objects. */
  setObjects(objects: Iterable<FeedObject>): void;
  /** Returns this instance's crash and answer counts, to be sent to the other instances. */
  counts(): ReadonlyMap<number, RunCounts>;
  /** Store version of this instance's latest write; 0 if it has written nothing. */
  readonly writtenVersion: number;
  /** Lists all quarantined requests recorded in the store, for operators. */
  list(): CrashRecord[];
  /** Starts the periodic writes to the store. */
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createRequestQuarantine}. */
export interface RequestQuarantineParts {
  readonly clock: Clock;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  readonly store: Pick<ObjectStore, "put"> & ErasableStore;
  /** Duration of a quarantine, in milliseconds. */
  readonly lasts: number;
  /** Returns the total counts of all other instances for a key. */
  readonly othersOf: (key: number) => RunCounts | undefined;
  /** Returns the number of entry instances, all of which may write to the store. */
  readonly members: () => number;
  /** Whether this instance erases expired records from the store. */
  readonly tidies: () => boolean;
  readonly log: Pick<RoutedLog, "changed">;
}

/** Key prefix in the store of the records of quarantined and suspected requests. */
export const QUARANTINE_KEY = "samphireshore/quarantine";

/** Interval between two checks for records to be written, in milliseconds. */
const LOOK_PERIOD = 250;
/**
 * Delay from the finding that a request crashes workers to its write to the store, in milliseconds. Until then, other
 * instances may report answers to the request. Instances that have lost no worker to it wait longer, so that usually
 * only one instance writes.
 */
const WRITE_AFTER = { own: 1_000, heard: 2_500 };
/** Write delay of a suspected request, in milliseconds: usually enough for an answer from the next worker. */
const WRITE_SUSPECT_AFTER = 300;
/**
 * Minimum gap between two writes of suspects by one instance, in milliseconds per instance of the fleet. It limits the
 * total rate of writes when many workers crash at once.
 */
const SUSPECT_GAP = 10;
/** Time after which the counts that preceded the write of a suspect have reached all instances, in milliseconds. */
const SETTLED_AFTER = 1_000;
/** Delay before a write that may have failed is retried, in milliseconds. */
const WRITE_AGAIN = 1_000;

/** Time after which no instance sends counts from before a record's removal any more, in milliseconds. */
const RELEASE_TIME = 5_000;

/** The latest attempt to write a record. */
interface Tried {
  readonly at: number;
  readonly crashes: number;
  /** Whether the store has this record, or one with stronger evidence. */
  readonly isDone: boolean;
  /** Version of the record in the store's response; undefined without a response. */
  readonly version: number | undefined;
}

/** Creates a quarantine without records. */
export function createRequestQuarantine(parts: RequestQuarantineParts): RequestQuarantine {
  const { clock, time, store, lasts, log } = parts;
  const evidence: CrashEvidence = createCrashEvidence(parts.othersOf);
  /** Records in the store, by fingerprint name. */
  let stored: ReadonlyMap<string, CrashRecord> = new Map();
  let writtenVersion = 0;
  /** Removal times by name. Counts that other instances still send for these requests are outdated. */
  const released = new Map<string, number>();
  /** The latest write attempt by name. */
  const written = new Map<string, Tried>();
  let suspectWrittenAt = -Infinity;
  const logged = new Set<string>();
  let closed = false;
  const isClosed = (): boolean => closed;

  const leftOf = ({ crashes, since }: CrashRecord): number =>
    isQuarantined(crashes) ? since + lasts - time() : 0;
  const note = (name: string, fields: { crashes: number; way: string }): void => {
    if (logged.has(name)) return;
    logged.add(name);
    log.changed("request-quarantined", { print: name, ...fields });
  };
  const waitFor: Quarantine["waitFor"] = (print) => {
    const entry = stored.get(print.name);
    const left = entry === undefined ? 0 : leftOf(entry);
    if (left > 0) return left;
    const releasedAt = released.get(print.name);
    if (releasedAt !== undefined && clock.now() - releasedAt < RELEASE_TIME) return 0;
    return evidence.isProven(print, clock.now()) ? lasts : 0;
  };
  const read = (object: FeedObject): CrashRecord | undefined => {
    const record = readCrashRecord(object);
    if (record === undefined) {
      log.changed("quarantine-unreadable", { print: object.name });
      return undefined;
    }
    // The writer's clock may be ahead. Without the limit, a caller would be told to wait longer than the quarantine.
    return { ...record, since: Math.min(record.since, time()) };
  };
  /** Returns the store's record after a write, as far as known. A conflict shows another instance's record. */
  const afterWrite = (outcome: PutOutcome, name: string): Partial<CrashRecord> => {
    if (outcome.kind === "written") return { version: outcome.version };
    if (outcome.kind !== "conflict") return {};
    const { version = 0, value } = outcome.current ?? {};
    return { version, ...readCrashRecord({ name, version, value }) };
  };
  const write = async ({ suspect: { name }, crashes }: CrashFinding): Promise<void> => {
    const at = clock.now();
    const expect = written.get(name)?.version ?? stored.get(name)?.version ?? 0;
    written.set(name, { at, crashes, isDone: false, version: undefined });
    const text = crashRecordText({ crashes, since: time() });
    const outcome = await store.put(`${QUARANTINE_KEY}/${name}`, text, { expect });
    const { version, crashes: there = 0 } = afterWrite(outcome, name);
    const isThere = isQuarantined(there) || (there > 0 && !isQuarantined(crashes));
    const isDone = outcome.kind === "written" || isThere;
    written.set(name, { at: clock.now(), crashes, isDone, version });
    writtenVersion = Math.max(writtenVersion, version ?? 0);
    const step = isQuarantined(crashes) ? "quarantine-written" : "suspect-written";
    log.changed(step, { print: name, crashes, outcome: outcome.kind });
  };
  /** Whether the store lacks this finding and its write delay has passed. */
  const isDue = ({ suspect: { name }, crashes, since }: CrashFinding, after: number): boolean => {
    const has = (there: number): boolean => isQuarantined(there) || !isQuarantined(crashes);
    const record = stored.get(name);
    if (record !== undefined && has(record.crashes)) return false;
    const now = clock.now();
    const tried = written.get(name);
    if (tried?.isDone === true && has(tried.crashes)) return false;
    if (tried?.isDone === false && now - tried.at < WRITE_AGAIN) return false;
    return now - since >= after;
  };
  const writeProven = async (proven: readonly CrashFinding[]): Promise<void> => {
    for (const found of proven) {
      if (isDue(found, found.isOwn ? WRITE_AFTER.own : WRITE_AFTER.heard)) await write(found);
    }
  };
  /** Writes one suspect to the store, so that the next crash quarantines it even if all instances restart before. */
  const writeSuspect = async (suspected: readonly CrashFinding[]): Promise<void> => {
    if (clock.now() - suspectWrittenAt < SUSPECT_GAP * parts.members()) return;
    const found = suspected.find((each) => isDue(each, WRITE_SUSPECT_AFTER));
    if (found === undefined) return;
    suspectWrittenAt = clock.now();
    await write(found);
  };
  const recall = (): void => {
    for (const { print, crashes, since } of stored.values()) {
      if (isQuarantined(crashes) || time() - since < SETTLED_AFTER) continue;
      evidence.recall(print, crashes);
    }
  };
  const isOver = (record: CrashRecord): boolean =>
    isQuarantined(record.crashes)
      ? leftOf(record) <= 0
      : time() - record.since > CRASH_LIFE || evidence.isAnswered(record.print);
  const erase = async ({ print: { name }, crashes }: CrashRecord): Promise<void> => {
    const isGone = await store.erase(`${QUARANTINE_KEY}/${name}`);
    const step = isQuarantined(crashes) ? "quarantine-ended" : "suspect-ended";
    log.changed(step, { print: name, isGone });
  };
  /** Resets a request whose record was removed from the store, so that earlier crashes don't count again. */
  const release = ({ print: { name }, crashes }: CrashRecord): void => {
    evidence.forget(name);
    written.delete(name);
    logged.delete(name);
    if (isQuarantined(crashes)) released.set(name, clock.now());
  };
  const look = async (): Promise<void> => {
    const now = clock.now();
    for (const [name, at] of released) if (now - at > RELEASE_TIME) released.delete(name);
    recall();
    const proven = evidence.proven(now);
    const suspected = evidence.suspected(now);
    for (const { suspect, crashes } of proven) note(suspect.name, { crashes, way: "counted" });
    const found = [...proven, ...suspected].map(({ suspect }) => suspect.name);
    const names = new Set([...found, ...stored.keys()]);
    for (const name of [...logged, ...written.keys()]) {
      if (names.has(name)) continue;
      logged.delete(name);
      written.delete(name);
    }
    await writeProven(proven);
    await writeSuspect(suspected);
    if (!parts.tidies()) return;
    for (const record of stored.values()) if (isOver(record)) await erase(record);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      await look();
      await sleep(clock, LOOK_PERIOD);
    }
  };
  return {
    waitFor,
    answered: (print) => evidence.answered(print, clock.now()),
    crashed: (prints) => {
      for (const print of prints) evidence.crashed(print, clock.now());
    },
    setObjects: (objects) => {
      const before = stored;
      const records = [...objects].flatMap((object) => read(object) ?? []);
      stored = new Map(records.map((record) => [record.print.name, record]));
      recall();
      for (const { print, crashes } of records) {
        if (isQuarantined(crashes)) note(print.name, { crashes, way: "store" });
      }
      for (const [name, record] of before) if (!stored.has(name)) release(record);
    },
    counts: () => evidence.counts(clock.now()),
    get writtenVersion() {
      return writtenVersion;
    },
    list: () => [...stored.values()].filter(({ crashes }) => isQuarantined(crashes)),
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}
