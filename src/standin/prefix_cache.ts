/** Prompt tokens that one block of a prefix covers. */
export const BLOCK_TOKENS = 64;

/** The blocks of prompts that an engine still has in memory, least recently used first out. */
export interface PrefixCache {
  /** Blocks held. */
  size(): number;
  /**
   * Counts how many leading blocks of a prompt are held, and marks them as used.
   *
   * @param blocks Hashes, each over all blocks up to it.
   */
  matchPrefix(blocks: readonly string[]): number;
  /**
   * Takes in a prompt's blocks.
   *
   * @returns Those that were not held before.
   */
  store(blocks: readonly string[]): string[];
  /**
   * Drops the least recently used blocks until at most `most` are left.
   *
   * @returns The blocks dropped.
   */
  evictTo(maxBlocks: number): string[];
}

/** Makes an empty cache; its owner bounds it with {@linkcode PrefixCache.shrink}. */
export function createPrefixCache(): PrefixCache {
  // A set keeps its order of insertion: taking out and putting back makes an entry the latest used.
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
      // From the last to the first: a block is worth nothing once one before it has gone.
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
