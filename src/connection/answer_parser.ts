/**
 * Reads HTTP/1.1 answers from the bytes of one connection.
 *
 * The client of the HTTP library takes an answer without a length that is reset on the way for a whole one.
 * For a proxy that is a wrong answer passed on as a right one; so the end of an answer is judged here.
 *
 * @module
 */
import type { AnswerHead } from "../interface/index.ts";

/** What the parser tells of an answer. */
export interface AnswerSink {
  head(head: AnswerHead): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  end(): void;
}

/** Reads one connection's answers, one after the other. */
export interface AnswerParser {
  /**
   * Takes bytes.
   *
   * @returns A fault where they are no answer, or come where no answer is due.
   */
  feed(bytes: Buffer): AnswerFault | undefined;
  /**
   * The peer has closed its side in an orderly way.
   *
   * @returns A fault where the answer wasn't whole by then.
   */
  finish(): AnswerFault | undefined;
  /** An answer to a request with this method is due; it goes to `sink`. */
  expect(method: string, sink: AnswerSink): void;
}

/** Why bytes can't be an answer. */
export enum AnswerFault {
  /** No request waits for an answer. */
  Unexpected = "unexpected bytes",
  Malformed = "malformed answer",
  TooLarge = "head too large",
  Truncated = "truncated answer",
}

/** Bytes of a head; the engines' are under one thousand. */
const GREATEST_HEAD = 65_536;
/** Characters of a chunk's size line with its extensions. */
const GREATEST_SIZE_LINE = 256;
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})(?: |$)/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const SIZE_LINE = /^([0-9a-fA-F]{1,12})[ \t]*(?:;.*)?$/;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FIRST_FINAL = 200;
const SWITCHING = 101;

enum Phase {
  Idle,
  Head,
  Length,
  ChunkSize,
  ChunkData,
  ChunkEnd,
  Trailer,
  UntilClose,
}

/** Makes a parser for a connection that has just been opened. */
export function createAnswerParser(): AnswerParser {
  let phase = Phase.Idle;
  let sink: AnswerSink | undefined;
  let method = "";
  let held: Buffer = Buffer.alloc(0);
  let left = 0;

  const complete = (): void => {
    phase = Phase.Idle;
    const done = sink;
    sink = undefined;
    done?.end();
  };
  /** A line up to CR LF out of what is held; undefined where it isn't whole yet. */
  const takeLine = (): string | undefined => {
    const end = held.indexOf("\r\n");
    if (end < 0) return undefined;
    const line = held.toString("latin1", 0, end);
    held = held.subarray(end + 2);
    return line;
  };
  const takeHead = (): AnswerFault | boolean => {
    const end = held.indexOf("\r\n\r\n");
    if (end < 0) return held.length > GREATEST_HEAD ? AnswerFault.TooLarge : false;
    const head = parseHead(held.toString("latin1", 0, end));
    held = held.subarray(end + 4);
    if (head === undefined) return AnswerFault.Malformed;
    if (head.status === SWITCHING) return AnswerFault.Malformed;
    // An interim answer is followed by the final one.
    if (head.status < FIRST_FINAL) return true;
    const framing = framingOf(head, method);
    if (framing === undefined) return AnswerFault.Malformed;
    phase = framing.phase;
    left = framing.length;
    sink?.head(head);
    if (phase === Phase.Length && left === 0) complete();
    return true;
  };
  const takeData = (next: Phase): boolean => {
    if (held.length === 0) return false;
    const chunk = held.subarray(0, left);
    held = held.subarray(chunk.length);
    left -= chunk.length;
    sink?.data(chunk);
    if (left > 0) return true;
    if (next === Phase.Idle) complete();
    else phase = next;
    return true;
  };
  const takeChunkSize = (): AnswerFault | boolean => {
    const line = takeLine();
    if (line === undefined) return held.length > GREATEST_SIZE_LINE ? AnswerFault.Malformed : false;
    const size = SIZE_LINE.exec(line)?.[1];
    if (size === undefined) return AnswerFault.Malformed;
    left = Number.parseInt(size, 16);
    phase = left === 0 ? Phase.Trailer : Phase.ChunkData;
    return true;
  };
  const takeChunkEnd = (): AnswerFault | boolean => {
    const line = takeLine();
    if (line === undefined) return held.length > 1 ? AnswerFault.Malformed : false;
    if (line !== "") return AnswerFault.Malformed;
    phase = Phase.ChunkSize;
    return true;
  };
  const takeTrailer = (): AnswerFault | boolean => {
    const line = takeLine();
    if (line === undefined) return held.length > GREATEST_HEAD ? AnswerFault.TooLarge : false;
    if (line === "") complete();
    return true;
  };
  /** Takes one step; false where more bytes are needed. */
  const step = (): AnswerFault | boolean => {
    switch (phase) {
      case Phase.Idle:
        return held.length > 0 ? AnswerFault.Unexpected : false;
      case Phase.Head:
        return takeHead();
      case Phase.Length:
        return takeData(Phase.Idle);
      case Phase.ChunkSize:
        return takeChunkSize();
      case Phase.ChunkData:
        return takeData(Phase.ChunkEnd);
      case Phase.ChunkEnd:
        return takeChunkEnd();
      case Phase.Trailer:
        return takeTrailer();
      case Phase.UntilClose:
        left = held.length;
        return held.length > 0 && takeData(Phase.UntilClose);
    }
  };
  return {
    feed: (bytes) => {
      held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
      for (;;) {
        const result = step();
        if (result === true) continue;
        return result === false ? undefined : result;
      }
    },
    finish: () => {
      if (phase === Phase.Idle) return undefined;
      if (phase !== Phase.UntilClose) return AnswerFault.Truncated;
      complete();
      return undefined;
    },
    expect: (of, to) => {
      method = of;
      sink = to;
      phase = Phase.Head;
    },
  };
}

function parseHead(text: string): AnswerHead | undefined {
  const [first = "", ...lines] = text.split("\r\n");
  const status = STATUS_LINE.exec(first)?.[1];
  if (status === undefined) return undefined;
  const headers: string[] = [];
  const byName = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon));
    if (!TOKEN.test(name)) return undefined;
    const value = line.slice(colon + 1).trim();
    headers.push(name, value);
    const known = byName.get(name.toLowerCase());
    // Two lengths that differ would let one peer see another end of the answer than the other.
    if (name.toLowerCase() === "content-length" && known !== undefined && known !== value) {
      return undefined;
    }
    byName.set(name.toLowerCase(), value);
  }
  return { status: Number(status), headers, byName };
}

function framingOf(
  { status, byName }: AnswerHead,
  method: string,
): { phase: Phase; length: number } | undefined {
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED) {
    return { phase: Phase.Length, length: 0 };
  }
  const coding = byName.get("transfer-encoding");
  const length = byName.get("content-length");
  if (coding !== undefined) {
    if (coding.toLowerCase() !== "chunked" || length !== undefined) return undefined;
    return { phase: Phase.ChunkSize, length: 0 };
  }
  if (length === undefined) return { phase: Phase.UntilClose, length: 0 };
  return /^\d{1,15}$/.test(length) ? { phase: Phase.Length, length: Number(length) } : undefined;
}
