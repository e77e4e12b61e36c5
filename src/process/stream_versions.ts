/**
 * Finds out at which version of its workers a stream began that a caller takes up again.
 *
 * What two software versions write doesn't fit together, so a stream may go on only at the version
 * that began it. The instance at which it began records the version and, while the service has
 * several versions, sends copies of the record to a few others, since it may end before the stream.
 * An instance without the record asks all others. If no record is found and the store shows that the
 * service has had only one version, the stream began at it; otherwise its version is unknown.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { createStreamRecords, createVersionHistory } from "../decision/index.ts";
import type { HistoryTime, StreamRecord, StreamVersion } from "../decision/index.ts";
import type { Clock, RoutedWorker } from "../interface/index.ts";
import { VersionBasis } from "../request/index.ts";
import type { StreamAttempt, StreamVersions } from "../request/index.ts";
import type { RosterEntry } from "./digest.ts";
import type { RecordWriter } from "./record_writer.ts";
import { createStreamInquiries } from "./stream_inquiries.ts";
import type { StreamInquiriesParts } from "./stream_inquiries.ts";
import { createStreamRecordCopies } from "./stream_record_copies.ts";
import { versionsByService } from "./service_versions.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { decodeStreamRecords, encodeStreamRecords, inDatagrams } from "./stream_record_codec.ts";
import type { AttemptVersion, RecentVersions, StreamRecordMessage } from "./stream_record_codec.ts";

/** The versions of streams, as known to this instance and the others. */
export interface StreamVersionTask extends Omit<StreamVersions, "whenRecorded"> {
  /** Returns the versions of all services within the time that streams last. */
  recent(): ServiceVersions;
  /** Returns the services that have had several versions within the time that streams last, with these versions. */
  mixed(): ServiceVersions;
  /** Whether this instance has followed the workers for as long as streams last. */
  coversPeriod(): boolean;
  /** Returns the records of all streams that are known here and may still be taken up. */
  records(): Iterable<AttemptVersion>;
  /** Adds versions that services had before this instance started, according to the store. */
  inherit(earlier: ServiceVersions): void;
  /** Adds records that the store has kept. Those known already are kept no longer for it. */
  restore(records: readonly AttemptVersion[]): void;
  /** Replaces the workers. */
  setWorkers(workers: readonly RoutedWorker[]): void;
  /** Handles a datagram of another instance. */
  receive(bytes: Uint8Array): void;
  close(): void;
}

/** Dependencies of {@linkcode createStreamVersions}. */
export interface StreamVersionTaskParts {
  readonly clock: Clock;
  /** This instance's address for other instances, and its zone. */
  readonly self: { readonly peers: string; readonly zone: string };
  /** Returns the other live instances. */
  readonly instances: () => readonly RosterEntry[];
  /** Whether other instances are expected, although none may be known to be live yet. */
  readonly expectsOthers: () => boolean;
  /** Whether this instance has just started and has not heard from every address that it knows. */
  readonly isDiscovering: () => boolean;
  /** The instance that writes records to the store. */
  readonly writer: Pick<RecordWriter, "other">;
  /** Whether every instance exchanges digests with every other. */
  readonly isSmallFleet: () => boolean;
  readonly readVersions: StreamInquiriesParts["readVersions"];
  /** Maximum duration of a stream in milliseconds. */
  readonly maxDuration: () => number;
  readonly send: (bytes: Uint8Array, address: string) => void;
  /** Called with a description when a datagram could not be read. */
  readonly onFault: (detail: string) => void;
}

