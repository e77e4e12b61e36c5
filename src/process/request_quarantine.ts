import { z } from "zod";
import { createCrashEvidence } from "../decision/index.ts";
import type { CrashEvidence, ProvenSuspect, RunCounts } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, ErasableStore, FeedObject, ObjectStore } from "../interface/index.ts";
import { printNamed } from "../request/index.ts";
import type { Quarantine, RequestPrint } from "../request/index.ts";
import type { RoutedLog } from "./routed_log.ts";

/** A request that no worker gets, as the store keeps it. */
export interface QuarantinedRequest {
  readonly print: RequestPrint;
  /** Workers that had ended under it when it was written. */
  readonly crashes: number;
  /** When it was written, in milliseconds since 1970. */
  readonly since: number;
}

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
  list(): QuarantinedRequest[];
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
  /** Whether it is this instance that takes out what has lasted long enough. */
  readonly tidies: () => boolean;
  readonly log: Pick<RoutedLog, "changed">;
}

/** The keys in the store of requests that no worker gets. */
export const QUARANTINE_KEY = "samphireshore/quarantine";

/** Milliseconds between two looks for what has to be written. */
const LOOK_PERIOD = 250;
/**
 * How long a request has to be proven before that is written, in milliseconds: until then, others may tell of its answers.
 * Instances that have lost no worker with it wait longer, so that mostly one writes.
 */
const WRITE_AFTER = { own: 1_000, heard: 2_500 };
/** Milliseconds after a write that may have failed until the next one. */
const WRITE_AGAIN = 1_000;

/** Milliseconds until nobody tells any more what was counted before a request was taken out of the store. */
const RELEASE_TIME = 5_000;

const NAME = /^[0-9a-f]{16}$/;
const valueSchema = z.object({ crashes: z.number(), since: z.number() });

/** Makes a quarantine of nothing. */
export function createRequestQuarantine(parts: RequestQuarantineParts): RequestQuarantine {
  const { clock, time, store, lasts, log } = parts;
  const evidence: CrashEvidence = createCrashEvidence(parts.othersOf);
  /** What the store has, by name. */
  let stored: ReadonlyMap<string, QuarantinedRequest> = new Map();
  let writtenVersion = 0;
  /** By name, when it was taken out of the store: what others still tell of it is from before. */
  const released = new Map<string, number>();
  /** By name, when this instance last tried to write it, and whether that has succeeded. */
  const written = new Map<string, { readonly at: number; readonly isDone: boolean }>();
  const logged = new Set<string>();
  let closed = false;
  const isClosed = (): boolean => closed;

  const leftOf = ({ since }: QuarantinedRequest): number => since + lasts - time();
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
  const read = ({ name, value: text }: FeedObject): QuarantinedRequest | undefined => {
    const value = valueSchema.safeParse(parseText(text));
    if (NAME.test(name) && value.success) {
      // A writer's time may be ahead: nobody is told to wait longer than it lasts.
      const since = Math.min(value.data.since, time());
      return { print: printNamed(name), crashes: value.data.crashes, since };
    }
    log.changed("quarantine-unreadable", { print: name });
    return undefined;
  };
  const write = async ({ suspect, crashes }: ProvenSuspect): Promise<void> => {
    const { name } = suspect;
    written.set(name, { at: clock.now(), isDone: false });
    const value = JSON.stringify({ crashes, since: Math.round(time()) });
    const outcome = await store.put(`${QUARANTINE_KEY}/${name}`, value, { expect: 0 });
    // A conflict says that another instance has written it.
    const isDone = outcome.kind === "written" || outcome.kind === "conflict";
    written.set(name, { at: clock.now(), isDone });
    if (outcome.kind === "written") writtenVersion = outcome.version;
    if (outcome.kind === "conflict") writtenVersion = outcome.current?.version ?? writtenVersion;
    log.changed("quarantine-written", { print: name, crashes, outcome: outcome.kind });
  };
  const isDue = ({ suspect: { name }, isOwn, since }: ProvenSuspect, now: number): boolean => {
    const tried = written.get(name);
    if (stored.has(name) || tried?.isDone === true) return false;
    if (tried !== undefined && now - tried.at < WRITE_AGAIN) return false;
    return now - since >= (isOwn ? WRITE_AFTER.own : WRITE_AFTER.heard);
  };
  const erase = async ({ print: { name } }: QuarantinedRequest): Promise<void> => {
    const isGone = await store.erase(`${QUARANTINE_KEY}/${name}`);
    log.changed("quarantine-ended", { print: name, isGone });
  };
  const release = (name: string): void => {
    evidence.forget(name);
    written.delete(name);
    logged.delete(name);
    released.set(name, clock.now());
  };
  const look = async (): Promise<void> => {
    const now = clock.now();
    for (const [name, at] of released) if (now - at > RELEASE_TIME) released.delete(name);
    const proven = evidence.proven(now);
    for (const { suspect, crashes } of proven) note(suspect.name, { crashes, way: "counted" });
    const names = new Set([...proven.map(({ suspect }) => suspect.name), ...stored.keys()]);
    for (const name of [...logged, ...written.keys()]) {
      if (names.has(name)) continue;
      logged.delete(name);
      written.delete(name);
    }
    for (const one of proven.filter((each) => isDue(each, now))) await write(one);
    if (!parts.tidies()) return;
    for (const entry of stored.values()) if (leftOf(entry) <= 0) await erase(entry);
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
      const entries = [...objects].flatMap((object) => read(object) ?? []);
      stored = new Map(entries.map((entry) => [entry.print.name, entry]));
      for (const { print, crashes } of entries) note(print.name, { crashes, way: "store" });
      // Taken out by an operator, or after its time: what was counted before doesn't count again.
      for (const name of before.keys()) if (!stored.has(name)) release(name);
    },
    counts: () => evidence.counts(clock.now()),
    get writtenVersion() {
      return writtenVersion;
    },
    list: () => [...stored.values()],
    start: () => void run(),
    close: () => {
      closed = true;
    },
  };
}

/** The text's JSON; undefined where it is none. */
function parseText(text: unknown): unknown {
  if (typeof text !== "string") return undefined;
  try {
    return JSON.parse(text);
  } catch {
    // The caller logs what can't be read.
    return undefined;
  }
}
