/**
 * The bytes of a connection that were received and not yet parsed.
 *
 * If every received piece were joined with all bytes before it and searched from the start, a line that arrives in
 * small pieces would cost time that grows with the square of its length. A faulty worker could occupy the process
 * with that.
 *
 * @module
 */

/** Bytes in the order of their arrival, removed from the front. */
export interface ReceivedBytes {
  /** Number of bytes. */
  readonly length: number;
  /** Adds bytes at the end. They are not copied if there are no others. */
  append(bytes: Buffer): void;
  /** Removes up to the given number of bytes and returns them. They are never overwritten. */
  take(count: number): Buffer;
  /** Removes the text up to the delimiter, and the delimiter; undefined if it hasn't arrived. */
  takeThrough(delimiter: string): string | undefined;
}

/** Factor by which the storage grows, so that each byte is copied a bounded number of times. */
const GROWTH_FACTOR = 2;

/** Creates an empty sequence. */
export function createReceivedBytes(): ReceivedBytes {
  let bytes: Buffer = Buffer.alloc(0);
  /** Free bytes directly behind `bytes`. */
  let spare: Buffer = Buffer.alloc(0);
  /** Number of bytes at the front in which no delimiter begins. */
  let searched = 0;

  const grow = (added: number): void => {
    const storage = Buffer.allocUnsafe(GROWTH_FACTOR * (bytes.length + added));
    bytes.copy(storage);
    spare = storage.subarray(bytes.length);
    bytes = storage.subarray(0, bytes.length);
  };
  const remove = (count: number): void => {
    bytes = bytes.subarray(count);
    searched = 0;
  };
  return {
    get length() {
      return bytes.length;
    },
    append: (added) => {
      if (bytes.length === 0) {
        bytes = added;
        spare = Buffer.alloc(0);
        return;
      }
      if (spare.length < added.length) grow(added.length);
      added.copy(spare);
      bytes = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length + added.length);
      spare = spare.subarray(added.length);
    },
    take: (count) => {
      const taken = bytes.subarray(0, count);
      remove(taken.length);
      return taken;
    },
    takeThrough: (delimiter) => {
      const end = bytes.indexOf(delimiter, searched, "latin1");
      if (end < 0) {
        searched = Math.max(0, bytes.length - delimiter.length + 1);
        return undefined;
      }
      const text = bytes.toString("latin1", 0, end);
      remove(end + delimiter.length);
      return text;
    },
  };
}
