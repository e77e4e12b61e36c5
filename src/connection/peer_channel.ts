import { connect } from "node:net";
import type { Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { createClient } from "@connectrpc/connect";
import type { Client } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { ConnectTransportOptions } from "@connectrpc/connect-node";
import { Peer } from "../gen/peer_pb.ts";
import { addErrorListeners } from "./session_error_listener.ts";
import { splitAddress } from "./http_listener.ts";
import type { Certificate } from "./http_listener.ts";
import { createSocketSet } from "./socket_set.ts";
import type { SocketSet } from "./socket_set.ts";

/** Delay before a replaced connection is aborted, in milliseconds, so that it can report its error. */
const ABORT_DELAY = 1_000;
/** Maximum size of a message, in bytes; a slot handover may carry many records. */
const MAX_MESSAGE_BYTES = 64_000_000;

/** Credentials and encryption of the connections between entry instances. */
export interface PeerSecurity {
  /** Bearer token that authenticates entry instances to each other. */
  readonly peerKey: string;
  /** In PEM format; absent for unencrypted connections. The certificate is its own CA. */
  readonly tls?: Certificate | undefined;
}

/**
 * One HTTP/2 connection to a peer, which can be replaced if it stops delivering data.
 *
 * A middlebox may drop the state of an open connection while new connections still work. Calls on the old
 * connection then never end. After a timeout, a call is therefore retried on a new connection before the
 * peer is reported as failed. The pings of the session manager are disabled, because it restarts them when
 * the last stream of a destroyed session ends; the ping then throws in a timer and ends the process.
 */
export interface PeerChannel {
  /** Returns the client for the current connection. */
  client(): Client<typeof Peer>;
  /** Drops the connection; the next call opens a new one. */
  reconnect(): void;
  /** Drops the connection; the channel is not used again. */
  close(): void;
}

/** Creates a channel to an `IP:PORT`; the first call opens the connection. */
export function createPeerChannel(address: string, security: PeerSecurity): PeerChannel {
  let current = openClient(address, security);
  const dropConnection = (): void => {
    const { manager, sockets } = current;
    const reason = new Error(`The connection to ${address} was dropped.`);
    // A session that the peer has just closed may still emit an error. Aborting it at once would remove
    // the listener, and the error would end the process as an uncaught exception.
    setTimeout(() => {
      sockets.destroyAll();
      setImmediate(() => manager.abort(reason));
    }, ABORT_DELAY).unref();
  };
  return {
    client: () => current.client,
    reconnect: () => {
      dropConnection();
      current = openClient(address, security);
    },
    close: dropConnection,
  };
}

/** A client with the session manager of its connection, and the sockets that the manager has opened. */
interface OpenClient {
  readonly client: Client<typeof Peer>;
  readonly manager: Http2SessionManager;
  readonly sockets: SocketSet;
}

function openClient(address: string, { peerKey, tls }: PeerSecurity): OpenClient {
  const baseUrl = `${tls === undefined ? "http" : "https"}://${address}`;
  const sockets = createSocketSet();
  const createConnection = (): Socket => {
    const socket = openSocket(address, tls);
    sockets.add(socket);
    return socket;
  };
  const manager = new Http2SessionManager(baseUrl, {}, { createConnection });
  const options: ConnectTransportOptions = {
    httpVersion: "2",
    baseUrl,
    sessionManager: addErrorListeners(manager),
    readMaxBytes: MAX_MESSAGE_BYTES,
    interceptors: [
      (next) => (request) => {
        request.header.set("authorization", `Bearer ${peerKey}`);
        return next(request);
      },
    ],
  };
  return { client: createClient(Peer, createConnectTransport(options)), manager, sockets };
}

function openSocket(address: string, tls: Certificate | undefined): Socket {
  const [host, port] = splitAddress(address);
  if (tls === undefined) return connect({ host, port });
  return connectTls({ host, port, ca: tls.certificate, ALPNProtocols: ["h2"] });
}
