/**
 * Callers that each send one request and close their connection when their time is over, answered or not.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";
import { wallNow } from "../soak/observation.ts";

/** A request of a caller. */
export interface SentRequest {
  readonly id: string;
  /** When its caller closed the connection, on the wall clock; Infinity until then. */
  closedAt: number;
  /** Whether an answer with status 200 arrived before. */
  isAnswered: boolean;
}

/** Options of {@linkcode sendAndLeave}. */
export interface LeavingOptions {
  readonly method: "GET" | "POST";
  /** Milliseconds after which the caller closes its connection. */
  readonly deadline: number;
  /** A connection that is open; by default a new one. */
  readonly socket?: Socket;
  /** Whether a caller that got its answer keeps the connection. */
  readonly keepsConnection?: boolean;
}

/** Bytes of the body of a request with the method POST. */
const BODY_BYTES = 600;
const ANSWERED = "HTTP/1.1 200 ";

/** Opens a connection to an `IP:PORT`. */
export function openConnection(address: string): Socket {
  const [host, port] = splitAddress(address);
  return connect({ host, port, noDelay: true }).on("error", () => undefined);
}

/** Sends a request, and closes its connection at its deadline, or as soon as the head of the answer has arrived. */
export function sendAndLeave(
  address: string,
  { method, deadline, socket = openConnection(address), keepsConnection }: LeavingOptions,
): SentRequest {
  const request: SentRequest = {
    id: randomBytes(8).toString("hex"),
    closedAt: Infinity,
    isAnswered: false,
  };
  const leave = (): void => {
    clearTimeout(timer);
    request.closedAt = wallNow();
    socket.destroy();
  };
  const timer = setTimeout(leave, deadline);
  socket.once("data", (bytes: Buffer) => {
    request.isAnswered = bytes.toString("latin1").startsWith(ANSWERED);
    if (keepsConnection === true) clearTimeout(timer);
    else leave();
  });
  socket.write(requestBytes(request.id, { method, deadline }));
  return request;
}

function requestBytes(
  id: string,
  { method, deadline }: Pick<LeavingOptions, "method" | "deadline">,
): Buffer {
  const body = method === "POST" ? "x".repeat(BODY_BYTES) : "";
  return Buffer.from(
    [
      `${method} /safe/x HTTP/1.1`,
      "Host: desk.example",
      `Api-Key: ${CLIENT_KEY}`,
      `X-Request-Id: ${id}`,
      `X-Request-Deadline: ${deadline}`,
      ...(method === "POST" ? [`Content-Length: ${body.length}`] : []),
      "",
      body,
    ].join("\r\n"),
  );
}
