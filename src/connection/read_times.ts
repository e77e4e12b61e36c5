/** When bytes of a connection were read that wait to be parsed. */
export interface ReadTimes {
  /** Adds bytes that were read at a time, in the clock's milliseconds. */
  add(bytes: number, now: number): void;
  /** Removes the first bytes and returns when the last of them was read. */
  take(bytes: number): number;
}

/** Reads within this time count as one, in milliseconds, since a caller may send single bytes. */
const RESOLUTION = 10;

interface Read {
  bytes: number;
  readonly at: number;
}

/** Creates the record of a connection on which nothing waits. */
export function createReadTimes(): ReadTimes {
  const reads: Read[] = [];
  let takenAt = 0;
  return {
    add: (bytes, now) => {
      const last = reads.at(-1);
      if (last !== undefined && now - last.at < RESOLUTION) last.bytes += bytes;
      else reads.push({ bytes, at: now });
    },
    take: (bytes) => {
      let left = bytes;
      for (let first = reads[0]; first !== undefined && left > 0; first = reads[0]) {
        takenAt = first.at;
        const taken = Math.min(first.bytes, left);
        first.bytes -= taken;
        left -= taken;
        if (first.bytes === 0) reads.shift();
      }
      return takenAt;
    },
  };
}
