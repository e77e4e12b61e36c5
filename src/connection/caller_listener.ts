import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerLimits } from "../version/index.ts";
import { listenerOf, splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";

/** Who serves the requests of a listener. */
export interface CallerHandler {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** The limits in force; undefined until they are known. */
  routing(): { readonly limits: CallerLimits } | undefined;
}

/** Limits until a configuration is known: the platform's usual ones. */
const FIRST_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 3_000,
  idleTimeout: 15_000,
};
/** The parser's own bound on headers, which can't change while it listens; the limits in force are below it. */
const GREATEST_HEADER_BYTES = 131_072;
/** How often connections whose headers are late are looked for, in milliseconds. */
const CONNECTION_LOOK = 500;
const HEADERS_TOO_LARGE = 431;
/** Connections that may wait to be accepted: a burst's worth, since a refused one comes back seconds later. */
const BACKLOG = 1_024;

/** Listens for callers' requests at `IP:PORT`, with limits that follow the configuration. */
export function listenCallers(address: string, handler: CallerHandler): Promise<Listener> {
  const limits = (): CallerLimits => handler.routing()?.limits ?? FIRST_LIMITS;
  const server = createServer(
    {
      connectionsCheckingInterval: CONNECTION_LOOK,
      headersTimeout: FIRST_LIMITS.headerTimeout,
      keepAliveTimeout: FIRST_LIMITS.idleTimeout,
      maxHeaderSize: GREATEST_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      const { headerBytes, headerTimeout, idleTimeout } = limits();
      server.headersTimeout = headerTimeout;
      server.keepAliveTimeout = idleTimeout;
      if (headerSize(request) <= headerBytes) {
        handler.handle(request, response);
        return;
      }
      response.shouldKeepAlive = false;
      response.writeHead(HEADERS_TOO_LARGE).end();
    },
  );
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: BACKLOG }, () => resolve(listenerOf(server)));
  });
}

/** Bytes of a head, nearly: separators are counted as they are usually written. */
function headerSize({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
