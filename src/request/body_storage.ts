/**
 * The bytes of a body until it is complete.
 *
 * A body may arrive in pieces of one byte. Each piece that Node.js delivers is an object that also keeps the bytes around
 * it, hundreds of times its own size, so the pieces are copied.
 *
 * @module
 */

/** The bytes that have arrived of one body. */
export interface BodyStorage {
  /** Number of bytes that have arrived. */
  readonly length: number;
  /** Bytes of memory that hold them. */
  readonly capacity: number;
  append(piece: Buffer): void;
  /** Returns the whole body and forgets it. */
  take(): Buffer;
}

/** Bounds of the size of a block, in bytes. */
const MIN_BLOCK = 1_024;
const MAX_BLOCK = 65_536;

/** Creates the storage of a body of which nothing has arrived. */
export function createBodyStorage(): BodyStorage {
  let blocks: Buffer[] = [];
  /** Bytes used in the last block. */
  let used = 0;
  let length = 0;
  let capacity = 0;
  const addBlock = (least: number): Buffer => {
    const size = Math.max(least, Math.min(MAX_BLOCK, Math.max(MIN_BLOCK, capacity)));
    const block = Buffer.allocUnsafeSlow(size);
    blocks.push(block);
    capacity += size;
    used = 0;
    return block;
  };
  const append = (piece: Buffer): void => {
    let rest = piece;
    while (rest.length > 0) {
      const last = blocks.at(-1);
      const block = last === undefined || used === last.length ? addBlock(rest.length) : last;
      const copied = rest.copy(block, used);
      used += copied;
      length += copied;
      rest = rest.subarray(copied);
    }
  };
  return {
    get length() {
      return length;
    },
    get capacity() {
      return capacity;
    },
    append,
    take: () => {
      const [first, ...others] = blocks;
      const whole =
        first === undefined || others.length === 0
          ? (first ?? Buffer.alloc(0)).subarray(0, length)
          : Buffer.concat(blocks, length);
      blocks = [];
      used = length = capacity = 0;
      return whole;
    },
  };
}
