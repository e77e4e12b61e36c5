/**
 * A connection to a worker that carries one HTTP/1.1 exchange at a time.
 *
 * It distinguishes three ends of an exchange, because they decide whether a request may be sent again:
 * complete, certainly not sent, and broken after the request may have run. A response that belongs to
 * another request, or that is truncated by a reset or by the end of a relaying instance, ends the exchange as broken.
 *
 * @module
 */
import type { Socket } from "node:net";
import { ReceivedPart } from "../decision/index.ts";
import type { ReceiveBudget } from "../decision/index.ts";
import { DialFailure } from "../interface/index.ts";
import type {
  ResponseHead,
  Clock,
  Exchange,
  ExchangeEnd,
  ExchangeSink,
  WorkerRequest,
} from "../interface/index.ts";
import { createDiscardingSink } from "./discarding_sink.ts";
import { createResponseParser, ParseFault } from "./response_parser.ts";
import { wasReset } from "./dial.ts";
import type { DialedConnection, DialListener, PendingDial } from "./dial.ts";

/** The headers by which responses are matched with requests. */
export interface ResponseMatching {
  /** Lowercase name of the response header that echoes the request id. */
  readonly idHeader: string;
  /** Lowercase name of the header that marks a request as not run; such a response may lack the id. */
  readonly notRunHeader: string;
}

/** One connection to a worker; it carries one exchange at a time. */
export interface WorkerConnection {
  /** Returns whether the connection can take a request now. */
  isIdle(): boolean;
  /** Returns whether an exchange is in progress whose answer is being read. */
  hasPendingResponse(): boolean;
  /** Returns the milliseconds since the last exchange ended, or since the connection was opened. */
  idleFor(): number;
  /** The worker's idle timeout in milliseconds, from its `Keep-Alive` header; undefined if not announced. */
  readonly idleTimeout: number | undefined;
  /** Number of exchanges started on this connection. */
  readonly exchangeCount: number;
  /**
   * Sends a request; the connection must be idle.
   *
   * @param sink Receives the response and the end of the exchange.
   * @param options `isPreparatory` if another exchange follows at once, also on a relayed connection, which otherwise
   * carries only one.
   */
  exchange(
    request: WorkerRequest,
    sink: ExchangeSink,
    options?: { readonly isPreparatory?: boolean },
  ): Exchange;
  /** Closes the connection; an exchange in progress ends as broken or not sent. */
  close(): void;
}

/** Options of {@linkcode openWorkerConnection}. */
export interface WorkerConnectionOptions {
  readonly clock: Clock;
  /** Starts to open the connection. The listener is not called before this returns. */
  readonly dial: (listener: DialListener) => PendingDial;
  readonly matching: ResponseMatching;
  /** Limits what all connections hold of incomplete heads. */
  readonly budget: ReceiveBudget;
  /** Calls `send` once it is known which callers have left: their ends may lie unread after a stall of the process. */
  readonly whenRead: (send: () => void) => void;
  /** Id of the worker, with which an exceeded limit is reported. */
  readonly worker: string;
  /** Called when bytes arrive from the worker. */
  readonly onReceived: () => void;
  /** Called with the head of each response, also of one that doesn't belong to the request in progress. */
  readonly onHead: (head: ResponseHead) => void;
  /** Called when the first data arrives on a connection. */
  readonly onWorking: (connection: { readonly isRelayed: boolean }) => void;
  /** Called when a connection that isn't relayed breaks during its first exchange, before any data has arrived. */
  readonly onBrokenUnused: () => void;
  /** Called when an exchange has ended and the connection can be reused. */
  readonly onIdle: () => void;
  /** Called once, when the connection is closed. */
  readonly onClosed: () => void;
}

/** A request that is sent when its connection is open. */
interface QueuedRequest {
  readonly request: WorkerRequest;
  /** When it was sent, in the clock's milliseconds; undefined until then. */
  sentAt: number | undefined;
}

const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Opens a connection to a worker. The first exchange may start at once; its request is sent when the
 * connection is established.
 */
