import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { StreamVersion } from "../decision/index.ts";
import {
  RecentVersionsSchema,
  StreamRecordsSchema,
  StreamVersionSchema,
} from "../gen/stream_records_pb.ts";

/** The version at which a stream began, by the hash of the attempt that brought its first event. */
export interface AttemptVersion {
  readonly attempt: bigint;
  readonly version: StreamVersion;
}

/** The versions of a service that an instance has seen within the time that streams last. */
export interface RecentVersions {
  readonly service: string;
  readonly versions: readonly string[];
}

/** A datagram about streams: records, a question, or the answer to one. */
export interface StreamRecordMessage {
  /** The sender's address for other instances, `IP:PORT`; empty if the message contains only copies of records. */
  readonly sender: string;
  /** The number that the sender of a question gives to it, and that the answer repeats; 0 in other messages. */
  readonly question: number;
  readonly records: readonly AttemptVersion[];
  readonly askedAttempts: readonly bigint[];
  readonly askedServices: readonly string[];
  readonly recent: readonly RecentVersions[];
}

/** Maximum number of records or attempts in one datagram, far below the maximum size. */
const MAX_PER_DATAGRAM = 1_000;

/** Divides records or attempts among as few datagrams as needed. */
export function inDatagrams<Item>(items: readonly Item[]): Item[][] {
  const count = Math.ceil(items.length / MAX_PER_DATAGRAM);
  return Array.from({ length: count }, (_, index) =>
    items.slice(index * MAX_PER_DATAGRAM, (index + 1) * MAX_PER_DATAGRAM),
  );
}

/** Encodes a message. Versions are listed once, and records refer to them. */
export function encodeStreamRecords(message: StreamRecordMessage): Uint8Array {
  const { sender, question, records, askedAttempts, askedServices, recent } = message;
  const versions: StreamVersion[] = [];
  const positions = new Map<string, number>();
  const positionOf = (version: StreamVersion): number => {
    const key = `${version.service}\n${version.version}`;
    const known = positions.get(key);
    if (known !== undefined) return known;
    positions.set(key, versions.length);
    return versions.push(version) - 1;
  };
  const beganAt = records.map(({ version }) => positionOf(version));
  const encoded = create(StreamRecordsSchema, {
    sender,
    question,
    versions: versions.map((version) => create(StreamVersionSchema, version)),
    attempts: records.map(({ attempt }) => attempt),
    beganAt,
    askedAttempts: [...askedAttempts],
    askedServices: [...askedServices],
    recent: recent.map(({ service, versions: seen }) =>
      create(RecentVersionsSchema, { service, versions: [...seen] }),
    ),
  });
  return toBinary(StreamRecordsSchema, encoded);
}

/** Decodes a message; returns undefined if the bytes are none. */
export function decodeStreamRecords(bytes: Uint8Array): StreamRecordMessage | undefined {
  let decoded;
  try {
    decoded = fromBinary(StreamRecordsSchema, bytes);
  } catch {
    return undefined;
  }
  const { sender, question, versions, attempts, beganAt, askedAttempts, askedServices, recent } =
    decoded;
  if (attempts.length !== beganAt.length) return undefined;
  const records: AttemptVersion[] = [];
  for (const [index, attempt] of attempts.entries()) {
    const found = versions[beganAt[index] ?? versions.length];
    if (found === undefined) return undefined;
    const { service, version } = found;
    records.push({ attempt, version: { service, version } });
  }
  return {
    sender,
    question,
    records,
    askedAttempts,
    askedServices,
    recent: recent.map(({ service, versions: seen }) => ({ service, versions: seen })),
  };
}
