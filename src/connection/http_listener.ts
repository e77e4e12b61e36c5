import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A listening HTTP server. */
export interface Listener {
  /** `IP:PORT`, with the port that was bound. */
  readonly address: string;
  /** Stops listening; requests in progress go on to their end. */
  drain(): void;
  /** Stops listening and ends every connection. */
  close(): Promise<void>;
}

/** A certificate and its key, both PEM. */
export interface Certificate {
  readonly certificate: string;
  readonly key: string;
}

/** How long a client may take over its headers before the connection is ended (slow-loris). */
const HEADERS_TIMEOUT = 10_000;
/** Bound on the size of all headers together, in bytes. */
const MAX_HEADER_SIZE = 16_384;

/**
 * Listens for HTTP.
 *
 * @param address `IP:PORT`; port 0 binds a free one.
 * @param handle Called for each request.
 * @param options With `tls`, connections are encrypted.
 * @returns The listener, once it listens.
 */
export async function listenHttp(
  address: string,
  handle: RequestListener,
  { tls }: { tls?: Certificate | undefined } = {},
): Promise<Listener> {
  const bounds = {
    headersTimeout: HEADERS_TIMEOUT,
    maxHeaderSize: MAX_HEADER_SIZE,
    requestTimeout: 0,
  };
  const server =
    tls === undefined ? createServer(bounds, handle) : await secureServer({ bounds, tls, handle });
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      resolve(listenerOf(server));
    });
  });
}

/** The modules of TLS are loaded only where they are used: they are a twentieth of a plain instance's start. */
async function secureServer(parts: {
  bounds: { headersTimeout: number; maxHeaderSize: number; requestTimeout: number };
  tls: Certificate;
  handle: RequestListener;
}): Promise<Server> {
  const { createServer: createSecureServer } = await import("node:https");
  const { bounds, tls, handle } = parts;
  return createSecureServer({ ...bounds, cert: tls.certificate, key: tls.key }, handle);
}

/** A server that listens, as its owner closes it. */
export function listenerOf(server: Server): Listener {
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

/** Splits `IP:PORT`. */
export function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
