import { CRASH_TTL } from "../decision/index.ts";
import type { CrashEvidence, CrashFinding, RunCounts } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type {
  Clock,
  DeletableStore,
  FeedObject,
  ObjectStore,
  PutOutcome,
} from "../interface/index.ts";
import type { Quarantine, RequestFingerprint } from "../request/index.ts";
import { crashRecordText, readCrashRecord } from "./crash_record.ts";
import type { CrashRecord } from "./crash_record.ts";
import { createLostCrashRecords } from "./lost_crash_records.ts";
import type { RoutedLog } from "./routed_log.ts";

/** Quarantines what crashes workers, requests or parts of prompts, so that no worker receives it. */
export interface RequestQuarantine extends Quarantine {
  /** Records that a worker crashed, with what may be the cause. Suspects of other quarantines are ignored. */
  recordCrash(suspects: readonly RequestFingerprint[]): void;
  /**
   * Replaces the local view of the store's quarantine objects.
   *
   * @param options `isRestored` tells whether the store was restored from a copy since the last call. Missing records
   * were then lost and not removed by an operator.
   */
  setObjects(
    objects: Iterable<FeedObject>,
    options?: { readonly isRestored?: boolean | undefined },
  ): void;
  /** Returns this instance's crash and answer counts, to be sent to the other instances. */
  counts(): ReadonlyMap<number, RunCounts>;
  /** Store version of this instance's latest write; 0 if it has written nothing. */
  readonly writtenVersion: number;
  /** Lists all quarantines recorded in the store, for operators. */
  list(): CrashRecord[];
  /** Starts the periodic writes to the store. */
  start(): void;
  close(): void;
}

/** What a quarantine is for, and how it is proven to crash workers. */
export interface QuarantineSubject {
  /** Whether the fingerprint with this name belongs to the quarantine. */
  readonly covers: (name: string) => boolean;
  readonly evidence: CrashEvidence;
  /** Number of crashes in the evidence that prove the cause. */
  readonly provingCrashes: number;
}

/** Dependencies of {@linkcode createRequestQuarantine}. */
export interface RequestQuarantineParts {
  readonly subject: QuarantineSubject;
  readonly clock: Clock;
  /** Returns the time synchronized across instances, in milliseconds since the Unix epoch. */
  readonly time: () => number;
  readonly store: Pick<ObjectStore, "put"> & DeletableStore;
  /** Duration of a quarantine, in milliseconds. */
  readonly duration: number;
  /** Returns the number of entry instances, all of which may write to the store. */
  readonly instanceCount: () => number;
  /** Whether this instance erases expired records from the store. */
  readonly canErase: () => boolean;
  readonly log: Pick<RoutedLog, "changed">;
}

/** Key prefix in the store of the records of quarantined and suspected requests. */
export const QUARANTINE_KEY = "samphireshore/quarantine";

/** Interval between two checks for records to be written, in milliseconds. */
const POLL_INTERVAL = 250;
/**
 * Delay from the finding that a request crashes workers to its write to the store, in milliseconds. Until then, other
 * instances may report answers to the request. Instances that have lost no worker to it wait longer, so that usually
 * only one instance writes.
 */
const WRITE_DELAY = { own: 1_000, remote: 2_500 };
/** Write delay of a suspected request, in milliseconds: usually enough for an answer from the next worker. */
const SUSPECT_WRITE_DELAY = 300;
/**
 * Minimum gap between two writes of suspects by one instance, in milliseconds per instance of the fleet. It limits the
 * total rate of writes when many workers crash at once.
 */
const SUSPECT_WRITE_GAP = 10;
/** Time after which the counts that preceded the write of a suspect have reached all instances, in milliseconds. */
const PROPAGATION_TIME = 1_000;
/** Delay before a write that may have failed is retried, in milliseconds. */
const WRITE_RETRY_DELAY = 1_000;

/** Time after which no instance sends counts from before a record's removal any more, in milliseconds. */
const RELEASE_TIME = 5_000;

/** Returns the store's key of a request's record. */
const keyOf = (name: string): string => `${QUARANTINE_KEY}/${name}`;

/** The latest attempt to write a record. */
interface WriteAttempt {
  readonly at: number;
  readonly crashes: number;
  /** Whether the store has this record, or one with stronger evidence. */
  readonly isDone: boolean;
  /** Version of the record in the store's response; undefined without a response. */
  readonly version: number | undefined;
}

