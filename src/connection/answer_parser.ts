/**
 * Incremental parser for the HTTP/1.1 responses on one connection to a worker.
 *
 * A response without `Content-Length` or chunked framing ends when the connection is closed. If the
 * connection is reset while such a response is being sent, the client of the HTTP library reports the
 * truncated response as complete, and a proxy would pass it on to the caller as valid. This parser
 * therefore detects the end of a response itself. Without a length, a response is complete only if the
 * peer closed the connection in an orderly way.
 *
 * @module
 */
import type { AnswerHead } from "../interface/index.ts";

/** Receives the parsed parts of a response, in order. */
export interface AnswerSink {
  /** Called once, with the head of the final response; interim (1xx) responses are skipped. */
  head(head: AnswerHead): void;
  /** Called with each piece of the body, without chunk framing. */
  data(chunk: Buffer): void;
  /** Called once the response is complete. */
  end(): void;
}

/** Parses the responses of one connection, one after the other. */
export interface AnswerParser {
  /**
   * Parses the next bytes from the connection.
   *
   * @param bytes The bytes, split at any position.
   * @returns Undefined, or a fault if the bytes aren't a valid response or no response is expected.
   */
  feed(bytes: Buffer): AnswerFault | undefined;
  /**
   * Signals that the peer closed its side of the connection in an orderly way (TCP FIN).
   *
   * @returns Undefined, or a fault if the response was incomplete.
   */
  finish(): AnswerFault | undefined;
  /**
   * Prepares for the response to a request that is about to be sent.
   *
   * @param method The request's method: a response to `HEAD` has no body.
   * @param sink Receives the response.
   */
  expect(method: string, sink: AnswerSink): void;
}

/** Why the bytes of a connection can't be parsed as a response. */
export enum AnswerFault {
  /** Bytes arrived while no request was waiting for a response. */
  Unexpected = "unexpected bytes",
  /** The status line, a header line or the body framing is invalid or ambiguous. */
  Malformed = "malformed answer",
  /** The head or a trailer line exceeds its size limit. */
  TooLarge = "head too large",
  /** The connection was closed before the response was complete. */
  Truncated = "truncated answer",
}

/** Maximum size of a response head, in bytes; the engines' heads are under 1000 bytes. */
const GREATEST_HEAD = 65_536;
/** Maximum length of a chunk size line with its extensions, in characters. */
const GREATEST_SIZE_LINE = 256;
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})(?: |$)/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const SIZE_LINE = /^([0-9a-fA-F]{1,12})[ \t]*(?:;.*)?$/;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FIRST_FINAL = 200;
const SWITCHING = 101;

/** The part of a response that the parser expects next. */
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

/** Creates a parser for a newly opened connection. */
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
  /** Removes a line ending in CR LF from the buffer; undefined if it is incomplete. */
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
    // An interim (1xx) response is followed by the final one.
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
  /** Parses the next element; returns false if more bytes are needed. */
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
    // With two different lengths, two peers could disagree about where the response ends.
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
