import { createHash } from "node:crypto";

/**
 * Ranks candidates for a key by rendezvous hashing. All instances compute the same order for the same candidates,
 * and the removal of a candidate doesn't change the relative order of the others.
 *
 * @param key The key to place.
 * @param candidates The candidates' ids.
 * @returns The candidates, best first.
 *
 * @example
 * ```ts
 * const [first, second] = rendezvousOrder("samphireshore/slots", ["e1#4f", "e2#90", "e3#07"]);
 * ```
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
  const keyHash = hashText(key);
  return candidates
    .map((id) => ({ id, score: mixHashes(hashText(id), keyHash) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Returns a 32-bit hash of a text. It uses SHA-256, so keep the result rather than computing it in a loop. */
export function hashText(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32LE(0);
}

/** Combines two 32-bit hashes into one. */
export function mixHashes(a: number, b: number): number {
  let mixed = (a ^ Math.imul(b, 0x9e3779b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
