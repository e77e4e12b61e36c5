import { z } from "zod";
import { sleep } from "../interface/index.ts";
import type { Clock, ObjectStore } from "../interface/index.ts";
import type { RoutedLog } from "./routed_log.ts";
import { mergeVersions } from "./service_versions.ts";
import type { ServiceVersions } from "./service_versions.ts";

/**
 * The record in the store of services that have had several versions recently.
 *
 * Instances that start after all others have ended see only the versions that are present. Without the record, they
 * would regard the remaining version as the only one although another has just left.
 */
export interface VersionRecord {
  /** Reads the record. Rejects if the store doesn't answer. */
  read(): Promise<ServiceVersions>;
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createVersionRecord}. */
export interface VersionRecordParts {
  readonly clock: Clock;
  readonly store: Pick<ObjectStore, "get" | "put">;
  /** Whether this instance writes the record. */
  readonly isWriter: () => boolean;
  /** Returns the services with several recent versions, as seen by this instance. */
  readonly mixed: () => ServiceVersions;
  /** Whether this instance has followed the workers for as long as streams last. */
  readonly coversPeriod: () => boolean;
  readonly log: Pick<RoutedLog, "changed">;
}

/** Key of the record in the store. */
export const VERSION_RECORD_KEY = "samphireshore/versions/recent";
/** Milliseconds between two checks of the record: far less than the time for which two versions are present. */
const CHECK_INTERVAL = 500;

const recordSchema = z.record(z.string(), z.array(z.string()));

/** Creates the record. Nothing is read or written before it is started. */
export function createVersionRecord(parts: VersionRecordParts): VersionRecord {
  const { clock, store, isWriter, mixed, coversPeriod, log } = parts;
  /** The record as this writer last read or wrote it; undefined if it has to be read. */
  let known: { text: string; version: number } | undefined;
  let isClosed = false;

  const load = async (): Promise<{ text: string; version: number }> => {
    const found = await store.get(VERSION_RECORD_KEY);
    if (found.kind === "unavailable") throw new Error(found.detail);
    return found.kind === "found"
      ? { text: found.object.value, version: found.object.version }
      : { text: encode(new Map()), version: 0 };
  };
  const check = async (): Promise<void> => {
    if (!isWriter()) {
      known = undefined;
      return;
    }
    const hasNothing = known === undefined && mixed().size === 0 && !coversPeriod();
    if (hasNothing) return;
    known ??= await load();
    // What an earlier writer has recorded counts until this one has followed the workers for as long.
    const text = encode(coversPeriod() ? mixed() : mergeVersions(decode(known.text), mixed()));
    if (text === known.text) return;
    const outcome = await store.put(VERSION_RECORD_KEY, text, { expect: known.version });
    known = outcome.kind === "written" ? { text, version: outcome.version } : undefined;
    log.changed("versions-recorded", { versions: text, outcome: outcome.kind });
  };
  const run = async (): Promise<void> => {
    while (!isClosed) {
      // A store that doesn't answer is tried again with the next check.
      await check().catch(() => (known = undefined));
      await sleep(clock, CHECK_INTERVAL);
    }
  };
  return {
    read: async () => decode((await load()).text),
    start: () => void run(),
    close: () => (isClosed = true),
  };
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
