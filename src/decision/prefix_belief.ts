/**
 * Which worker probably still has which prompt prefix in its cache.
 *
 * Load that it answers: many prompts that begin alike, such as a club's roster or a reel's house rules.
 * Computing a prefix of 2,000 tokens again takes a quarter of a second of a worker; a worker that has it
 * answers at once. Cache events say who has what, but they come late and some never come, and the cache is
 * small: a belief that isn't renewed goes stale. Trusting it for good, one would notice work that follows
 * caches long emptied, onto busy workers, for nothing.
 *
 * So a belief halves with age. The time is that in which a full batch writes the whole cache anew, the
 * machine's cache divided by its speed: after it an unused prefix has most likely been evicted. Own
 * dispatches count as a belief as well: the prefix is computed there, whether or not an event says so.
 *
 * @module
 */

/** Beliefs about the prefix caches of all workers. */
export interface PrefixBelief {
  /** The worker has, or will have in a moment, these blocks. */
  stored(worker: string, blocks: readonly string[], now: number): void;
  evicted(worker: string, blocks: readonly string[]): void;
  /**
   * Finds workers that probably hold the beginning of a prompt.
   *
   * @param prefix Hashes of the prompt's leading blocks, each over all blocks up to it.
   * @returns For each worker found, at most {@linkcode GREATEST_MATCHES}, the part of the prefix, from 0 to
   * 1, that is expected to be there.
   */
  match(prefix: readonly string[], now: number): Map<string, number>;
}

/** A prompt is compared with so many holders; a prefix that is on more workers is anywhere anyway. */
export const GREATEST_MATCHES = 4;

/** About 10 MB of memory at 100 bytes a belief. */
const GREATEST_BLOCKS = 50_000;
const GREATEST_HOLDERS = 8;

/**
 * Makes beliefs about caches that nothing is known of.
 *
 * @param halfLife Milliseconds after which an unrenewed belief has halved.
 */
export function createPrefixBelief(halfLife: number): PrefixBelief {
  /** By block hash, the least recently renewed block first. */
  const holders = new Map<string, Map<string, number>>();
  const renew = (block: string, worker: string, now: number): void => {
    const known = holders.get(block) ?? new Map<string, number>();
    holders.delete(block);
    holders.set(block, known);
    known.delete(worker);
    known.set(worker, now);
    if (known.size > GREATEST_HOLDERS) removeFirst(known);
  };
  return {
    stored: (worker, blocks, now) => {
      for (const block of blocks) renew(block, worker, now);
      while (holders.size > GREATEST_BLOCKS) removeFirst(holders);
    },
    evicted: (worker, blocks) => {
      for (const block of blocks) {
        const known = holders.get(block);
        known?.delete(worker);
        if (known?.size === 0) holders.delete(block);
      }
    },
    match: (prefix, now) => {
      const found = new Map<string, number>();
      for (let length = prefix.length; length > 0 && found.size < GREATEST_MATCHES; length--) {
        const known = holders.get(prefix[length - 1] ?? "");
        for (const [worker, at] of known ?? []) {
          if (found.has(worker) || found.size >= GREATEST_MATCHES) continue;
          found.set(worker, (length / prefix.length) * 2 ** (-(now - at) / halfLife));
        }
      }
      return found;
    },
  };
}

function removeFirst(map: Map<string, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
