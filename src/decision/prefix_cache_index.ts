/**
 * Which worker probably still has which prompt prefix in its cache.
 *
 * Load that it answers: many prompts that begin alike, such as a club's roster or a reel's house rules.
 * Computing a prefix of 2,000 tokens again takes a quarter of a second of a worker; a worker that has it
 * answers at once. Cache events say who has what, but they come late and some never come, and the cache is
 * small: a belief that isn't renewed goes stale. Trusting it for good, one would notice work that follows
 * caches long emptied, onto busy workers, for nothing.
 *
 * So a belief weakens with age. In the time in which a full batch writes the whole cache anew, the machine's
 * cache divided by its speed, half of the unused prefixes will have been evicted. Where eviction events come
 * at all, hearing of none speaks for the prefix: one in five is reckoned as missedFraction, twice the part that is
 * usual, and the probability that it is still there follows from both. Own dispatches count as a belief as well:
 * the prefix is computed there, whether or not an event says so.
 *
 * @module
 */
import { removeFirst } from "./remove_first.ts";

/** Beliefs about the prefix caches of all workers. */
export interface PrefixCacheIndex {
  /** The worker has, or will have in a moment, these blocks. */
  recordStored(worker: string, blocks: readonly string[], now: number): void;
  recordEvicted(worker: string, blocks: readonly string[]): void;
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
export const MAX_MATCHES = 4;

/** About 10 MB of memory at 100 bytes a belief. */
const MAX_BLOCKS = 50_000;
const MAX_HOLDERS = 8;
/** The part of eviction events that is reckoned as lost, once any have come. */
const MISSED_EVENT_FRACTION = 0.2;

/**
 * Makes beliefs about caches that nothing is blockHolders of.
 *
 * @param halfLife Milliseconds in which half of the unused blocks are evicted.
 */
export function createPrefixCacheIndex(halfLife: number): PrefixCacheIndex {
  /** By block hash, the least recently renewed block first. */
  const holders = new Map<string, Map<string, number>>();
  let missedFraction = 1;
  /** The probability that a block is still there, of which nothing was heard for so long. */
  const probability = (age: number): number => {
    const survival = 2 ** (-age / halfLife);
    return survival / (survival + missedFraction * (1 - survival));
  };
  const renew = (block: string, worker: string, now: number): void => {
    const blockHolders = holders.get(block) ?? new Map<string, number>();
    holders.delete(block);
    holders.set(block, blockHolders);
    blockHolders.delete(worker);
    blockHolders.set(worker, now);
    if (blockHolders.size > MAX_HOLDERS) removeFirst(blockHolders);
  };
  return {
    recordStored: (worker, blocks, now) => {
      for (const block of blocks) renew(block, worker, now);
      while (holders.size > MAX_BLOCKS) removeFirst(holders);
    },
    recordEvicted: (worker, blocks) => {
      missedFraction = MISSED_EVENT_FRACTION;
      for (const block of blocks) {
        const blockHolders = holders.get(block);
        blockHolders?.delete(worker);
        if (blockHolders?.size === 0) holders.delete(block);
      }
    },
    match: (prefix, now) => {
      const found = new Map<string, number>();
      for (let length = prefix.length; length > 0 && found.size < MAX_MATCHES; length--) {
        const blockHolders = holders.get(prefix[length - 1] ?? "");
        for (const [worker, at] of blockHolders ?? []) {
          if (found.has(worker) || found.size >= MAX_MATCHES) continue;
          found.set(worker, (length / prefix.length) * probability(now - at));
        }
      }
      return found;
    },
  };
}
