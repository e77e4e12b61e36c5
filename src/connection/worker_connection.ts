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

/** How answers are matched with requests. */
export interface AnswerMatching {
  /** Lower-case name of the header that echoes the request's id. */
  readonly idHeader: string;
  /** Lower-case name of the header that says that the request was not run; such an answer may lack the id. */
  readonly notRunHeader: string;
}

/** One connection to a worker; it carries one exchange at a time. */
export interface WorkerConnection {
  /** Whether it can take a request now. */
  isIdle(): boolean;
  /** Milliseconds for which it has been idle. */
  idleFor(): number;
  /** Milliseconds after which the worker closes it when idle, as far as the worker has said. */
  readonly idleTimeout: number | undefined;
  /** Requests that it has carried. */
  readonly carried: number;
  exchange(request: WorkerRequest, sink: ExchangeSink): Exchange;
  close(): void;
}

/** What a connection is made with. */
export interface WorkerConnectionParts {
  readonly clock: Clock;
  /** `IP:PORT`. */
  readonly address: string;
  readonly matching: AnswerMatching;
  /** Bytes came from the worker. */
  readonly heard: () => void;
  /** An exchange is over and the connection can take another. */
  readonly freed: () => void;
  readonly closed: () => void;
}

const TIMEOUT_PARAMETER = /timeout=(\d+)/;
const MILLISECONDS = 1_000;

/** Opens a connection. The first exchange may begin at once; it is written when the connection is there. */
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
    fail(`The worker didn't accept a connection within ${CONNECT_TIMEOUT} ms.`),
  );
  const finished = (): void => {
    const sink = current;
    current = undefined;
    idleSince = clock.now();
    // What is left of a body that the worker answered early would stand where its next request is due.
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
    if (fault !== undefined) fail(`The worker sent what is no answer to the request: ${fault}.`);
  });
  socket.on("end", () => {
    if (isClosed) return;
    mayKeep = false;
    if (wasReset(socket)) {
      fail("The worker reset the connection.");
      return;
    }
    const fault = parser.finish();
    if (fault !== undefined) fail("The worker closed the connection before the answer was whole.");
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
        else fail("The worker sent the answer of another request.");
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
 * Says whether a connection whose end was reported has been reset. Where the last bytes and a reset come at once,
 * Node.js reports the bytes and then an orderly end, and the reset is lost: an answer without a length would look
 * whole. The system knows better: a connection that was reset has no peer any more.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** Says whether an answer belongs to the request: an answer of an earlier one may come late in its place. */
function isAnswerTo(
  { byName }: AnswerHead,
  { id, matching }: { id: string | undefined; matching: AnswerMatching },
): boolean {
  if (id === undefined) return true;
  const echoed = byName.get(matching.idHeader);
  return echoed === undefined ? byName.has(matching.notRunHeader) : echoed === id;
}

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
