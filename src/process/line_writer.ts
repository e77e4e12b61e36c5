import { write } from "node:fs";

/** Writes lines without ever holding up whoever writes them. */
export interface LineWriter {
  write(line: string): void;
  /** Lines that were dropped because the reader was too slow. */
  readonly dropped: number;
  /** Resolves when all that was taken has been written or has failed. */
  flush(): Promise<void>;
}

/** Bytes that may wait: some seconds of a busy instance's lines. */
const GREATEST_WAITING = 524_288;

/**
 * Writes to a descriptor by asynchronous writes, one at a time.
 *
 * What goes wrong otherwise: a write to a pipe whose reader has stopped blocks the whole process, and every
 * request with it. Here lines beyond a bound are dropped and counted, and the next line written says so.
 *
 * @param descriptor Such as 1 for standard output.
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
      // The reader has gone: there is nobody left to tell, so the lines count as dropped.
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
