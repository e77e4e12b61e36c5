import { hashText } from "../version/index.ts";
import type { StreamVersions } from "../request/index.ts";
import { FleetRole } from "./fleet_topology.ts";
import type { FleetSync } from "./fleet_sync.ts";
import { createRecordWriter } from "./record_writer.ts";
import type { RoutedEntryDependencies } from "./routed_entry_parts.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import { mergeVersions, versionsByService } from "./service_versions.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { createStreamRecordStore } from "./stream_record_store.ts";
import { createStreamVersions } from "./stream_versions.ts";
import type { StreamVersionTask } from "./stream_versions.ts";
import { createVersionRecord, unknownVersions } from "./version_record.ts";

/** The versions of streams, with a record of the services' recent versions in the store. */
export interface RecordedStreamVersions extends StreamVersionTask, StreamVersions {
  /** Starts the periodic writes to the store. */
  start(): void;
}

/** Dependencies of {@linkcode createRecordedStreamVersions}. */
export interface RecordedStreamVersionsParts extends Pick<
  RoutedEntryDependencies,
  "clock" | "feed" | "kinds" | "log" | "random" | "store"
> {
  readonly settings: RoutedSettings;
  readonly fleet: () => Pick<
    FleetSync,
    "incarnation" | "isDiscovering" | "live" | "members" | "role"
  >;
  /** Whether this instance writes the record. */
  readonly isWriter: () => boolean;
  /** Returns the longest time that a route allows, in milliseconds. */
  readonly longestTimeout: () => number;
  readonly send: (bytes: Uint8Array, address: string) => void;
}

/**
 * Maximum duration of a stream over all attempts of its caller, in timeouts of its route: each attempt has its own.
 */
const STREAM_DURATION_FACTOR = 2;

/** Creates the versions of streams of an entry instance. */
export function createRecordedStreamVersions(
  parts: RecordedStreamVersionsParts,
): RecordedStreamVersions {
  const { clock, settings, fleet, feed, kinds, log } = parts;
  const record = createVersionRecord({
    clock,
    random: parts.random,
    store: parts.store,
    isWriter: parts.isWriter,
    members: () => fleet().members,
    recent: () => versions.recent(),
    coversPeriod: () => versions.coversPeriod(),
    inherit: (earlier) => versions.inherit(earlier),
    log,
  });
  const readPresentVersions = async (): Promise<ServiceVersions> => {
    const { objects } = await feed.listKind(kinds.workers);
    return versionsByService(objects.flatMap((object) => kinds.readWorker(object) ?? []));
  };
  const others = {
    self: { peers: settings.listen.peers, zone: settings.zone },
    instances: () => fleet().live(),
    isSmallFleet: () => fleet().role === FleetRole.Mesh,
    isDiscovering: () => fleet().isDiscovering,
  };
  const { streamRecords } = settings;
  /** By default, only in a small fleet: there, few instances hold copies, and one writes a few times a second for all. */
  const isStored = (): boolean =>
    streamRecords === "stored" || (streamRecords === undefined && others.isSmallFleet());
  const writer = createRecordWriter(others);
  const maxDuration = (): number => STREAM_DURATION_FACTOR * parts.longestTimeout();
  const versions: StreamVersionTask = createStreamVersions({
    clock,
    ...others,
    writer: { other: () => (isStored() ? writer.other() : undefined) },
    expectsOthers: () => fleet().members > 1,
    readVersions: async () => {
      const [present, recorded] = await Promise.all([readPresentVersions(), record.read()]);
      // A service that isn't recorded may have had others.
      const unknown = unknownVersions([...present.keys()], recorded);
      return mergeVersions(mergeVersions(present, recorded), unknown);
    },
    maxDuration,
    send: parts.send,
    onFault: (detail) => log.fault("stream-records", { detail }),
  });
  const recordStore = createStreamRecordStore({
    clock,
    store: parts.store,
    feed,
    kindOf: kinds.streamRecordsOf,
    writer,
    isEnabled: isStored,
    ...others,
    namePrefix: () => hashText(fleet().incarnation).toString(16),
    records: () => versions.records(),
    mixed: () => versions.mixed(),
    restore: (records) => versions.restore(records),
    maxDuration,
    log,
  });
  return {
    ...versions,
    setWorkers: (workers) => {
      versions.setWorkers(workers);
      record.update();
    },
    whenRecorded: record.whenRecorded,
    start: () => {
      record.start();
      if (streamRecords !== "memory") recordStore.start();
    },
    close: () => {
      versions.close();
      record.close();
      recordStore.close();
    },
  };
}
