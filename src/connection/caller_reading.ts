/**
 * Passes what arrives on callers' connections to the parser of Node.js in small parts, and no more than can be worked on.
 *
 * Node.js parses all that it reads at once, up to two megabytes of a connection. A caller that sends requests without
 * waiting for answers, or a body in chunks of one byte, has thousands of objects made with that, while other callers and
 * the store wait.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { exceededLimit, ReadingLimit, ReadingState } from "../decision/index.ts";
import type { ByteLimit, CallerMemory } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";
import { connectionEvent } from "./http_listener.ts";
import type { AcceptWatch } from "./accept_watch.ts";
import { refuseBytes, refuseUnparsed } from "./reading_refusal.ts";
import { createReadingTurns } from "./reading_turns.ts";
import type { ReadingTurns } from "./reading_turns.ts";
import {
  isBodyGivenUp,
  receivedBodyBytes,
  recordReceived,
  setUnparsedBytes,
} from "../request/index.ts";
import { createReadTimes } from "./read_times.ts";
import type { ReadTimes } from "./read_times.ts";

/** Dependencies of {@linkcode readCallersInParts}. */
export interface CallerReadingParts {
  readonly clock: Pick<Clock, "now">;
  /** Watches the connections of all listeners. */
  readonly accepts: AcceptWatch;
  /** Whether what is read now may have lain unread, because the process was stalled; by default it never has. */
  readonly isLate?: (() => boolean) | undefined;
  /**
   * Whether new requests are refused, because the process is about to end. They don't wait then, since they would end with
   * it unanswered; by default they aren't.
   */
  readonly isClosedToNew?: (() => boolean) | undefined;
  /** Counts what was received and waits to be parsed. */
  readonly memory: CallerMemory;
  /** Returns the limit on the size of a body in bytes. */
  readonly maxBodyBytes: () => number;
  /** Called with the address of a caller whose connection is ended because of a limit. */
  readonly onLimit: (limit: ReadingLimit, address: string) => void;
}

/**
 * Number of requests on a connection that have no complete response, above which no more of it is parsed. Callers that
 * send a few requests before they have the answers to earlier ones don't notice it.
 */
const MAX_REQUESTS = 4;
/** Bytes that are parsed at a time: the head of a usual request. */
const PART_BYTES = 2_048;
/** Bytes that Node.js may read of a connection at once, also after it was paused. */
const READ_BYTES = 65_536;
/** Bytes that wait to be parsed, from which on nothing more of a connection is read, not even its caller's end. */
const MAX_PENDING_BYTES = 16_384;

/** What arrives on one connection. */
interface Reading {
  readonly socket: Socket;
  /** Passes bytes to the parser of Node.js. */
  readonly parse: (bytes: Buffer) => void;
  /** Received bytes that haven't been parsed. */
  pending: Buffer;
  /** When they were read. */
  readonly readTimes: ReadTimes;
  /** Milliseconds that were spent on parsing since the latest request began. */
  parsingTime: number;
  /** When the end of what is being parsed was read, in the clock's milliseconds. */
  parsedReadAt: number;
  /** Number of requests that have no complete response. */
  requests: number;
  /** The request that arrived last. */
  latest: IncomingMessage | undefined;
  /** Its response. */
  response: ServerResponse | undefined;
  /** Bytes that were parsed or ignored since that request began, or since it was complete. */
  passed: number;
  /** Whether that request was complete when bytes were counted last. */
  isComplete: boolean;
  /** Whether the bytes that were parsed last may belong to a head that isn't complete. */
  isWithinHead: boolean;
  /** Whether a limit was exceeded. */
  isOverLimit: boolean;
  /** Whether the socket is paused because there are pending bytes. */
  isHeld: boolean;
  isParsing: boolean;
  /** Sets the bytes that wait to be parsed. */
  readonly setWaiting: (bytes: number) => void;
}

/** The bytes after which a request may begin to run: the end of a head, of a chunked body and of its trailers. */
const HEAD_END = "\r\n\r\n";
const NOTHING = Buffer.alloc(0);