/** Creates the task without workers and records. */
export function createStreamVersions(parts: StreamVersionTaskParts): StreamVersionTask {
  const { clock, self } = parts;
  const records = createStreamRecords();
  const history = createVersionHistory();
  const time = (): HistoryTime => ({ now: clock.now(), period: parts.maxDuration() });
  let hasInherited = false;
  const recentVersions = (service: string): string[] => history.recent(service, time());

  const send = (message: Partial<StreamRecordMessage>, address: string): void => {
    const empty = { question: 0, records: [], askedAttempts: [], askedServices: [], recent: [] };
    parts.send(encodeStreamRecords({ sender: "", ...empty, ...message }), address);
  };
  const copies = createStreamRecordCopies({
    ...parts,
    isMixed: (service) => recentVersions(service).length > 1,
    send: (all, address) => {
      for (const some of inDatagrams(all)) send({ records: some }, address);
    },
  });
  const inquiries = createStreamInquiries({
    ...parts,
    instances: () => parts.instances().map(({ peers }) => peers),
    find: records.find,
    // Streams whose callers name no attempt are asked for by their service alone.
    send: ({ number: question, attempts, services }, address) =>
      send(
        { sender: self.peers, question, askedAttempts: attempts, askedServices: services },
        address,
      ),
  });
  const statement = (service: string): RecentVersions => ({
    service,
    versions: recentVersions(service),
  });
  const findCopies = (attempts: readonly bigint[]): AttemptVersion[] =>
    attempts.flatMap((attempt) => {
      const record = records.find(attempt);
      return record?.kind === "known" ? [{ attempt, version: record }] : [];
    });
  const removeExpired = (): void => records.removeBefore(clock.now() - parts.maxDuration());
  const store = (added: readonly AttemptVersion[]): void => {
    const now = clock.now();
    removeExpired();
    for (const { attempt, version } of added) records.add(attempt, version, now);
  };
  const isKnown = ({ attempt, version: { service, version } }: AttemptVersion): boolean => {
    const record = records.find(attempt);
    return record?.kind === "known" && record.service === service && record.version === version;
  };
  return {
    recordStart: (started, version) => {
      const attempt = hashOf(started);
      store([{ attempt, version }]);
      copies.add({ attempt, version });
    },
    find: (started, service, done) => {
      const attempt = started === undefined ? undefined : hashOf(started);
      const versions = recentVersions(service);
      const known = attempt === undefined ? undefined : records.find(attempt);
      if (known !== undefined || (attempt === undefined && versions.length > 1)) {
        const version = versionOf(known);
        const basis = version === undefined ? VersionBasis.None : VersionBasis.OwnRecord;
        done(version, { basis, seen: versions, answers: 0, isStoreRead: false });
        return { close: () => undefined };
      }
      return inquiries.start({
        attempt,
        service,
        versions,
        done: (record, evidence) => done(versionOf(record), evidence),
      });
    },
    recent: () => history.all(time()),
    mixed: () => history.mixed(time()),
    records: function* () {
      removeExpired();
      for (const [attempt, version] of records.known()) yield { attempt, version };
    },
    restore: (restored) => {
      removeExpired();
      store(restored.filter((record) => !isKnown(record)));
      inquiries.recordsReceived();
    },
    coversPeriod: () => history.coversPeriod(time()),
    inherit: (earlier) => {
      hasInherited = true;
      if (history.inherit(earlier, time()).length > 0) copies.sendAll();
    },
    setWorkers: (workers) => {
      if (history.record(versionsByService(workers), time()).length > 0) copies.sendAll();
    },
    receive: (bytes) => {
      const message = decodeStreamRecords(bytes);
      if (message === undefined) {
        parts.onFault("A received datagram is not a valid message about streams.");
        return;
      }
      const { sender, question, askedAttempts, askedServices, recent } = message;
      store(message.records);
      inquiries.recordsReceived();
      inquiries.answered({ question, sender, recent });
      if (askedServices.length === 0) return;
      const found = findCopies(askedAttempts);
      // Without what the store has recorded, an instance that has just started may lack a version that has left.
      const isInformed = hasInherited || history.coversPeriod(time());
      const stated = isInformed ? askedServices.map(statement) : [];
      const answer = { question, records: found, recent: stated };
      send({ sender: self.peers, ...answer }, sender);
    },
    close: () => {
      copies.close();
      inquiries.close();
    },
  };
}

function versionOf(record: StreamRecord | undefined): StreamVersion | undefined {
  return record?.kind === "known" ? record : undefined;
}

/** Returns 64 bits of a hash of an attempt. Ids are chosen by callers, so two accounts may use the same. */
function hashOf({ account, id }: StreamAttempt): bigint {
  const hash = createHash("sha256")
    .update(`${account ?? ""}\n${id}`)
    .digest();
  return hash.readBigUInt64LE(0);
}
