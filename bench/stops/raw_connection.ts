/**
 * Callers' connections of the stop harness that are written to byte by byte, as no HTTP client would.
 *
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { HOST } from "../soak/callers.ts";
import { wallNow } from "../soak/observation.ts";
import { RequestKinds } from "./clients.ts";
import type { RequestKind } from "./clients.ts";
import type { StopRequest } from "./judge.ts";
import { PADDING_HEADER, TOKEN_TIME } from "./paced_worker.ts";
import { createResponseReader } from "./response_reader.ts";

/** A request to write. */
export interface RawRequest {
  readonly kind: RequestKind;
  /** Declared tokens of the answer, from which its length follows. */
  readonly tokens: number;
  /** Bytes of padding in each event of the answer, or in the whole answer if it isn't a stream. */
  readonly padding?: number;
  /** Bytes of its body. */
  readonly bodySize?: number;
}

/** Where a connection leads and how it is read. */
export interface RawConnectionOptions {
  /** `IP:PORT` to connect to: that of the instance or of a link to it. */
  readonly address: string;
  /** Process id of the instance. */
  readonly pid: number;
  /** Name under which its requests are counted. */
  readonly group: string;
  /** Bytes per second that the caller reads; by default all that arrive. */
  readonly readRate?: number | undefined;
  readonly record: (request: StopRequest) => void;
}

/** A request whose answer isn't complete yet. */
interface PendingRequest {
  readonly id: string;
  readonly length: number;
  sentAt: number;
  status: number;
  readonly onHead: () => void;
  readonly onEnd: (isWhole: boolean) => void;
}

/** What its sender learns of a request. */
export interface SentRawRequest {
  /** Resolves when the head of its answer has arrived, or with its end. */
  readonly answered: Promise<void>;
  /** Resolves at its end with whether its answer is whole. */
  readonly ended: Promise<boolean>;
}

/** A caller's connection. */
export interface RawConnection {
  readonly isClosed: boolean;
  /** Resolves when the connection has closed or couldn't be opened. */
  readonly closed: Promise<void>;
  /** Writes a request at once, without its body if `bodySize` is set. */
  send(request: RawRequest): SentRawRequest;
  /** Writes bytes behind what was written; the last request counts as sent then if they are of its body. */
  write(bytes: string, options?: { readonly isBody: boolean }): void;
  destroy(): void;
}

const PROMPT_TOKENS = 10;
/** Deadline of all requests, in milliseconds: longer than any stop. */
const DEADLINE = 15_000;
const MILLISECONDS_PER_SECOND = 1_000;

let requestCount = 0;

/** Opens a connection; what is written before it is open is sent then. */
export function openRawConnection(options: RawConnectionOptions): RawConnection {
  const { address, pid, group, readRate, record } = options;
  const [host, port] = splitAddress(address);
  const socket = connect({ host, port, allowHalfOpen: true, noDelay: true });
  const pending: PendingRequest[] = [];
  let isClosed = false;
  const endFirst = (isWhole: boolean): void => {
    const request = pending.shift();
    if (request === undefined) return;
    const { id, length, sentAt, status } = request;
    record({ id, pid, group, sentAt, endedAt: wallNow(), length, status, isWhole });
    request.onHead();
    request.onEnd(isWhole);
  };
  const reader = createResponseReader({
    onHead: (status) => {
      const [first] = pending;
      if (first === undefined) return;
      first.status = status;
      first.onHead();
    },
    onEnd: (isLast) => {
      if (isLast) isClosed = true;
      endFirst(true);
      // Requests behind it will not be answered.
      if (isLast) socket.destroySoon();
    },
  });
  socket.on("data", (bytes) => {
    reader.push(bytes);
    if (readRate !== undefined)
      pauseFor(socket, (bytes.length / readRate) * MILLISECONDS_PER_SECOND);
  });
  socket.on("end", () => socket.destroy());
  socket.on("error", () => undefined);
  const closed = new Promise<void>((resolve) => {
    socket.on("close", () => {
      isClosed = true;
      while (pending.length > 0) endFirst(false);
      resolve();
    });
  });
  return {
    get isClosed() {
      return isClosed;
    },
    closed,
    send: (request) => {
      const id = `${group}-${pid}-${++requestCount}`;
      let onHead = (): void => undefined;
      let onEnd: PendingRequest["onEnd"] = () => undefined;
      const answered = new Promise<void>((resolve) => (onHead = resolve));
      const ended = new Promise<boolean>((resolve) => (onEnd = resolve));
      const length = request.tokens * TOKEN_TIME;
      pending.push({ id, length, sentAt: wallNow(), status: 0, onHead, onEnd });
      if (isClosed) endFirst(false);
      else socket.write(headText(id, request));
      return { answered, ended };
    },
    write: (bytes, { isBody } = { isBody: false }) => {
      const last = pending.at(-1);
      if (isBody && last !== undefined) last.sentAt = wallNow();
      if (!socket.destroyed) socket.write(bytes);
    },
    destroy: () => void socket.destroy(),
  };
}

function pauseFor(socket: Socket, duration: number): void {
  socket.pause();
  setTimeout(() => socket.resume(), duration);
}

function headText(id: string, { kind, tokens, padding = 0, bodySize = 0 }: RawRequest): string {
  const { method, path } = RequestKinds[kind];
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Api-Key: ${CLIENT_KEY}`,
    `X-Request-Id: ${id}`,
    `X-Request-Deadline: ${DEADLINE}`,
    `X-Token-Usage: ${PROMPT_TOKENS},${tokens}`,
    `${PADDING_HEADER}: ${padding}`,
    `Content-Length: ${bodySize}`,
    "\r\n",
  ].join("\r\n");
}
