import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "../interface/index.ts";
import { endAfterRequest } from "../request/index.ts";
import type { CallerLimits } from "../version/index.ts";
import { readCallersInParts } from "./caller_reading.ts";
import type { CallerReadingParts } from "./caller_reading.ts";
import type { ConnectionLimit } from "./connection_limit.ts";
import { endConnectionsAfterReading } from "./caller_sockets.ts";
import { createListener, splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";

/** Handles the requests that a listener accepts. */
export interface CallerHandler {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Whether new requests are refused, because the process is about to end; by default they aren't. */
  isClosedToNew?(): boolean;
  /** The routing configuration with the limits in force; undefined until one was received. */
  routing(): { readonly limits: CallerLimits } | undefined;
}

/** Dependencies of {@linkcode listenCallers}. */
export interface CallerListenerParts extends Omit<
  CallerReadingParts,
  "maxBodyBytes" | "isClosedToNew"
> {
  /** Also for the time in which the rest of refused requests is read. */
  readonly clock: Clock;
  /** Limit on the connections of callers. */
  readonly connections: ConnectionLimit;
}

/** Limits used until a configuration was received: the platform's usual ones. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};
/**
 * Maximum total size of the headers that Node's parser accepts, in bytes. It can't change while the
 * server listens, so it is above every configurable limit; the limit in force is checked per request.
 */
const MAX_HEADER_BYTES = 131_072;
/** Interval of the check for connections that exceed the header timeout, in milliseconds. */
const CONNECTION_CHECK_INTERVAL = 500;
/** HTTP status 431 (Request Header Fields Too Large). */
const HEADERS_TOO_LARGE = 431;
/**
 * Maximum number of connections waiting to be accepted. It is sized for a burst, because a client whose
 * connection attempt was refused retries only seconds later.
 */
const MAX_PENDING_CONNECTIONS = 1_024;

/**
 * Listens for HTTP requests of callers. The header and timeout limits follow the configuration in force.
 *
 * @param address `IP:PORT`; port 0 binds a free port.
 * @returns The listener, once it accepts connections. Rejects if the address can't be bound.
 */
export function listenCallers(
  address: string,
  handler: CallerHandler,
  parts: CallerListenerParts,
): Promise<Listener> {
  const { clock, connections } = parts;
  const limits = (): CallerLimits => handler.routing()?.limits ?? DEFAULT_LIMITS;
  const server = createServer(
    {
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
      headersTimeout: DEFAULT_LIMITS.headerTimeout,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      const { maxHeaderBytes, headerTimeout, idleTimeout } = limits();
      server.headersTimeout = headerTimeout;
      setIdleTimeout(server, idleTimeout);
      if (headerSize(request) <= maxHeaderBytes) {
        handler.handle(request, response);
        return;
      }
      response.shouldKeepAlive = false;
      response.writeHead(HEADERS_TOO_LARGE, { "Content-Length": 0 });
      endAfterRequest(response, Buffer.alloc(0), clock);
    },
  );
  setIdleTimeout(server, DEFAULT_LIMITS.idleTimeout);
  const maxBodyBytes = (): number => limits().maxBodyBytes;
  connections.apply(server);
  const isClosedToNew = (): boolean => handler.isClosedToNew?.() === true;
  readCallersInParts(server, { ...parts, maxBodyBytes, isClosedToNew });
  endConnectionsAfterReading(server, clock);
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: MAX_PENDING_CONNECTIONS }, () =>
      resolve(createListener(server)),
    );
  });
}

/**
 * Sets the time after which connections without a request in progress end.
 *
 * `timeout` replaces `keepAliveTimeout` on a connection as soon as any bytes follow a response. Without it, a connection
 * on which an empty line or the rest of a body follows would have no timer and stay open for good.
 */
function setIdleTimeout(server: Server, idleTimeout: number): void {
  server.keepAliveTimeout = idleTimeout;
  server.timeout = idleTimeout;
}

/** Approximate size of the headers in bytes, assuming a separator of two bytes per name and value. */
function headerSize({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
