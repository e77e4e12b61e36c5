import { z } from "zod";
import { PROVING_CRASHES } from "../decision/index.ts";
import type { FeedObject } from "../interface/index.ts";
import { printNamed } from "../request/index.ts";
import type { RequestPrint } from "../request/index.ts";

/** A request under which workers ended, as the store keeps it. */
export interface CrashRecord {
  readonly print: RequestPrint;
  /** Workers that had ended under it when it was written. */
  readonly crashes: number;
  /** When it was written, in milliseconds since 1970. */
  readonly since: number;
  /** The store's version of the object. */
  readonly version: number;
}

const NAME = /^[0-9a-f]{16}$/;
const valueSchema = z.object({ crashes: z.number(), since: z.number() });

/** Whether no worker gets a request under which so many ended; one with fewer is only suspected. */
export function isQuarantined(crashes: number): boolean {
  return crashes >= PROVING_CRASHES;
}

/** Reads a record; undefined where the object holds none, as anybody may write to the store. */
export function readCrashRecord({
  name,
  version,
  value: text,
}: FeedObject): CrashRecord | undefined {
  const value = valueSchema.safeParse(parseText(text));
  if (!NAME.test(name) || !value.success) return undefined;
  return { print: printNamed(name), version, ...value.data };
}

/** What is written of a request. */
export function crashRecordText({
  crashes,
  since,
}: Pick<CrashRecord, "crashes" | "since">): string {
  return JSON.stringify({ crashes, since: Math.round(since) });
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