/** Applies the rules of this module to the connections of a server. Called before a connection is accepted. */
export function readCallersInParts(server: Server, parts: CallerReadingParts): void {
  const { clock, memory, accepts } = parts;
  const { isLate = () => false, isClosedToNew = () => false } = parts;
  const readings = new WeakMap<Duplex, Reading>();
  accepts.apply(server);
  const turns = createReadingTurns<Reading>({
    clock,
    isLate,
    spentOn: ({ parsingTime }) => parsingTime,
    isAccepting: () => accepts.isBehind && !isClosedToNew(),
    proceed: (reading) => proceed(reading, { isTurn: true }),
    refuse: (reading) => {
      if (!canRefuseUnparsed(reading)) {
        proceed(reading, { isTurn: true });
        return;
      }
      parts.onLimit(ReadingLimit.Wait, reading.socket.remoteAddress ?? "");
      refuseUnparsed(reading.socket);
    },
  });
  const proceed = (reading: Reading, { isTurn = false } = {}): void => {
    const startedAt = clock.now();
    parsePending(reading, { turns, check, isTurn, isClosedToNew: isClosedToNew() });
    reading.parsingTime += clock.now() - startedAt;
    if (reading.isOverLimit) stopReading(reading);
    else holdPending(reading);
  };
  /** Counts bytes that were parsed or ignored, and ends the connection if they exceed a limit. */
  const check = (reading: Reading, bytes: number): void => {
    const limit = countPassed(reading, { bytes, maxBodyBytes: parts.maxBodyBytes() });
    if (limit === undefined || reading.isOverLimit) return;
    reading.isOverLimit = true;
    parts.onLimit(limit, reading.socket.remoteAddress ?? "");
    if (limit === ReadingLimit.Refused) reading.socket.destroySoon();
    else refuseBytes(server, reading.socket, limit);
  };
  server.on(connectionEvent(server), (socket: Socket) => {
    const [parse] = socket.listeners("data") as Reading["parse"][];
    if (parse === undefined) return;
    const hold = memory.open(
      { address: () => socket.remoteAddress ?? "", account: undefined },
      () => {
        socket.destroy();
        return true;
      },
    );
    const reading: Reading = {
      socket,
      parse,
      pending: NOTHING,
      readTimes: createReadTimes(),
      parsingTime: 0,
      parsedReadAt: 0,
      requests: 0,
      latest: undefined,
      response: undefined,
      passed: 0,
      isComplete: false,
      isWithinHead: false,
      isOverLimit: false,
      isHeld: false,
      isParsing: false,
      setWaiting: (bytes) => hold.set(bytes),
    };
    readings.set(socket, reading);
    setUnparsedBytes(socket, () => reading.pending.length);
    socket.removeListener("data", parse);
    socket.on("data", (bytes: Buffer) => {
      const { pending, readTimes } = reading;
      readTimes.add(bytes.length, clock.now());
      reading.pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      proceed(reading);
    });
    // Node.js goes on with a connection that it had paused.
    socket.on("resume", () => {
      if (!reading.isHeld && reading.pending.length > 0) proceed(reading);
    });
    // What was held would hide the caller's end, for which a connection that ends waits.
    socket.once("finish", () => proceed(reading));
    socket.once("close", () => {
      hold.close();
      dropPending(reading);
    });
  });
  server.prependListener("request", (request, response) => {
    const reading = readings.get(request.socket);
    if (reading === undefined) return;
    reading.requests++;
    reading.latest = request;
    reading.response = response;
    reading.passed = 0;
    reading.parsingTime = 0;
    reading.isComplete = false;
    recordReceived(request, reading.parsedReadAt);
    response.once("close", () => {
      reading.requests--;
      if (reading.pending.length > 0) proceed(reading);
    });
  });
}

/** Parses what is pending on a connection until the connection or the turn allows no more. */
function parsePending(
  reading: Reading,
  options: {
    readonly turns: ReadingTurns<Reading>;
    readonly check: (reading: Reading, bytes: number) => void;
    /** Whether it is the turn of the connection to begin a request. */
    readonly isTurn: boolean;
    /** Whether all requests begin at once, because they are refused. */
    readonly isClosedToNew: boolean;
  },
): void {
  const { turns, check, isTurn, isClosedToNew } = options;
  const { socket, latest: previous } = reading;
  if (reading.isParsing || socket.destroyed || reading.isOverLimit) return;
  check(reading, dropIgnored(reading));
  if (reading.isHeld && reading.pending.length > 0 && !canParse(reading)) return;
  if (reading.isHeld) {
    socket.resume();
    reading.isHeld = false;
  }
  const isTimeOver = turns.beginItem();
  reading.isParsing = true;
  while (isOpen(socket) && reading.pending.length > 0 && canParse(reading)) {
    // Node.js pauses a connection whose body or whose answers aren't read.
    if (socket.isPaused()) break;
    if (isWithinBody(reading)) {
      if (reading.pending.length > PART_BYTES && isTimeOver()) {
        turns.addPart(reading);
        break;
      }
    } else if (!isClosedToNew && !(isTurn && reading.latest === previous) && turns.isBehind()) {
      turns.addRequest(reading);
      break;
    }
    const { pending } = reading;
    const size = Math.min(partSize(reading), pending.length);
    reading.parsedReadAt = reading.readTimes.take(size);
    reading.pending = size < pending.length ? pending.subarray(size) : NOTHING;
    const { latest } = reading;
    reading.parse(size < pending.length ? pending.subarray(0, size) : pending);
    reading.isWithinHead = reading.latest === latest && !isWithinBody(reading);
    check(reading, size + dropIgnored(reading));
  }
  reading.isParsing = false;
}

