import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Compares two secrets in a time that doesn't depend on how far they agree, so that a caller can't find a
 * credential one character after another by measuring.
 */
export function equalSecrets(found: string, expected: string): boolean {
  return timingSafeEqual(digest(found), digest(expected));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** The credential in an `authorization: Bearer …` header, or an empty text. */
export function bearerOf(header: string | null | undefined): string {
  return /^Bearer (.+)$/i.exec(header ?? "")?.[1] ?? "";
}
