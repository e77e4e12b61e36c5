import { z } from "zod";
import type { FeedObject } from "../interface/index.ts";
import { fingerprintFromName } from "../request/index.ts";
import type { RequestFingerprint } from "../request/index.ts";

/** A request, or a part of prompts, during which workers crashed, as recorded in the store. */
export interface CrashRecord {
  /** Its fingerprint. */
  readonly fingerprint: RequestFingerprint;
  /** Number of workers that had crashed while running it when the record was written. */
  readonly crashes: number;
  /** Time of the write, in milliseconds since the Unix epoch. */
  readonly since: number;
  /** The store's version of the object. */
  readonly version: number;
}

const NAME = /^(part-)?[0-9a-f]{16}$/;
const valueSchema = z.object({ crashes: z.number(), since: z.number() });

/** Parses a record. Returns undefined if the object is invalid, because any client may write to the store. */
export function readCrashRecord({
  name,
  version,
  value: text,
}: FeedObject): CrashRecord | undefined {
  const value = valueSchema.safeParse(parseText(text));
  if (!NAME.test(name) || !value.success) return undefined;
  return { fingerprint: fingerprintFromName(name), version, ...value.data };
}

/** Formats the value of a record for the store. */
export function crashRecordText({
  crashes,
  since,
}: Pick<CrashRecord, "crashes" | "since">): string {
  return JSON.stringify({ crashes, since: Math.round(since) });
}

/** Parses JSON text. Returns undefined if it is not valid JSON. */
function parseText(text: unknown): unknown {
  if (typeof text !== "string") return undefined;
  try {
    return JSON.parse(text);
  } catch {
    // The caller logs unreadable records.
    return undefined;
  }
}
