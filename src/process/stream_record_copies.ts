import { selectHolders } from "../decision/index.ts";
import type { Clock, Timer } from "../interface/index.ts";
import type { RosterEntry } from "./digest.ts";
import type { RecordWriter } from "./record_writer.ts";
import type { AttemptVersion } from "./stream_record_codec.ts";

/** Sends copies of this instance's records to a few other instances. */
export interface StreamRecordCopies {
  /** Adds a record. Copies are sent only while its service has several versions. */
  add(record: AttemptVersion): void;
  /** Sends copies of all recent records, because a service has a second version now. */
  sendAll(): void;
  close(): void;
}

/** Dependencies of {@linkcode createStreamRecordCopies}. */
export interface StreamRecordCopiesParts {
  readonly clock: Clock;
  /** This instance's address for other instances, and its zone. */
  readonly self: { readonly peers: string; readonly zone: string };
  /** Returns the other live instances. */
  readonly instances: () => readonly RosterEntry[];
  /** Whether every instance exchanges digests with every other. */
  readonly isSmallFleet: () => boolean;
  /** The instance that writes records to the store; it is one of the holders. */
  readonly writer: Pick<RecordWriter, "other">;
  /** Whether the workers of a service have had several versions recently. */
  readonly isMixed: (service: string) => boolean;
  /** Maximum duration of a stream in milliseconds. */
  readonly maxDuration: () => number;
  readonly send: (records: readonly AttemptVersion[], address: string) => void;
}

/**
 * Milliseconds for which records are collected in a small fleet. A stream whose instance ends within this time of its first
 * event can't be taken up elsewhere, and short streams last little longer.
 */
const COPY_INTERVAL_IN_SMALL_FLEET = 25;
/** The same in a large fleet, where the bytes of all messages matter more. */
const COPY_INTERVAL_IN_LARGE_FLEET = 200;
/** Number of holders: enough for copies to survive the end of all other instances but one of a small fleet. */
const HOLDERS_IN_SMALL_FLEET = 8;
/** The same in a large fleet, where the bytes of all copies matter more. */
const HOLDERS_IN_LARGE_FLEET = 3;

/** Creates the sender without any records. */
export function createStreamRecordCopies(parts: StreamRecordCopiesParts): StreamRecordCopies {
  const { clock, self, isMixed, send } = parts;
  /** This instance's recent records with the time at which they were added, oldest first. */
  const own: { record: AttemptVersion; at: number }[] = [];
  let added: AttemptVersion[] = [];
  /** Sessions of the holders that were sent all recent records. */
  let informed = new Set<number>();
  let holders: readonly RosterEntry[] = [];
  /** The sessions of the live instances from which the holders were selected. */
  let selectedFrom: string | undefined;
  let timer: Timer | undefined;
  let isClosed = false;

  const removeExpired = (): void => {
    const from = clock.now() - parts.maxDuration();
    const kept = own.findIndex(({ at }) => at >= from);
    own.splice(0, kept === -1 ? own.length : kept);
  };
  /** Returns the holders. They are selected again only when the live instances change. */
  const currentHolders = (): readonly RosterEntry[] => {
    const others = parts.instances();
    const sessions = others.map(({ session }) => session).join();
    if (sessions === selectedFrom) return holders;
    selectedFrom = sessions;
    const count = parts.isSmallFleet() ? HOLDERS_IN_SMALL_FLEET : HOLDERS_IN_LARGE_FLEET;
    const writer = parts.writer.other();
    const selected = writer === undefined ? [] : [writer];
    const rest = others.filter(({ peers }) => peers !== writer?.peers);
    holders = [
      ...selected,
      ...selectHolders(self, { others: rest, count: count - selected.length }),
    ];
    return holders;
  };
  const sendCopies = (): void => {
    timer = undefined;
    removeExpired();
    const recent = own.map(({ record }) => record).filter(isCopied);
    if (recent.length === 0) return;
    const current = currentHolders();
    for (const { session, peers } of current) {
      const records = informed.has(session) ? added : recent;
      if (records.length > 0) send(records, peers);
    }
    informed = new Set(current.map(({ session }) => session));
    added = [];
    // A holder may be replaced while no stream begins.
    schedule();
  };
  const isCopied = ({ version }: AttemptVersion): boolean => isMixed(version.service);
  const schedule = (): void => {
    if (isClosed) return;
    const interval = parts.isSmallFleet()
      ? COPY_INTERVAL_IN_SMALL_FLEET
      : COPY_INTERVAL_IN_LARGE_FLEET;
    timer ??= clock.after(interval, sendCopies);
  };
  return {
    add: (record) => {
      removeExpired();
      own.push({ record, at: clock.now() });
      if (!isCopied(record)) return;
      added.push(record);
      schedule();
    },
    sendAll: () => {
      informed.clear();
      schedule();
    },
    close: () => {
      isClosed = true;
      timer?.close();
    },
  };
}
