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
import { BodyFraming } from "../interface/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import { createReceivedBytes } from "./received_bytes.ts";

/** Receives the parsed parts of a response, in order. */
export interface ResponseSink {
  /** Called once, with the head of the final response; interim (1xx) responses are skipped. */
  head(head: ResponseHead): void;
  /** Called with the next part of the body, without chunk framing; once for all chunks that arrived together. */
  data(chunk: Buffer): void;
  /** Called once the response is complete. */
  end(): void;
}

/** Parses the responses of one connection, one after the other. */
export interface ResponseParser {
  /**
   * Parses the next bytes from the connection.
   *
   * @param bytes The bytes, split at any position.
   * @returns Undefined, or a fault if the bytes aren't a valid response or no response is expected.
   */
  feed(bytes: Buffer): ParseFault | undefined;
  /**
   * Signals that the peer closed its side of the connection in an orderly way (TCP FIN).
   *
   * @returns Undefined, or a fault if the response was incomplete.
   */
  finish(): ParseFault | undefined;
  /**
   * Prepares for the response to a request that is about to be sent.
   *
   * @param method The request's method: a response to `HEAD` has no body.
   * @param sink Receives the response.
   */
  expectResponse(method: string, sink: ResponseSink): void;
  /** Whether the response in progress ends with its connection, so that {@linkcode ResponseParser.finish} completes it. */
  readonly endsWithConnection: boolean;
  /** Number of bytes that are held until the rest of an element arrives. */
  readonly bufferedBytes: number;
}

/** Why the bytes of a connection can't be parsed as a response. */
export enum ParseFault {
  /** Bytes arrived while no request was waiting for a response. */
  Unexpected = "unexpected bytes",
  /** The status line, a header line or the body framing is invalid or ambiguous. */
  Malformed = "malformed answer",
  /** The head, the interim responses, the trailers or the chunk extensions exceed their limit. */
  TooLarge = "head too large",
  /** The connection was closed before the response was complete. */
  Truncated = "truncated answer",
}

/** Maximum size of a response head, in bytes; the engines' heads are under 1000 bytes. */
const MAX_HEAD_BYTES = 65_536;
/**
 * Maximum size of the interim (1xx) responses before one final response, in bytes. Without a limit on their sum, a
 * worker that sends them without end would be read until the request's deadline.
 */
const MAX_INTERIM_BYTES = 65_536;
/**
 * Maximum number of interim responses before one final response, since small ones reach the size limit late. A worker
 * that reports progress (102) every 200 ms stays below it for 20 s.
 */
const MAX_INTERIM_RESPONSES = 100;
/** Maximum size of the trailers of one response, in bytes, for the same reason as that of interim responses. */
const MAX_TRAILER_BYTES = 65_536;
/** Maximum number of trailer lines of one response, since short ones reach the size limit late. */
const MAX_TRAILER_LINES = 100;
/** Maximum length of a chunk size line with its extensions, in characters. */
const MAX_SIZE_LINE_LENGTH = 256;
/**
 * Maximum sum of the chunk extensions of one response, in bytes. Otherwise a small body could cost any amount of
 * processing.
 */
const MAX_EXTENSION_BYTES = 65_536;
/** A status is of one of the five classes (RFC 9110, section 15). */
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d{2})(?: |$)/;
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** A field value as Node.js accepts it for a caller's response. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const SIZE_LINE = /^([0-9a-fA-F]{1,12})([ \t]*(?:;.*)?)$/;
const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const MIN_FINAL_STATUS = 200;
const SWITCHING_PROTOCOLS = 101;

/** The part of a response that the parser expects next. */
enum ParserState {
  Idle,
  Head,
  FixedLengthBody,
  ChunkSize,
  ChunkData,
  ChunkEnd,
  Trailer,
  BodyUntilClose,
}

/** The state that follows a response's head. */
const STATE_BY_FRAMING: Readonly<Record<BodyFraming, ParserState>> = {
  [BodyFraming.Length]: ParserState.FixedLengthBody,
  [BodyFraming.Chunks]: ParserState.ChunkSize,
  [BodyFraming.Connection]: ParserState.BodyUntilClose,
};

