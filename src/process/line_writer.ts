import { write } from "node:fs";

/** Writes lines without blocking the caller. */
export interface LineWriter {
  write(line: string): void;
  /**
   * Number of lines dropped because the reader was too slow. A failed write counts as one line,
   * however many lines it contained.
   */
  readonly dropped: number;
  /** Resolves when all accepted lines have been written or have failed. */
  flush(): Promise<void>;
}

/** Maximum number of buffered characters: some seconds of output of a busy instance. */
const MAX_BUFFERED_CHARACTERS = 524_288;

/**
 * Creates a writer that uses asynchronous writes to a file descriptor, one at a time.
 *
 * A synchronous write to a pipe whose reader has stopped blocks the whole process and all its
 * requests. This writer drops and counts lines above a limit, and reports the number with the next
 * line written.
 *
 * @param descriptor File descriptor, such as 1 for standard output.
 */
export function createLineWriter(descriptor: number): LineWriter {
  let buffer: string[] = [];
  let bufferedCharacters = 0;
  let isWriting = false;
  /** Whether the next write begins in this turn of the event loop, with all lines of the turn. */
  let isScheduled = false;
  let dropped = 0;
  let unreported = 0;
  let flushWaiters: (() => void)[] = [];

  const resolveFlushes = (): void => {
    const waiters = flushWaiters;
    flushWaiters = [];
    for (const waiter of waiters) waiter();
  };
  const schedule = (): void => {
    if (isWriting || isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      writeNext();
    });
  };
  const writeNext = (): void => {
    if (isWriting || buffer.length === 0) {
      if (!isWriting) resolveFlushes();
      return;
    }
    isWriting = true;
    const bytes = Buffer.from(`${buffer.join("\n")}\n`);
    buffer = [];
    bufferedCharacters = 0;
    writeAll(bytes);
  };
  const writeAll = (bytes: Buffer): void => {
    write(descriptor, bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        writeAll(bytes.subarray(written));
        return;
      }
      // The reader is gone and nothing can be reported to it, so the lines count as dropped.
      if (error !== null) dropped++;
      isWriting = false;
      writeNext();
    });
  };
  return {
    write: (line) => {
      if (bufferedCharacters > MAX_BUFFERED_CHARACTERS) {
        dropped++;
        unreported++;
        return;
      }
      if (unreported > 0) {
        buffer.push(JSON.stringify({ step: "log-lines-dropped", count: unreported }));
        unreported = 0;
      }
      buffer.push(line);
      bufferedCharacters += line.length;
      schedule();
    },
    get dropped() {
      return dropped;
    },
    flush: () =>
      new Promise((resolve) => {
        flushWaiters.push(resolve);
        writeNext();
      }),
  };
}
