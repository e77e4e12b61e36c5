/**
 * Refusals of what callers send that is not parsed, or not parsed any further.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { ReadingLimit } from "../decision/index.ts";

/** The errors of the parser, and the statuses, for bytes beyond limits. */
const ERRORS = {
  [ReadingLimit.Framing]: { code: "HPE_CHUNK_EXTENSIONS_OVERFLOW", status: 413 },
  [ReadingLimit.Gap]: { code: "HPE_HEADER_OVERFLOW", status: 431 },
} as const;

/** Ends a connection as if the parser had failed. */
export function refuseBytes(
  server: Server,
  socket: Socket,
  limit: ReadingLimit.Framing | ReadingLimit.Gap,
): void {
  const { code, status } = ERRORS[limit];
  const error = Object.assign(new Error(`The limit ${limit} was exceeded.`), { code });
  if (server.emit("clientError", error, socket)) return;
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}

/** The response to a request that has waited for too long; it has not run. Capacity is freed within some hundred ms. */
const WAIT_REFUSAL =
  "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/** Refuses a request of which nothing was parsed, and ends its connection once the caller has read that. */
export function refuseUnparsed(socket: Socket): void {
  socket.write(WAIT_REFUSAL);
  socket.destroySoon();
}
