import { z } from "zod";
import type {
  Clock,
  ObjectStore,
  PutOutcome,
  Random,
  RestorableStore,
  Timer,
} from "../interface/index.ts";
import type { RoutedLog } from "./routed_log.ts";
import { mergeVersions, missingVersions, sharedVersions } from "./service_versions.ts";
import type { ServiceVersions } from "./service_versions.ts";

/**
 * The record in the store of the versions that each service has had within the time that streams last.
 *
 * Load: all instances lose power, and the workers of a service are replaced before they start again. What they find then
 * may never have begun a stream. Symptom without the record: callers take their streams up, and get events of two versions.
 * So the record contains every version, and not only those of services that are seen to have several.
 */
export interface VersionRecord {
  /**
   * Returns the recorded versions, read now. A service of which the record says nothing isn't among them. Rejects if the
   * store doesn't answer.
   */
  read(): Promise<ServiceVersions>;
  /** Records versions that are new. Must be called when the workers have changed. */
  update(): void;
  /**
   * Calls `done` when all versions that this instance knows of the service are recorded, which may be at once. It waits
   * no longer than `MAX_WAIT`, and not for a store that fails.
   */
  readonly whenRecorded: (service: string, done: () => void) => { close(): void };
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createVersionRecord}. */
export interface VersionRecordParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Pick<ObjectStore, "get" | "put"> & RestorableStore;
  /** Whether this instance keeps the record, and removes versions from it. Others add what is missing. */
  readonly isWriter: () => boolean;
  /** Number of instances. */
  readonly members: () => number;
  /** Returns the recent versions of all services, as seen or inherited by this instance. */
  readonly recent: () => ServiceVersions;
  /** Whether this instance has followed the workers for as long as streams last. */
  readonly coversPeriod: () => boolean;
  /** Adds versions that an earlier instance has recorded to those of this one. */
  readonly inherit: (versions: ServiceVersions) => void;
  readonly log: Pick<RoutedLog, "changed">;
}

/** Key of the record in the store. */
export const VERSION_RECORD_KEY = "samphireshore/versions/services";
/** Stands for versions that may have begun streams and aren't recorded, because the store failed. */
export const UNKNOWN_VERSION = "\u0000";
/** Milliseconds between two checks of the record. */
const CHECK_INTERVAL = 500;
/** Milliseconds for which streams wait at most for the record. A store that works answers in a few of them. */
const MAX_WAIT = 500;
/** Milliseconds that an instance leaves to the writer before it adds versions itself. */
const WRITER_LEAD = 20;
/** Milliseconds for each instance over which their reads are spread, below the store's rate. */
const SPREAD_PER_MEMBER = 1;
/** Milliseconds after a conflicting write before the record is read again. */
const CONFLICT_DELAY = 5;
/** Stands for a record that isn't there. */
const NO_RECORD = { value: "{}", version: 0 };

const recordSchema = z.record(z.string(), z.array(z.string()));

/** The record as it was read or written. */
interface KnownRecord {
  readonly text: string;
  /** The store's version of it; 0 if there is none. */
  readonly version: number;
  readonly services: ServiceVersions;
  /** The store's era in which it was read or written: a restore may have lost it. */
  readonly era: number;
}

/** A caller of `whenRecorded` that waits. */
interface Waiter {
  readonly service: string;
  readonly done: () => void;
}