/** Whether what waits on a connection is the begin of a request that can be refused before anything of it is parsed. */
function canRefuseUnparsed({ socket, pending, requests, isWithinHead }: Reading): boolean {
  return pending.length > 0 && requests === 0 && !isWithinHead && socket.writable;
}

/** Whether what arrives next on a connection belongs to the body of a request that has begun. */
function isWithinBody({ latest }: Reading): boolean {
  return latest?.complete === false;
}

/**
 * Whether a connection still belongs to its parser. Node.js gives the parser of a connection that asks for another protocol
 * to the next connection at once, which would get what follows.
 */
function isOpen({ destroyed }: Socket): boolean {
  return !destroyed;
}

/** Reads no more of a connection, which ends. */
function stopReading(reading: Reading): void {
  dropPending(reading);
  reading.setWaiting(0);
  if (!reading.socket.destroyed) reading.socket.pause();
}

/** Counts bytes of a connection that were parsed or ignored. Returns the limit that they exceed; undefined if none. */
function countPassed(
  reading: Reading,
  { bytes, maxBodyBytes }: { readonly bytes: number; readonly maxBodyBytes: number },
): ByteLimit | undefined {
  const { latest } = reading;
  const isComplete = latest?.complete ?? false;
  reading.passed = isComplete === reading.isComplete ? reading.passed + bytes : 0;
  reading.isComplete = isComplete;
  const body = latest === undefined ? 0 : receivedBodyBytes(latest);
  return exceededLimit({ state: stateOf(reading), passed: reading.passed, body }, maxBodyBytes);
}

function stateOf({ latest, response, socket, isComplete }: Reading): ReadingState {
  const isAnswered = response?.headersSent === true && !isComplete;
  if (socket.writableEnded || isAnswered) return ReadingState.Refused;
  return latest === undefined || isComplete
    ? ReadingState.BetweenRequests
    : ReadingState.WithinBody;
}

/** Stops reading a connection while there are pending bytes. */
function holdPending(reading: Reading): void {
  const { socket, pending } = reading;
  if (socket.destroyed) return;
  if (pending.length === 0) {
    reading.setWaiting(0);
    return;
  }
  // Below it, the socket is read on, so that its caller's end is noticed.
  if (pending.length >= MAX_PENDING_BYTES && !socket.isPaused()) {
    socket.pause();
    reading.isHeld = true;
  }
  reading.setWaiting(READ_BYTES + pending.length);
}

function dropPending(reading: Reading): void {
  reading.readTimes.take(reading.pending.length);
  reading.pending = NOTHING;
}

/**
 * Drops what is pending if nothing that arrives is answered any more: the connection ends, or the body was given up.
 *
 * @returns The number of bytes that were dropped.
 */
function dropIgnored(reading: Reading): number {
  const { socket, latest, pending } = reading;
  const isIgnored = latest !== undefined && !latest.complete && isBodyGivenUp(latest);
  if (!socket.writableEnded && !isIgnored) return 0;
  dropPending(reading);
  return pending.length;
}

/** Whether the requests of a connection allow that more of it is parsed. */
function canParse({ requests }: Reading): boolean {
  return requests < MAX_REQUESTS;
}

/**
 * Returns how many bytes are parsed at a time: all that can only belong to a body of known length, otherwise no more than to the
 * end of a head, so that no two requests begin within them.
 */
function partSize({ latest, pending }: Reading): number {
  if (latest !== undefined && !latest.complete) {
    const length = Number(latest.headers["content-length"] ?? 0);
    const left = length - receivedBodyBytes(latest);
    if (left > 0) return left;
  }
  const end = pending.subarray(0, PART_BYTES).indexOf(HEAD_END);
  return end < 0 ? PART_BYTES : end + HEAD_END.length;
}
