import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns whether two secrets are equal, in a time that doesn't depend on the length of their common
 * prefix. A caller can't find a credential character by character by measuring the response time.
 */
export function equalSecrets(received: string, expected: string): boolean {
  return timingSafeEqual(digest(received), digest(expected));
}

function digest(text: string): Buffer {
  return createHash("sha256").update(text).digest();
}

/** Returns the token of an `Authorization: Bearer …` header, or an empty string without one. */
export function bearerToken(header: string | null | undefined): string {
  return /^Bearer (.+)$/i.exec(header ?? "")?.[1] ?? "";
}
