import { write } from "node:fs";

/** Writes lines without blocking the caller. */
export interface LineWriter {
  write(line: string): void;
  /** Number of lines dropped because the reader was too slow, or because a write failed. */
  readonly dropped: number;
  /** Resolves when all accepted lines have been written or have failed. */
  flush(): Promise<void>;
}

/** Maximum number of buffered characters: some seconds of output of a busy instance. */
const GREATEST_WAITING = 524_288;

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
  let waiting: string[] = [];
  let size = 0;
  let isWriting = false;
  let dropped = 0;
  let untold = 0;
  let idle: (() => void)[] = [];

  const settle = (): void => {
    const waiters = idle;
    idle = [];
    for (const waiter of waiters) waiter();
  };
  const next = (): void => {
    if (isWriting || waiting.length === 0) {
      if (!isWriting) settle();
      return;
    }
    isWriting = true;
    const bytes = Buffer.from(`${waiting.join("\n")}\n`);
    waiting = [];
    size = 0;
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
      next();
    });
  };
  return {
    write: (line) => {
      if (size > GREATEST_WAITING) {
        dropped++;
        untold++;
        return;
      }
      if (untold > 0) {
        waiting.push(JSON.stringify({ step: "log-lines-dropped", count: untold }));
        untold = 0;
      }
      waiting.push(line);
      size += line.length;
      if (!isWriting && waiting.length === 1) setImmediate(next);
    },
    get dropped() {
      return dropped;
    },
    flush: () =>
      new Promise((resolve) => {
        idle.push(resolve);
        next();
      }),
  };
}
