import { createHash } from "node:crypto";
import type { Random } from "../interface/index.ts";
import { SLOT_COUNT } from "../version/index.ts";
import { formatRequestId } from "./request_id.ts";

const UNIQUE_LENGTH = 32;
const WORDS = 4;
const WORD_RANGE = 2 ** 32;
const WORD_DIGITS = 8;

/**
 * Derives the id of a request from the caller's idempotency key. The same key of the same account
 * yields the same id, so all its requests reach one owner, whichever instance receives them.
 *
 * @returns The id and its slot.
 */
export function keyedId(account: string, key: string): { id: string; slot: number } {
  const digest = createHash("sha256").update(account).update("\0").update(key).digest();
  const slot = digest.readUInt32BE(0) % SLOT_COUNT;
  const unique = digest.subarray(WORDS).toString("hex").slice(0, UNIQUE_LENGTH);
  return { id: formatRequestId(slot, unique), slot };
}

/** Generates a random request id for the given slot. */
export function generateRequestId(slot: number, random: Random): string {
  const words = Array.from({ length: WORDS }, () =>
    Math.floor(random.next() * WORD_RANGE)
      .toString(16)
      .padStart(WORD_DIGITS, "0"),
  );
  return formatRequestId(slot, words.join(""));
}

/** Hashes a request, to detect that an idempotency key is used again with a different request. */
export function fingerprintSubmission(request: {
  service: string;
  path: string;
  body: string;
}): string {
  const { service, path, body } = request;
  return createHash("sha256").update(`${service}\0${path}\0`).update(body).digest("base64url");
}
