/** Prompt tokens in one block of a prefix. */
export const BLOCK_TOKENS = 64;

/** The prompt blocks that an engine keeps in memory, evicted in least-recently-used order. */
export interface PrefixCache {
  /** Returns the number of blocks in the cache. */
  size(): number;
  /**
   * Counts the leading blocks of a prompt that are in the cache, and marks them as used.
   *
   * @param blocks Hashes of the blocks, each over all blocks up to its own.
   */
  matchPrefix(blocks: readonly string[]): number;
  /**
   * Adds the blocks of a prompt.
   *
   * @returns The blocks that were not in the cache before.
   */
  store(blocks: readonly string[]): string[];
  /**
   * Evicts the least recently used blocks until at most `maxBlocks` are left.
   *
   * @returns The evicted blocks.
   */
  evictTo(maxBlocks: number): string[];
}

/** Creates an empty cache. Its owner limits its size with `evictTo`. */
export function createPrefixCache(): PrefixCache {
  // A set keeps its insertion order: deleting and adding an entry again makes it the most recently
  // used.
  const cachedBlocks = new Set<string>();
  const markAsUsed = (block: string): void => {
    cachedBlocks.delete(block);
    cachedBlocks.add(block);
  };
  return {
    size: () => cachedBlocks.size,
    matchPrefix: (blocks) => {
      const missing = blocks.findIndex((block) => !cachedBlocks.has(block));
      const matched = missing < 0 ? blocks.length : missing;
      // The last block is marked first, so that it is evicted first: a block is useless without
      // those before it.
      for (let index = matched - 1; index >= 0; index--) markAsUsed(blocks[index] ?? "");
      return matched;
    },
    store: (blocks) => {
      const added = blocks.filter((block) => !cachedBlocks.has(block));
      for (const block of blocks.toReversed()) markAsUsed(block);
      return added;
    },
    evictTo: (maxBlocks) => {
      const dropped: string[] = [];
      for (const block of cachedBlocks) {
        if (cachedBlocks.size <= maxBlocks) break;
        cachedBlocks.delete(block);
        dropped.push(block);
      }
      return dropped;
    },
  };
}
