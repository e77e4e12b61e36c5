/**
 * Reads HTTP responses from the bytes of a connection.
 *
 * @module
 */

/** Receives what is read. */
export interface ResponseListener {
  readonly onHead: (status: number) => void;
  /** Called at the end of a complete response, with whether it was announced as the last one of its connection. */
  readonly onEnd: (isLast: boolean) => void;
}

/** Reads responses with a length or in chunks. A response that ends with its connection never counts as complete. */
export interface ResponseReader {
  push(bytes: Buffer): void;
}

enum Part {
  Head,
  Body,
  ChunkSize,
  Chunk,
  Trailer,
}

const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";
const HEXADECIMAL = 16;

/** Creates a reader for one connection. */
export function createResponseReader({ onHead, onEnd }: ResponseListener): ResponseReader {
  let waiting: Buffer = Buffer.alloc(0);
  let part = Part.Head;
  /** Bytes left of the body or chunk, with the end of line behind a chunk. */
  let left = 0;
  let isLast = false;
  const takeUntil = (end: string): string | undefined => {
    const index = waiting.indexOf(end);
    if (index < 0) return undefined;
    const text = waiting.toString("latin1", 0, index);
    waiting = waiting.subarray(index + end.length);
    return text;
  };
  const endResponse = (): void => {
    part = Part.Head;
    onEnd(isLast);
  };
  const readHead = (): boolean => {
    const head = takeUntil(HEAD_END);
    if (head === undefined) return false;
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    const isChunked = /^transfer-encoding: *chunked/im.test(head);
    isLast = /^connection: *close/im.test(head);
    onHead(Number(head.split(" ")[1]));
    part = isChunked ? Part.ChunkSize : Part.Body;
    left = isChunked || length === undefined ? Infinity : Number(length);
    return true;
  };
  const readBytes = (): boolean => {
    const count = Math.min(left, waiting.length);
    waiting = waiting.subarray(count);
    left -= count;
    if (left > 0) return false;
    if (part === Part.Chunk) part = Part.ChunkSize;
    else endResponse();
    return true;
  };
  const readChunkSize = (): boolean => {
    const size = takeUntil(LINE_END);
    if (size === undefined) return false;
    left = parseInt(size, HEXADECIMAL) + LINE_END.length;
    part = left > LINE_END.length ? Part.Chunk : Part.Trailer;
    return true;
  };
  const readTrailer = (): boolean => {
    if (takeUntil(LINE_END) === undefined) return false;
    endResponse();
    return true;
  };
  const readNext = (): boolean => {
    if (part === Part.Head) return readHead();
    if (part === Part.ChunkSize) return readChunkSize();
    if (part === Part.Trailer) return readTrailer();
    return readBytes();
  };
  return {
    push: (bytes) => {
      waiting = waiting.length === 0 ? bytes : Buffer.concat([waiting, bytes]);
      while (readNext());
    },
  };
}
