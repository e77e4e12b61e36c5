import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";

/** A listening HTTP server. */
export interface Listener {
  /** The bound address, as `IP:PORT`. */
  readonly address: string;
  /** Stops accepting connections; requests in progress continue until they end. */
  drain(): void;
  /** Stops accepting connections and closes all open ones. */
  close(): Promise<void>;
}

/** A TLS certificate and its private key, both in PEM format. */
export interface Certificate {
  readonly certificate: string;
  readonly key: string;
}

/** Options of {@linkcode listenHttp}. */
export interface ListenOptions {
  /** With a certificate, the server accepts only TLS connections. */
  readonly tls?: Certificate | undefined;
  /** Called for each request with the method CONNECT, with the bytes that followed it. By default they are refused. */
  readonly onConnect?: (request: IncomingMessage, stream: Duplex, head: Buffer) => void;
  /** Applies limits on callers to the server before it listens. */
  readonly limitCallers?: ((server: Server) => void) | undefined;
}

/** Returns the event with which a server reports a connection that can carry requests. */
export function connectionEvent(server: Server): "connection" | "secureConnection" {
  return "setSecureContext" in server ? "secureConnection" : "connection";
}

/** Milliseconds after which a connection without complete headers is closed, against slow-loris attacks. */
const HEADERS_TIMEOUT = 10_000;
/** Maximum total size of the headers of a request, in bytes. */
const MAX_HEADER_SIZE = 16_384;

/**
 * Listens for HTTP or HTTPS requests.
 *
 * @param address `IP:PORT`; port 0 binds a free port.
 * @param handle Called for each request.
 * @returns The listener, once it accepts connections. Rejects if the address can't be bound.
 */
export async function listenHttp(
  address: string,
  handle: RequestListener,
  { tls, onConnect, limitCallers }: ListenOptions = {},
): Promise<Listener> {
  const limits = {
    headersTimeout: HEADERS_TIMEOUT,
    maxHeaderSize: MAX_HEADER_SIZE,
    requestTimeout: 0,
  };
  const server =
    tls === undefined ? createServer(limits, handle) : await secureServer({ limits, tls, handle });
  if (onConnect !== undefined) server.on("connect", onConnect);
  limitCallers?.(server);
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      resolve(createListener(server));
    });
  });
}

/**
 * Creates an HTTPS server. The TLS modules are loaded on demand, because loading them makes up 5% of the
 * start time of an instance without TLS.
 */
async function secureServer(parts: {
  limits: { headersTimeout: number; maxHeaderSize: number; requestTimeout: number };
  tls: Certificate;
  handle: RequestListener;
}): Promise<Server> {
  const { createServer: createSecureServer } = await import("node:https");
  const { limits, tls, handle } = parts;
  return createSecureServer({ ...limits, cert: tls.certificate, key: tls.key }, handle);
}

/** Returns the {@linkcode Listener} of a server that is already listening. */
export function createListener(server: Server): Listener {
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    drain: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/** Splits an address of the form `IP:PORT`. */
export function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

const MAX_PORT = 65_535;
const PORT_END = /:\d{1,5}$/;

/** Returns whether an address has a port that can be connected to. For any other, Node.js throws instead of failing. */
export function hasValidPort(address: string): boolean {
  const [, port] = splitAddress(address);
  return PORT_END.test(address) && port > 0 && port <= MAX_PORT;
}
