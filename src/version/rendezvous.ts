import { createHash } from "node:crypto";

/**
 * Orders candidates for a key by rendezvous hashing: everyone who knows the same candidates finds the same
 * order, and a candidate that goes changes nothing but its own places.
 *
 * @param key What is to be placed.
 * @param candidates Ids to order.
 * @returns The candidates, first choice first.
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

/** A 32-bit hash of a text; slow enough to be kept where it is used often. */
export function hashText(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32LE(0);
}

/** Mixes two 32-bit hashes into one, so that each pair gets a score of its own. */
export function mixHashes(a: number, b: number): number {
  let mixed = (a ^ Math.imul(b, 0x9e3779b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
