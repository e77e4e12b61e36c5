import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/**
 * Identifies equal requests regardless of the ids that their callers gave them, or a part that the prompts of different
 * requests share.
 */
export interface RequestFingerprint {
  /** 16 hexadecimal digits; for a part of prompts, with a prefix. */
  readonly name: string;
  /** The first 32 bits of the digits. Instances exchange their counts under this key. */
  readonly key: number;
}

/** Hexadecimal digits of a name and of a key. */
const NAME_DIGITS = 16;
const KEY_DIGITS = 8;
const HEXADECIMAL = 16;
/** Start of the names of parts of prompts. */
const PART_PREFIX = "part-";
/** Maximum number of parts whose fingerprints are cached; many requests have the same parts. */
const MAX_CACHED_PARTS = 16_384;
const partFingerprints = new Map<string, RequestFingerprint>();

/**
 * Computes the fingerprint of a request.
 *
 * @param account Name of the client account; undefined if the route requires none.
 */
export function fingerprintRequest(
  { method, url, headers }: Pick<IncomingMessage, "method" | "url" | "headers">,
  { account, body }: { readonly account: string | undefined; readonly body: Buffer },
): RequestFingerprint {
  // No part of the head can contain the separator.
  const head = [account ?? "", method ?? "", headers.host ?? "", url ?? ""].join("\n");
  const digest = createHash("sha256").update(`${head}\n`).update(body).digest("hex");
  return fingerprintFromName(digest.slice(0, NAME_DIGITS));
}

/** Returns the fingerprint with the given name. */
export function fingerprintFromName(name: string): RequestFingerprint {
  const digits = fingerprintDigits(name);
  return { name, key: Number.parseInt(digits.slice(0, KEY_DIGITS), HEXADECIMAL) };
}

/** Returns the 16 hexadecimal digits in a fingerprint's name. */
export function fingerprintDigits(name: string): string {
  return isPartName(name) ? name.slice(PART_PREFIX.length) : name;
}

/** Returns the name of the part of prompts whose fingerprint has the digits of this number. */
export function partName(digits: bigint): string {
  return `${PART_PREFIX}${digits.toString(HEXADECIMAL).padStart(NAME_DIGITS, "0")}`;
}

/** Whether a fingerprint's name is that of a part of prompts. */
export function isPartName(name: string): boolean {
  return name.startsWith(PART_PREFIX);
}

/** Computes the fingerprint of a part of the prompts that a service gets. */
export function fingerprintPart(service: string, id: string): RequestFingerprint {
  const subject = `${service}\n${id}`;
  const known = partFingerprints.get(subject);
  if (known !== undefined) return known;
  const digest = createHash("sha256").update(subject).digest("hex");
  const fingerprint = fingerprintFromName(`${PART_PREFIX}${digest.slice(0, NAME_DIGITS)}`);
  if (partFingerprints.size >= MAX_CACHED_PARTS) partFingerprints.clear();
  partFingerprints.set(subject, fingerprint);
  return fingerprint;
}
