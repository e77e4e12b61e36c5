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

/** Keeps requests that crash workers from them. */
export interface RequestQuarantine extends Quarantine {
  /** Workers ended while they ran these requests. */
  crashed(prints: readonly RequestPrint[]): void;
  /** The objects as the store has them. */
  setObjects(objects: Iterable<FeedObject>): void;
  /** What this instance has counted, for the others. */
  counts(): ReadonlyMap<number, RunCounts>;
  /** The store's version of what this instance wrote last; 0 where it has written nothing. */
  readonly writtenVersion: number;
  /** All that are kept from workers, for operators. */
  list(): CrashRecord[];
  start(): void;
  close(): void;
}

/** What it is made with. */
export interface RequestQuarantineParts {
  readonly clock: Clock;
  /** The time of day that the instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  readonly store: Pick<ObjectStore, "put"> & ErasableStore;
  /** Milliseconds for which a request is kept from workers. */
  readonly lasts: number;
  /** What all other instances have counted under a key. */
  readonly othersOf: (key: number) => RunCounts | undefined;
  /** How many instances write to the store. */
  readonly members: () => number;
  /** Whether it is this instance that takes out what has lasted long enough. */
  readonly tidies: () => boolean;
  readonly log: Pick<RoutedLog, "changed">;
}

/** The keys in the store of requests that no worker gets, or that are suspected. */
export const QUARANTINE_KEY = "samphireshore/quarantine";

/** Milliseconds between two looks for what has to be written. */
const LOOK_PERIOD = 250;
/**
 * How long a request has to be proven before that is written, in milliseconds: until then, others may tell of its answers.
 * Instances that have lost no worker with it wait longer, so that mostly one writes.
 */
const WRITE_AFTER = { own: 1_000, heard: 2_500 };
/** The same for a request that is only suspected: what an answer takes at the next worker, mostly. */
const WRITE_SUSPECT_AFTER = 300;
/** Milliseconds between two suspects that an instance writes, for each instance: many workers may end at once. */
const SUSPECT_GAP = 10;
/** Milliseconds after which all that instances had counted when a suspect was written is known to all that go on. */
const SETTLED_AFTER = 1_000;
/** Milliseconds after a write that may have failed until the next one. */
const WRITE_AGAIN = 1_000;

/** Milliseconds until nobody tells any more what was counted before a request was taken out of the store. */
const RELEASE_TIME = 5_000;

/** A write of a record that was tried. */
interface Tried {
  readonly at: number;
  readonly crashes: number;
  /** Whether the store has what was written, or more. */
  readonly isDone: boolean;
  /** The record's version as the store told it; undefined where it told nothing. */
  readonly version: number | undefined;
}

/** Makes a quarantine of nothing. */
export function createRequestQuarantine(parts: RequestQuarantineParts): RequestQuarantine {
  const { clock, time, store, lasts, log } = parts;
  const evidence: CrashEvidence = createCrashEvidence(parts.othersOf);
  /** What the store has, by name. */
  let stored: ReadonlyMap<string, CrashRecord> = new Map();
  let writtenVersion = 0;
  /** By name, when it was taken out of the store: what others still tell of it is from before. */
  const released = new Map<string, number>();
  /** By name, when this instance last tried to write it. */
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
    // A writer's time may be ahead: nobody is told to wait longer than it lasts.
    return { ...record, since: Math.min(record.since, time()) };
  };
  /** What the store has after a write, as far as it told; a conflict says that another instance has written. */
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
  /** Whether the store lacks what was found, and it is time to write it. */
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
  /** Writes a suspect, so that the next crash proves it also where all instances are started anew before. */
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
  /** What was in the store isn't there any more: what was counted before doesn't count again. */
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