export function openWorkerConnection(options: WorkerConnectionOptions): WorkerConnection {
  const { clock, matching, onHead } = options;
  const parser = createResponseParser();
  const held = options.budget.open(ReceivedPart.Head);
  let socket: Socket | undefined;
  /** The request that waits until the connection is established. */
  let queuedRequest: QueuedRequest | undefined;
  let current: ExchangeSink | undefined;
  let isClosed = false;
  /** Whether nothing has arrived on the connection. */
  let isUnused = false;
  let canReuse = true;
  let isRelayed = false;
  /** Whether nothing is read; also before the connection is established. */
  let isPaused = false;
  /** Whether reading stops as soon as something arrives. */
  let isHeld = false;
  /** Handles the end of the connection that arrived while nothing was read. */
  let heldEnd: (() => void) | undefined;
  /** Whether another exchange follows the current one. */
  let isPreparatory = false;
  let idleSince = clock.now();
  let idleTimeout: number | undefined;
  let exchangeCount = 0;

  const close = (): void => {
    if (isClosed) return;
    isClosed = true;
    held.close();
    dialing.close();
    socket?.destroy();
    options.onClosed();
  };
  const endExchange = (end: ExchangeEnd): void => {
    const sink = current;
    current = undefined;
    close();
    sink?.end(end);
  };
  const fail = (detail: string): void => {
    if (isUnused && !isRelayed && !isClosed && current !== undefined) options.onBrokenUnused();
    endExchange({ kind: "broken", detail });
  };
  const continueReading = (): void => {
    isPaused = false;
    isHeld = false;
    socket?.resume();
  };
  const completeExchange = (): void => {
    const sink = current;
    current = undefined;
    idleSince = clock.now();
    // The response may have ended within a pause. Nobody resumes it any more, and the next response would never be read.
    continueReading();
    // If the worker responded before it read the whole body, the rest of the body would be parsed as the next request.
    const isLast = !canReuse || (isRelayed && !isPreparatory);
    if (isLast || (socket?.writableLength ?? 0) > 0) close();
    else options.onIdle();
    sink?.end({ kind: "complete" });
  };
  const parse = (bytes: Buffer): ParseFault | undefined => {
    const fault = parser.feed(bytes);
    // The exchange may have ended with these bytes.
    const isWithinLimit = isClosed || held.hold(parser.bufferedBytes);
    if (isWithinLimit && fault !== ParseFault.TooLarge) return fault;
    held.recordExceeded(options.worker);
    return ParseFault.TooLarge;
  };
  const acceptHead = (head: ResponseHead, id: string | undefined): boolean => {
    if (!isResponseTo(head, { id, matching })) return false;
    const keepAlive = KEEP_ALIVE_TIMEOUT.exec(head.byName.get("keep-alive") ?? "")?.[1];
    if (keepAlive !== undefined) idleTimeout = Number(keepAlive) * MILLISECONDS_PER_SECOND;
    if (/\bclose\b/i.test(head.byName.get("connection") ?? "")) canReuse = false;
    return true;
  };
  const attach = ({ socket: opened, decoder, ...dialed }: DialedConnection): void => {
    socket = opened;
    isRelayed = dialed.isRelayed;
    isUnused = true;
    opened.on("data", (bytes) => {
      if (isClosed) return;
      if (isHeld) {
        opened.pause();
        opened.unshift(bytes);
        return;
      }
      options.onReceived();
      if (isUnused) options.onWorking({ isRelayed });
      isUnused = false;
      const fault = parse(decoder?.decode(bytes) ?? bytes);
      if (fault !== undefined) fail(`The worker sent an invalid response: ${fault}.`);
    });
    const handleEnd = ({ isReset }: { readonly isReset: boolean }): void => {
      if (isClosed) return;
      canReuse = false;
      if (isReset) {
        fail("The worker reset the connection.");
        return;
      }
      if (decoder?.hasWorkerEnd === false) {
        const detail =
          "The connection was closed by the instance that relays it, not by the worker.";
        endExchange({ kind: "broken", detail, isRelayFault: true });
        return;
      }
      const fault = parser.finish();
      if (fault !== undefined)
        fail("The worker closed the connection before the response was complete.");
      else close();
    };
    opened.on("end", () => {
      const isReset = wasReset(opened);
      const isWorkerEnd = !isReset && decoder?.hasWorkerEnd !== false;
      const isComplete = isWorkerEnd && parser.endsWithConnection;
      // It is reported only after the exchange is resumed.
      if (isHeld && isComplete) heldEnd = () => handleEnd({ isReset });
      else handleEnd({ isReset });
    });
    opened.on("error", (error) => fail(`The connection to the worker failed: ${error.message}.`));
    opened.on("close", () => {
      if (heldEnd === undefined) fail("The connection to the worker was closed.");
    });
    if (isPaused) opened.pause();
    if (queuedRequest !== undefined) send(opened, queuedRequest);
    queuedRequest = undefined;
  };
  const send = (opened: Socket, queued: QueuedRequest): void =>
    options.whenRead(() => {
      if (isClosed) return;
      queued.sentAt = clock.now();
      opened.write(encodeRequest(queued.request));
    });
  const dialing = options.dial({
    opened: attach,
    failed: (cause, detail) => endExchange({ kind: "not-sent", detail, cause }),
  });

  const exchange: WorkerConnection["exchange"] = (request, sink, options = {}) => {
    current = sink;
    isPreparatory = options.isPreparatory ?? false;
    exchangeCount++;
    parser.expectResponse(request.method, {
      head: (head) => {
        onHead(head);
        if (acceptHead(head, request.id)) sink.head(head);
        else fail("The worker sent the response to another request.");
      },
      data: (chunk) => {
        if (!isClosed) current?.data(chunk);
      },
      end: () => {
        if (!isClosed) completeExchange();
      },
    });
    const queued: QueuedRequest = { request, sentAt: undefined };
    if (socket === undefined) queuedRequest = queued;
    else send(socket, queued);
    const resume = (): void => {
      continueReading();
      heldEnd?.();
    };
    return {
      get sentAt() {
        return queued.sentAt;
      },
      pause: () => {
        isPaused = true;
        socket?.pause();
      },
      hold: () => {
        isHeld = true;
      },
      resume,
      abort: () => {
        current = undefined;
        close();
      },
      discard: () => {
        resume();
        current = createDiscardingSink(clock, close);
      },
    };
  };
  return {
    isIdle: () => !isClosed && current === undefined,
    hasPendingResponse: () => current !== undefined && !isPaused && !isHeld,
    idleFor: () => clock.now() - idleSince,
    get idleTimeout() {
      return idleTimeout;
    },
    get exchangeCount() {
      return exchangeCount;
    },
    exchange,
    close: () => {
      if (socket !== undefined) close();
      else
        endExchange({
          kind: "not-sent",
          detail: "The connection was closed.",
          cause: DialFailure.NoPath,
        });
    },
  };
}

/** Returns whether a response belongs to the request; a late one may belong to an earlier request. */
function isResponseTo(
  { byName }: ResponseHead,
  { id, matching }: { id: string | undefined; matching: ResponseMatching },
): boolean {
  if (id === undefined) return true;
  const echoed = byName.get(matching.idHeader);
  return echoed === undefined ? byName.has(matching.notRunHeader) : echoed === id;
}

/** Encodes a request, with `Content-Length` if it has a body or its method usually has one. */
function encodeRequest({ method, target, headers, body }: WorkerRequest): Buffer {
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