/** Creates a parser for a newly opened connection. */
export function createResponseParser(): ResponseParser {
  let state = ParserState.Idle;
  let sink: ResponseSink | undefined;
  let method = "";
  const buffered = createReceivedBytes();
  let remaining = 0;
  /** Pieces of the body among the bytes that are being parsed. */
  let pieces: Buffer[] = [];
  /** Sums over the response that is being parsed, for their limits. */
  let interimBytes = 0;
  let interimCount = 0;
  let trailerBytes = 0;
  let trailerLines = 0;
  let extensionBytes = 0;

  /**
   * Delivers the pieces of the body as one. Receivers do work for each piece that grows with what they have buffered, so
   * a worker that sends chunks of one byte would otherwise stop the process for seconds.
   */
  const deliver = (): void => {
    const [first, ...others] = pieces;
    if (first === undefined) return;
    pieces = [];
    sink?.data(others.length === 0 ? first : Buffer.concat([first, ...others]));
  };
  const complete = (): void => {
    deliver();
    state = ParserState.Idle;
    const completed = sink;
    sink = undefined;
    completed?.end();
  };
  const takeInterim = (size: number): ParseFault | boolean => {
    interimBytes += size;
    interimCount++;
    const isWithinLimits =
      interimBytes <= MAX_INTERIM_BYTES && interimCount <= MAX_INTERIM_RESPONSES;
    return isWithinLimits ? true : ParseFault.TooLarge;
  };
  const takeHead = (): ParseFault | boolean => {
    const text = buffered.takeThrough(HEAD_END);
    if (text === undefined) return buffered.length > MAX_HEAD_BYTES ? ParseFault.TooLarge : false;
    const head = parseHead(text);
    if (head === undefined) return ParseFault.Malformed;
    if (head.status === SWITCHING_PROTOCOLS) return ParseFault.Malformed;
    // An interim (1xx) response is followed by the final one.
    if (head.status < MIN_FINAL_STATUS) return takeInterim(text.length + HEAD_END.length);
    const body = responseBody(head, method);
    if (body === undefined) return ParseFault.Malformed;
    state = STATE_BY_FRAMING[body.framing];
    remaining = body.length;
    sink?.head({ ...head, framing: body.framing });
    if (state === ParserState.FixedLengthBody && remaining === 0) complete();
    return true;
  };
  const takeBody = (next: ParserState): boolean => {
    if (buffered.length === 0) return false;
    const chunk = buffered.take(remaining);
    remaining -= chunk.length;
    pieces.push(chunk);
    if (remaining > 0) return true;
    if (next === ParserState.Idle) complete();
    else state = next;
    return true;
  };
  const takeChunkSize = (): ParseFault | boolean => {
    const line = buffered.takeThrough(LINE_END);
    if (line === undefined)
      return buffered.length > MAX_SIZE_LINE_LENGTH ? ParseFault.Malformed : false;
    if (line.length > MAX_SIZE_LINE_LENGTH) return ParseFault.Malformed;
    const [, size, extension = ""] = SIZE_LINE.exec(line) ?? [];
    if (size === undefined) return ParseFault.Malformed;
    extensionBytes += extension.length;
    if (extensionBytes > MAX_EXTENSION_BYTES) return ParseFault.TooLarge;
    remaining = Number.parseInt(size, 16);
    state = remaining === 0 ? ParserState.Trailer : ParserState.ChunkData;
    return true;
  };
  const takeChunkEnd = (): ParseFault | boolean => {
    const line = buffered.takeThrough(LINE_END);
    if (line === undefined) return buffered.length > 1 ? ParseFault.Malformed : false;
    if (line !== "") return ParseFault.Malformed;
    state = ParserState.ChunkSize;
    return true;
  };
  const takeTrailer = (): ParseFault | boolean => {
    const line = buffered.takeThrough(LINE_END);
    const size = line === undefined ? buffered.length : line.length + LINE_END.length;
    if (trailerBytes + size > MAX_TRAILER_BYTES) return ParseFault.TooLarge;
    if (line === undefined) return false;
    if (line === "") {
      complete();
      return true;
    }
    trailerBytes += size;
    trailerLines++;
    return trailerLines > MAX_TRAILER_LINES ? ParseFault.TooLarge : true;
  };
  /** Parses the next element; returns false if more bytes are needed. */
  const step = (): ParseFault | boolean => {
    switch (state) {
      case ParserState.Idle:
        return buffered.length > 0 ? ParseFault.Unexpected : false;
      case ParserState.Head:
        return takeHead();
      case ParserState.FixedLengthBody:
        return takeBody(ParserState.Idle);
      case ParserState.ChunkSize:
        return takeChunkSize();
      case ParserState.ChunkData:
        return takeBody(ParserState.ChunkEnd);
      case ParserState.ChunkEnd:
        return takeChunkEnd();
      case ParserState.Trailer:
        return takeTrailer();
      case ParserState.BodyUntilClose:
        remaining = buffered.length;
        return buffered.length > 0 && takeBody(ParserState.BodyUntilClose);
    }
  };
  return {
    feed: (bytes) => {
      buffered.append(bytes);
      for (;;) {
        const result = step();
        if (result === true) continue;
        deliver();
        return result === false ? undefined : result;
      }
    },
    finish: () => {
      if (state === ParserState.Idle) return undefined;
      if (state !== ParserState.BodyUntilClose) return ParseFault.Truncated;
      complete();
      return undefined;
    },
    get endsWithConnection() {
      return state === ParserState.BodyUntilClose;
    },
    get bufferedBytes() {
      return buffered.length;
    },
    expectResponse: (requestMethod, responseSink) => {
      method = requestMethod;
      sink = responseSink;
      state = ParserState.Head;
      interimBytes = 0;
      interimCount = 0;
      trailerBytes = 0;
      trailerLines = 0;
      extensionBytes = 0;
    },
  };
}

function parseHead(text: string): Omit<ResponseHead, "framing"> | undefined {
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
    // A control character can't be sent on: writing the caller's response would throw an error.
    if (!FIELD_VALUE.test(value)) return undefined;
    headers.push(name, value);
    const previousValue = byName.get(name.toLowerCase());
    // With two different lengths, two peers could disagree about where the response ends.
    if (
      name.toLowerCase() === "content-length" &&
      previousValue !== undefined &&
      previousValue !== value
    ) {
      return undefined;
    }
    byName.set(name.toLowerCase(), value);
  }
  return { status: Number(status), headers, byName };
}

/** Returns how the body is framed and its length, if it has one; undefined if this is ambiguous. */
function responseBody(
  { status, byName }: Pick<ResponseHead, "status" | "byName">,
  method: string,
): { framing: BodyFraming; length: number } | undefined {
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED) {
    return { framing: BodyFraming.Length, length: 0 };
  }
  const coding = byName.get("transfer-encoding");
  const length = byName.get("content-length");
  if (coding !== undefined) {
    if (coding.toLowerCase() !== "chunked" || length !== undefined) return undefined;
    return { framing: BodyFraming.Chunks, length: 0 };
  }
  if (length === undefined) return { framing: BodyFraming.Connection, length: 0 };
  return /^\d{1,15}$/.test(length)
    ? { framing: BodyFraming.Length, length: Number(length) }
    : undefined;
}