/**
 * Creates a quarantine without records.
 *
 * The instances exchange their counts of crashes and answers. A request proven to crash workers is refused by all of
 * them and recorded in the store, so that its quarantine survives restarts. A suspect, which is one crash short of the
 * proof, is recorded for the same reason.
 */
export function createRequestQuarantine(parts: RequestQuarantineParts): RequestQuarantine {
  const { clock, time, store, duration, log } = parts;
  const { covers, evidence, provingCrashes } = parts.subject;
  /** Records in the store, by fingerprint name. */
  let storedRecords: ReadonlyMap<string, CrashRecord> = new Map();
  const lostRecords = createLostCrashRecords({ clock, store, keyOf, log });
  let writtenVersion = 0;
  /** Removal times by name. Counts that other instances still send for these requests are outdated. */
  const releaseTimes = new Map<string, number>();
  /** The latest write attempt by name. */
  const writeAttempts = new Map<string, WriteAttempt>();
  let suspectWrittenAt = -Infinity;
  const loggedNames = new Set<string>();
  let closed = false;
  const isClosed = (): boolean => closed;

  /** Whether this number of crashes is a proof. With fewer, there is only a suspicion. */
  const isQuarantined = (crashes: number): boolean => crashes >= provingCrashes;
  const remainingTime = ({ crashes, since }: CrashRecord): number =>
    isQuarantined(crashes) ? since + duration - time() : 0;
  const logOnce = (name: string, fields: { crashes: number; way: string }): void => {
    if (loggedNames.has(name)) return;
    loggedNames.add(name);
    log.changed("request-quarantined", { print: name, ...fields });
  };
  const timeUntilRelease: Quarantine["remainingTime"] = (fingerprint) => {
    const entry = storedRecords.get(fingerprint.name);
    const left = entry === undefined ? 0 : remainingTime(entry);
    if (left > 0) return left;
    const releasedAt = releaseTimes.get(fingerprint.name);
    if (releasedAt !== undefined && clock.now() - releasedAt < RELEASE_TIME) return 0;
    return evidence.isProven(fingerprint, clock.now()) ? duration : 0;
  };
  const parseRecord = (object: FeedObject): CrashRecord | undefined => {
    const record = readCrashRecord(object);
    if (record === undefined) {
      log.changed("quarantine-unreadable", { print: object.name });
      return undefined;
    }
    // The writer's clock may be ahead. Without the limit, the reported wait could exceed the quarantine's duration.
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
    const expect = writeAttempts.get(name)?.version ?? storedRecords.get(name)?.version ?? 0;
    writeAttempts.set(name, { at, crashes, isDone: false, version: undefined });
    const text = crashRecordText({ crashes, since: time() });
    const outcome = await store.put(keyOf(name), text, { expect });
    const { version, crashes: storedCrashes = 0 } = afterWrite(outcome, name);
    const isStored = isQuarantined(storedCrashes) || (storedCrashes > 0 && !isQuarantined(crashes));
    const isDone = outcome.kind === "written" || isStored;
    writeAttempts.set(name, { at: clock.now(), crashes, isDone, version });
    writtenVersion = Math.max(writtenVersion, version ?? 0);
    const step = isQuarantined(crashes) ? "quarantine-written" : "suspect-written";
    log.changed(step, { print: name, crashes, outcome: outcome.kind });
  };
  /** Whether the store lacks this finding and its write delay has passed. */
  const isDue = ({ suspect: { name }, crashes, since }: CrashFinding, after: number): boolean => {
    const isCovered = (storedCrashes: number): boolean =>
      isQuarantined(storedCrashes) || !isQuarantined(crashes);
    const record = storedRecords.get(name);
    if (record !== undefined && isCovered(record.crashes)) return false;
    const now = clock.now();
    const attempt = writeAttempts.get(name);
    if (attempt?.isDone === true && isCovered(attempt.crashes)) return false;
    if (attempt?.isDone === false && now - attempt.at < WRITE_RETRY_DELAY) return false;
    return now - since >= after;
  };
  const writeProven = async (proven: readonly CrashFinding[]): Promise<void> => {
    for (const finding of proven) {
      if (isDue(finding, finding.isOwn ? WRITE_DELAY.own : WRITE_DELAY.remote))
        await write(finding);
    }
  };
  /** Writes one suspect to the store, so that the next crash quarantines it even if all instances restart meanwhile. */
  const writeSuspect = async (suspected: readonly CrashFinding[]): Promise<void> => {
    if (clock.now() - suspectWrittenAt < SUSPECT_WRITE_GAP * parts.instanceCount()) return;
    const due = suspected.find((finding) => isDue(finding, SUSPECT_WRITE_DELAY));
    if (due === undefined) return;
    suspectWrittenAt = clock.now();
    await write(due);
  };
  /**
   * Adds the crashes of stored suspects to the evidence, once the counts that led to the record have reached all
   * instances.
   */
  const restoreSuspects = (): void => {
    for (const { fingerprint, crashes, since } of storedRecords.values()) {
      if (isQuarantined(crashes) || time() - since < PROPAGATION_TIME) continue;
      evidence.restore(fingerprint, crashes);
    }
  };
  const isExpired = (record: CrashRecord): boolean =>
    isQuarantined(record.crashes)
      ? remainingTime(record) <= 0
      : time() - record.since > CRASH_TTL || evidence.hasAnswer(record.fingerprint);
  const erase = async ({ fingerprint: { name }, crashes }: CrashRecord): Promise<void> => {
    const isGone = await store.delete(keyOf(name));
    const step = isQuarantined(crashes) ? "quarantine-ended" : "suspect-ended";
    log.changed(step, { print: name, isGone });
  };
  /** Resets a request whose record was removed from the store, so that earlier crashes don't count again. */
  const release = ({ fingerprint: { name }, crashes }: CrashRecord): void => {
    evidence.forget(name);
    writeAttempts.delete(name);
    loggedNames.delete(name);
    if (isQuarantined(crashes)) releaseTimes.set(name, clock.now());
  };
  const check = async (): Promise<void> => {
    const now = clock.now();
    for (const [name, at] of releaseTimes) if (now - at > RELEASE_TIME) releaseTimes.delete(name);
    restoreSuspects();
    const proven = evidence.listProven(now);
    const suspected = evidence.listSuspected(now);
    for (const { suspect, crashes } of proven) logOnce(suspect.name, { crashes, way: "counted" });
    const foundNames = [...proven, ...suspected].map(({ suspect }) => suspect.name);
    const names = new Set([...foundNames, ...storedRecords.keys()]);
    for (const name of [...loggedNames, ...writeAttempts.keys()]) {
      if (names.has(name)) continue;
      loggedNames.delete(name);
      writeAttempts.delete(name);
    }
    await writeProven(proven);
    await writeSuspect(suspected);
    lostRecords.removeExpired(isExpired);
    if (!parts.canErase()) return;
    await lostRecords.rewrite();
    for (const record of storedRecords.values()) if (isExpired(record)) await erase(record);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      await check();
      await sleep(clock, POLL_INTERVAL);
    }
  };
  return {
    remainingTime: timeUntilRelease,
    recordAnswer: (fingerprint) => evidence.recordAnswer(fingerprint, clock.now()),
    recordCrash: (suspects) => {
      for (const suspect of suspects)
        if (covers(suspect.name)) evidence.recordCrash(suspect, clock.now());
    },
    setObjects: (objects, { isRestored = false } = {}) => {
      const before = storedRecords;
      const records = new Map(
        [...objects]
          .filter(({ name }) => covers(name))
          .flatMap((object) => parseRecord(object) ?? [])
          .map((record) => [record.fingerprint.name, record]),
      );
      if (isRestored) {
        lostRecords.keep(storedRecords, records);
        // Any of these writes may be lost, too.
        writeAttempts.clear();
      }
      storedRecords = lostRecords.addTo(records);
      restoreSuspects();
      for (const [name, { crashes }] of records) {
        if (isQuarantined(crashes)) logOnce(name, { crashes, way: "store" });
      }
      for (const [name, record] of before) if (!storedRecords.has(name)) release(record);
    },
    counts: () => evidence.counts(clock.now()),
    get writtenVersion() {
      return writtenVersion;
    },
    list: () => [...storedRecords.values()].filter(({ crashes }) => isQuarantined(crashes)),
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}
