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
  match(blocks: readonly string[]): number;
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
  shrink(most: number): string[];
}

/** Makes an empty cache; its owner bounds it with {@linkcode PrefixCache.shrink}. */
export function createPrefixCache(): PrefixCache {
  // A set keeps its order of insertion: taking out and putting back makes an entry the latest used.
  const held = new Set<string>();
  const touch = (block: string): void => {
    held.delete(block);
    held.add(block);
  };
  return {
    size: () => held.size,
    match: (blocks) => {
      const missing = blocks.findIndex((block) => !held.has(block));
      const found = missing < 0 ? blocks.length : missing;
      // From the last to the first: a block is worth nothing once one before it has gone.
      for (let index = found - 1; index >= 0; index--) touch(blocks[index] ?? "");
      return found;
    },
    store: (blocks) => {
      const added = blocks.filter((block) => !held.has(block));
      for (const block of blocks.toReversed()) touch(block);
      return added;
    },
    shrink: (most) => {
      const dropped: string[] = [];
      for (const block of held) {
        if (held.size <= most) break;
        held.delete(block);
        dropped.push(block);
      }
      return dropped;
    },
  };
}
