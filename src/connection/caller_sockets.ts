/**
 * Ends callers' connections that are idle, too slow or invalid, or end with a response.
 *
 * Node.js would end a connection as soon as its timer expires. After a time in which the process could not run, timers
 * may come before sockets are read. A request that has completely arrived on a connection would then be lost: the
 * connection would be reset without an answer. So what has arrived is read before a connection counts as idle or slow.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Clock } from "../interface/index.ts";
import { closeAfterCaller } from "./lingering_close.ts";

/** What happened on a caller's connection. */
interface Progress {
  requestCount: number;
  /** The responses that have not ended; more than one if the caller doesn't wait for them. */
  readonly unfinished: Set<ServerResponse>;
  /**
   * Number of bytes read when the connection opened or the last response ended; undefined if its request was still
   * arriving then, or if the time for the next head has passed.
   */
  readAtEnd: number | undefined;
  /** Whether nothing more is sent on the connection, and what still arrives is ignored. */
  isEnding: boolean;
  /** The error with which the connection ends after the answers to its complete requests. */
  error: PendingError | undefined;
}

/** An error behind requests that are in progress. */
interface PendingError {
  readonly status: number;
  /** Number of requests that had arrived before it. */
  readonly requestCount: number;
}

/** Milliseconds by which Node.js may check the header timeout late. */
const HEADER_CHECK_MARGIN = 1_000;
const REQUEST_TIMEOUT = 408;
const BAD_REQUEST = 400;
const METHOD_NOT_ALLOWED = 405;
const PAYLOAD_TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;
/** HTTP statuses of the errors of the parser. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: REQUEST_TIMEOUT,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: PAYLOAD_TOO_LARGE,
  HPE_HEADER_OVERFLOW: HEADERS_TOO_LARGE,
};

/** Applies the rules of this module to the connections of a server. */
export function endConnectionsAfterReading(server: Server, clock: Clock): void {
  const connections = new WeakMap<Duplex, Progress>();
  const progressOf = (socket: Duplex): Progress => {
    const progress = connections.get(socket) ?? {
      requestCount: 0,
      unfinished: new Set(),
      readAtEnd: 0,
      isEnding: false,
      error: undefined,
    };
    connections.set(socket, progress);
    return progress;
  };
  const endSocket = (socket: Duplex): void => {
    progressOf(socket).isEnding = true;
    closeAfterCaller(socket, clock);
  };
  /** Ends a connection with its error, if there is one, as soon as no complete request on it waits for an answer. */
  const endAfterAnswers = (socket: Duplex, progress: Progress): void => {
    const { error, isEnding, requestCount, unfinished } = progress;
    if (error === undefined || isEnding || socket.destroyed) return;
    if ([...unfinished].some(({ req }) => req.complete)) return;
    // The head that was late has arrived meanwhile.
    const isOver = error.status === REQUEST_TIMEOUT && requestCount > error.requestCount;
    if (isOver) progress.error = undefined;
    else endWithError(socket, { status: error.status, progress, close: () => endSocket(socket) });
  };
  server.prependListener("request", (request, response) => {
    const { socket } = request;
    const progress = progressOf(socket);
    progress.requestCount++;
    progress.unfinished.add(response);
    response.once("close", () => {
      progress.unfinished.delete(response);
      progress.readAtEnd = request.complete ? socket.bytesRead : undefined;
      endAfterAnswers(socket, progress);
    });
  });
  server.on("connection", (socket) => {
    socket.once("close", () => closeQueued(progressOf(socket)));
    // Node.js calls it after the last response on a connection, and would close the connection at once.
    socket.destroySoon = () => endSocket(socket);
  });
  // Without a listener, Node.js closes the connection without an answer.
  server.on("connect", (_request, socket) => {
    // Node.js has removed its own listener, without which an error would end the process.
    socket.on("error", () => undefined);
    const close = (): void => void socket.destroy();
    endWithError(socket, { status: METHOD_NOT_ALLOWED, progress: progressOf(socket), close });
  });
  server.on("timeout", (socket: Socket) => {
    const progress = progressOf(socket);
    const { readAtEnd, requestCount, unfinished } = progress;
    // The connection is not idle. The end of the last response starts the timer again.
    if (unfinished.size > 0) {
      closeUnread(socket, progress);
      return;
    }
    // The header timeout applies to the first head, and if a part of the next one has arrived.
    const mayBeWithinHead =
      readAtEnd !== undefined && (requestCount === 0 || socket.bytesRead > readAtEnd);
    if (mayBeWithinHead) {
      // Not every byte begins a head, so the connection ends here if the header timeout doesn't apply.
      progress.readAtEnd = undefined;
      socket.setTimeout(server.headersTimeout + HEADER_CHECK_MARGIN);
      return;
    }
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
  server.on("clientError", (parseError: NodeJS.ErrnoException, socket) => {
    const progress = progressOf(socket);
    // Bytes behind the last request may be no request at all.
    if (progress.isEnding) return;
    // The caller has left, so no answer is waited for.
    if (socket.readableEnded || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = STATUS_BY_CODE[parseError.code ?? ""] ?? BAD_REQUEST;
    const { requestCount } = progress;
    const end = (): void => {
      progress.error ??= { status, requestCount };
      endAfterAnswers(socket, progress);
    };
    if (status !== REQUEST_TIMEOUT) {
      end();
      return;
    }
    setImmediate(() => {
      if (progress.requestCount === requestCount) end();
    });
  });
}

/** Closes a connection whose caller has read nothing of a whole response since the timer began. */
function closeUnread(socket: Socket, { unfinished }: Progress): void {
  const isWaiting = (): boolean => {
    const [first] = unfinished;
    return first?.writableEnded === true && socket.writableLength > 0;
  };
  const { bytesWritten, writableLength } = socket;
  if (!isWaiting()) return;
  // After a stall of the process, what the caller has read is noticed first.
  setImmediate(() => {
    const isUnchanged =
      socket.bytesWritten === bytesWritten && socket.writableLength === writableLength;
    if (isWaiting() && isUnchanged) socket.destroy();
  });
}

/** Ends a connection with an error, which is sent unless a response to an earlier request has begun. */
function endWithError(
  socket: Duplex,
  {
    status,
    progress,
    close,
  }: { readonly status: number; readonly progress: Progress; readonly close: () => void },
): void {
  const isWithinResponse = [...progress.unfinished].some(({ headersSent }) => headersSent);
  if (!socket.writable || isWithinResponse) {
    socket.destroy();
    return;
  }
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  close();
}

/**
 * Closes the responses to requests that a caller sent before it had the response to an earlier one. Node.js reports the
 * end of their connection only to the first of them, so that the others would count as in progress for good and their
 * workers would go on.
 */
function closeQueued({ unfinished }: Progress): void {
  const queued = [...unfinished].filter(({ socket }) => socket === null);
  for (const response of queued) {
    response.destroy();
    response.emit("close");
  }
}