/** Creates the record. Nothing is read or written before it is started. */
export function createVersionRecord(parts: VersionRecordParts): VersionRecord {
  const { clock, store, isWriter, recent, coversPeriod, inherit, log } = parts;
  /** The record as last read or written; undefined if it has to be read. */
  let known: KnownRecord | undefined;
  /** The record as first read by this process. */
  let first: KnownRecord | undefined;
  /** The services with workers as first seen by this process. */
  let firstServices: readonly string[] | undefined;
  let hasInherited = false;
  /** Versions that are recorded as far as this instance knows. */
  let recorded: ServiceVersions = new Map();
  /** When this instance first saw that versions of a service aren't recorded, by service. */
  const missingSince = new Map<string, number>();
  /** When this instance may add what is missing if the writer hasn't; undefined if nothing is missing. */
  let turn: number | undefined;
  const waiting = new Set<Waiter>();
  let isFailing = false;
  let isChecking = false;
  /** Whether versions have come since the check in progress began. */
  let isOutdated = false;
  let timer: Timer | undefined;
  let isRunning = false;

  const load = async (): Promise<KnownRecord> => {
    const found = await store.get(VERSION_RECORD_KEY);
    if (found.kind === "unavailable") throw new Error(found.detail);
    const { value: text, version } = found.kind === "found" ? found.object : NO_RECORD;
    return { text, version, services: decode(text), era: store.era };
  };
  const read = async (): Promise<KnownRecord> => {
    known = await load();
    recorded = known.services;
    if (first === undefined) {
      first = known;
      log.changed("versions-read", { versions: known.text });
    }
    if (firstServices === undefined) return known;
    inheritFirst(firstServices);
    // Another instance may have seen a version that this one hasn't.
    inherit(known.services);
    return known;
  };
  /** Adds what was recorded before this instance started, and unknown versions of the services that had workers, but no record. */
  const inheritFirst = (services: readonly string[]): void => {
    if (hasInherited || first === undefined) return;
    hasInherited = true;
    inherit(first.services);
    // Without any record, no instance has run before.
    if (first.version > 0 && !coversPeriod()) inherit(unknownVersions(services, first.services));
  };
  /** Compares the versions that this instance knows with those that are recorded. */
  const compare = (): void => {
    if (firstServices === undefined) return;
    const versions = recent();
    // A version that has left is removed from the record, so that it must be recorded again if it returns.
    recorded = sharedVersions(recorded, versions);
    const missing = missingVersions(versions, recorded);
    for (const service of missingSince.keys())
      if (!missing.has(service)) missingSince.delete(service);
    for (const service of missing.keys())
      if (!missingSince.has(service)) missingSince.set(service, clock.now());
    if (missing.size === 0) turn = undefined;
    else turn ??= clock.now() + WRITER_LEAD + spread();
  };
  const spread = (): number => parts.random.next() * SPREAD_PER_MEMBER * parts.members();
  /** Makes the calls that are necessary. Returns the milliseconds until the next check. */
  const check = async (): Promise<number> => {
    const isCurrent = known?.era === store.era;
    let found = known !== undefined && isCurrent ? known : await read();
    compare();
    if (!isWriter()) {
      if (turn === undefined) return CHECK_INTERVAL;
      if (turn > clock.now()) return turn - clock.now();
      // Another instance has probably added what is missing.
      if (isCurrent) found = await read();
    }
    return write(found);
  };
  const write = async (found: KnownRecord): Promise<number> => {
    // What earlier instances have recorded counts until the writer has followed the workers for as long.
    const services =
      isWriter() && coversPeriod() ? recent() : mergeVersions(found.services, recent());
    const text = encode(services);
    if (text !== found.text) {
      const { era } = store;
      const outcome = await store.put(VERSION_RECORD_KEY, text, { expect: found.version });
      log.changed("versions-recorded", { versions: text, outcome: outcome.kind });
      if (outcome.kind !== "written") return recover(outcome);
      known = { text, version: outcome.version, services, era };
    }
    recorded = services;
    turn = undefined;
    compare();
    return CHECK_INTERVAL;
  };
  /** Returns the milliseconds until the record is read again after a write without effect or outcome. */
  const recover = ({ kind }: PutOutcome): number => {
    known = undefined;
    if (kind === "conflict") return CONFLICT_DELAY;
    isFailing = true;
    return CHECK_INTERVAL;
  };
  const beginCheck = (): void => {
    isChecking = true;
    isOutdated = false;
    isFailing = false;
  };
  const run = async (): Promise<void> => {
    beginCheck();
    // A store that doesn't answer is tried again with the next check.
    const delay = await check().catch(() => {
      known = undefined;
      isFailing = true;
      return CHECK_INTERVAL;
    });
    isChecking = false;
    endWaits();
    schedule(isOutdated && !isFailing ? 0 : delay);
  };
  const schedule = (delay: number): void => {
    timer?.close();
    if (isRunning) timer = clock.after(delay, () => void run());
  };
  const mayBegin = (service: string): boolean => {
    const since = missingSince.get(service);
    return since === undefined || isFailing || clock.now() - since >= MAX_WAIT;
  };
  const endWaits = (): void => {
    for (const waiter of waiting) {
      if (!mayBegin(waiter.service)) continue;
      waiting.delete(waiter);
      waiter.done();
    }
  };
  return {
    read: async () => (await load()).services,
    update: () => {
      firstServices ??= [...recent().keys()];
      inheritFirst(firstServices);
      compare();
      if (turn === undefined) return;
      if (isChecking) isOutdated = true;
      else schedule(isWriter() ? 0 : Math.max(0, turn - clock.now()));
    },
    whenRecorded: (service, done) => {
      if (mayBegin(service)) {
        done();
        return { close: () => undefined };
      }
      const waiter = { service, done };
      waiting.add(waiter);
      const limit = clock.after(MAX_WAIT, endWaits);
      return {
        close: () => {
          limit.close();
          waiting.delete(waiter);
        },
      };
    },
    start: () => {
      isRunning = true;
      void run();
    },
    close: () => {
      isRunning = false;
      timer?.close();
      waiting.clear();
    },
  };
}

/** Returns an unknown version of each service that the record lacks. */
export function unknownVersions(
  services: readonly string[],
  recorded: ServiceVersions,
): ServiceVersions {
  const missing = services.filter((service) => !recorded.has(service));
  return new Map(missing.map((service) => [service, new Set([UNKNOWN_VERSION])]));
}

function encode(versions: ServiceVersions): string {
  const sorted = [...versions]
    .map(([service, names]): [string, string[]] => [service, [...names].sort()])
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify(Object.fromEntries(sorted));
}

/** Returns no versions if the text is not a record: another program may have written it. */
function decode(text: string): ServiceVersions {
  try {
    const parsed = recordSchema.parse(JSON.parse(text));
    return new Map(Object.entries(parsed).map(([service, names]) => [service, new Set(names)]));
  } catch {
    return new Map();
  }
}
