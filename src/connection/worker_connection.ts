/**
 * A connection to a worker that carries one HTTP/1.1 exchange at a time.
 *
 * It distinguishes three ends of an exchange, because they decide whether a request may be sent again:
 * complete, certainly not sent, and broken after the request may have run. A response that belongs to
 * another request, or that is truncated by a reset, ends the exchange as broken.
 *
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import type {
  AnswerHead,
  Clock,
  Exchange,
  ExchangeSink,
  WorkerRequest,
} from "../interface/index.ts";
import { createAnswerParser } from "./answer_parser.ts";
import { splitAddress } from "./http_listener.ts";
import { CONNECT_TIMEOUT, isRefusal } from "./reach_worker.ts";

/** The headers by which responses are matched with requests. */
export interface AnswerMatching {
  /** Lowercase name of the response header that echoes the request id. */
  readonly idHeader: string;
  /** Lowercase name of the header that marks a request as not run; such a response may lack the id. */
  readonly notRunHeader: string;
}

/** One connection to a worker; it carries one exchange at a time. */
export interface WorkerConnection {
  /** Returns whether the connection can take a request now. */
  isIdle(): boolean;
  /** Returns the milliseconds since the last exchange ended, or since the connection was opened. */
  idleFor(): number;
  /** The worker's idle timeout in milliseconds, from its `Keep-Alive` header; undefined if not announced. */
  readonly idleTimeout: number | undefined;
  /** Number of exchanges started on this connection. */
  readonly carried: number;
  /**
   * Sends a request; the connection must be idle.
   *
   * @param sink Receives the response and the end of the exchange.
   */
  exchange(request: WorkerRequest, sink: ExchangeSink): Exchange;
  /** Closes the connection; an exchange in progress ends as broken or not sent. */
  close(): void;
}

/** Options of {@linkcode openWorkerConnection}. */
export interface WorkerConnectionParts {
  readonly clock: Clock;
  /** Address of the worker, as `IP:PORT`. */
  readonly address: string;
  readonly matching: AnswerMatching;
  /** Called when bytes arrive from the worker. */
  readonly heard: () => void;
  /** Called when an exchange has ended and the connection can be reused. */
  readonly freed: () => void;
  /** Called once, when the connection is closed. */
  readonly closed: () => void;
}

const TIMEOUT_PARAMETER = /timeout=(\d+)/;
const MILLISECONDS = 1_000;

/**
 * Opens a connection to a worker. The first exchange may start at once; its request is sent when the
 * connection is established.
 */
export function openWorkerConnection(parts: WorkerConnectionParts): WorkerConnection {
  const { clock, matching } = parts;
  const [host, port] = splitAddress(parts.address);
  const socket: Socket = connect({ host, port, noDelay: true });
  const parser = createAnswerParser();
  let current: ExchangeSink | undefined;
  let isConnected = false;
  let isClosed = false;
  let mayKeep = true;
  let idleSince = clock.now();
  let idleTimeout: number | undefined;
  let carried = 0;

  const close = (): void => {
    if (isClosed) return;
    isClosed = true;
    connecting.close();
    socket.destroy();
    parts.closed();
  };
  const fail = (detail: string, isRefused = false): void => {
    const sink = current;
    current = undefined;
    close();
    sink?.end(isConnected ? { kind: "broken", detail } : { kind: "not-sent", detail, isRefused });
  };
  const connecting = clock.after(CONNECT_TIMEOUT, () =>
    fail(`The worker didn't accept the connection within ${CONNECT_TIMEOUT} ms.`),
  );
  const finished = (): void => {
    const sink = current;
    current = undefined;
    idleSince = clock.now();
    // If the worker responded before it read the whole body, the rest would be parsed as the next request.
    if (!mayKeep || socket.writableLength > 0) close();
    else parts.freed();
    sink?.end({ kind: "complete" });
  };
  const noteHead = (head: AnswerHead, id: string | undefined): boolean => {
    if (!isAnswerTo(head, { id, matching })) return false;
    const keepAlive = TIMEOUT_PARAMETER.exec(head.byName.get("keep-alive") ?? "")?.[1];
    if (keepAlive !== undefined) idleTimeout = Number(keepAlive) * MILLISECONDS;
    if (/\bclose\b/i.test(head.byName.get("connection") ?? "")) mayKeep = false;
    return true;
  };
  socket.on("connect", () => {
    isConnected = true;
    connecting.close();
  });
  socket.on("data", (bytes) => {
    if (isClosed) return;
    parts.heard();
    const fault = parser.feed(bytes);
    if (fault !== undefined) fail(`The worker sent an invalid response: ${fault}.`);
  });
  socket.on("end", () => {
    if (isClosed) return;
    mayKeep = false;
    if (wasReset(socket)) {
      fail("The worker reset the connection.");
      return;
    }
    const fault = parser.finish();
    if (fault !== undefined)
      fail("The worker closed the connection before the response was complete.");
    else close();
  });
  socket.on("error", (error: NodeJS.ErrnoException) =>
    fail(`The connection to the worker failed: ${error.message}.`, isRefusal(error)),
  );
  socket.on("close", () => fail("The connection to the worker was closed."));

  const exchange = (request: WorkerRequest, sink: ExchangeSink): Exchange => {
    current = sink;
    carried++;
    parser.expect(request.method, {
      head: (head) => {
        if (noteHead(head, request.id)) sink.head(head);
        else fail("The worker sent the response to another request.");
      },
      data: (chunk) => {
        if (!isClosed) sink.data(chunk);
      },
      end: () => {
        if (!isClosed) finished();
      },
    });
    socket.write(requestBytes(request));
    return {
      pause: () => void socket.pause(),
      resume: () => void socket.resume(),
      abort: () => {
        current = undefined;
        close();
      },
    };
  };
  return {
    isIdle: () => !isClosed && current === undefined,
    idleFor: () => clock.now() - idleSince,
    get idleTimeout() {
      return idleTimeout;
    },
    get carried() {
      return carried;
    },
    exchange,
    close,
  };
}

/**
 * Returns whether a connection for which Node.js reported an orderly end was in fact reset. If the last
 * bytes and a reset arrive together, Node.js reports the bytes and then an orderly end. A response without a
 * length would then look complete. The operating system reports no peer address for a reset connection.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** Returns whether a response belongs to the request; a late one may belong to an earlier request. */
function isAnswerTo(
  { byName }: AnswerHead,
  { id, matching }: { id: string | undefined; matching: AnswerMatching },
): boolean {
  if (id === undefined) return true;
  const echoed = byName.get(matching.idHeader);
  return echoed === undefined ? byName.has(matching.notRunHeader) : echoed === id;
}

/** Encodes a request, with `Content-Length` if it has a body or its method usually has one. */
function requestBytes({ method, target, headers, body }: WorkerRequest): Buffer {
  let head = `${method} ${target} HTTP/1.1\r\n`;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    head += `${headers[index] ?? ""}: ${headers[index + 1] ?? ""}\r\n`;
  }
  if (body.length > 0 || (method !== "GET" && method !== "HEAD" && method !== "DELETE")) {
    head += `Content-Length: ${body.length}\r\n`;
  }
  const bytes = Buffer.from(`${head}\r\n`, "latin1");
  return body.length === 0 ? bytes : Buffer.concat([bytes, body]);
}
