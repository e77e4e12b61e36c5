/**
 * Estimates which workers have which prompt prefixes in their cache.
 *
 * Load: many prompts with the same beginning, such as the same instructions or the same list of
 * names. Computing a prefix of 2,000 tokens again takes a worker a quarter of a second; a worker
 * that has it cached answers at once. Cache events report what each worker has, but they arrive
 * late, some never arrive, and the cache is small, so old entries become wrong. Symptom without
 * aging: work follows caches that were emptied long ago, to busy workers and without benefit.
 *
 * Mechanism: the probability of an entry falls with its age. In the time in which a full batch
 * overwrites the whole cache, the machine's cache size divided by its speed, half of the unused
 * prefixes will have been evicted. Once eviction events arrive at all, the absence of one is
 * evidence that the prefix is still there: one in five events is assumed to be lost, twice the
 * usual fraction, and the probability follows from both. The index also records the instance's own
 * dispatches, because the prefix is computed there whether or not an event reports it.
 *
 * @module
 */
import { removeFirstEntry } from "./remove_first.ts";

/** An estimate of the prefix caches of all workers. */
export interface PrefixCacheIndex {
  /** Records that the worker has these blocks or will have them in a moment. */
  recordStored(worker: string, blocks: readonly string[], now: number): void;
  /** Records that the worker has evicted these blocks. */
  recordEvicted(worker: string, blocks: readonly string[]): void;
  /**
   * Finds workers that probably have the beginning of a prompt cached.
   *
   * @param prefix Hashes of the prompt's leading blocks, each over all blocks up to it.
   * @returns For each worker found, at most {@linkcode MAX_MATCHES}, the expected fraction of the
   * prefix, from 0 to 1, that is cached there.
   */
  match(prefix: readonly string[], now: number): Map<string, number>;
}

/**
 * The maximum number of workers with which a prompt is matched; a prefix on more workers is easy to
 * find by chance.
 */
export const MAX_MATCHES = 4;

/** About 10 MB of memory at 100 bytes per entry. */
const MAX_BLOCKS = 50_000;
/** Workers stored per block; the least recently updated is dropped. */
const MAX_HOLDERS = 8;
/** The fraction of eviction events that is assumed to be lost, once any have arrived. */
const MISSED_EVENT_FRACTION = 0.2;

/**
 * Creates an empty index.
 *
 * @param halfLife Milliseconds in which half of the unused blocks are evicted.
 */
export function createPrefixCacheIndex(halfLife: number): PrefixCacheIndex {
  /**
   * The time of the last update by block hash and worker, the least recently updated block first.
   */
  const holders = new Map<string, Map<string, number>>();
  let missedFraction = 1;
  /**
   * Returns the probability that a block is still cached, with no event about it for `age`
   * milliseconds.
   */
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
    if (blockHolders.size > MAX_HOLDERS) removeFirstEntry(blockHolders);
  };
  return {
    recordStored: (worker, blocks, now) => {
      for (const block of blocks) renew(block, worker, now);
      while (holders.size > MAX_BLOCKS) removeFirstEntry(holders);
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
