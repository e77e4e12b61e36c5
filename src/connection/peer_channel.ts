import { createClient } from "@connectrpc/connect";
import type { Client } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { ConnectTransportOptions } from "@connectrpc/connect-node";
import { Peer } from "../gen/peer_pb.ts";
import { guardSessions } from "./guarded_sessions.ts";
import type { Certificate } from "./http_listener.ts";

/** How long a connection that was given up may take to report what ended it, in milliseconds. */
const CLOSING_TIME = 1_000;
/** Bound on one message, in bytes: a cession may carry many records. */
const MESSAGE_LIMIT = 64_000_000;

/** Credentials and encryption of the connections between entry instances. */
export interface PeerSecurity {
  readonly peerKey: string;
  /** PEM; absent where connections are plain. The certificate is its own authority. */
  readonly tls?: Certificate | undefined;
}

/**
 * One HTTP/2 connection to a peer, replaced when it has gone silent.
 *
 * Something between the two ends may lose track of an open connection while new ones work. Calls on it
 * then wait for ever. A call that timed out renews the connection before the peer is blamed. The pings of
 * the session manager stay off: it begins them again on a session that is destroyed, when the last stream
 * ends, and the ping then throws in a timer and ends the process.
 */
export interface PeerChannel {
  client(): Client<typeof Peer>;
  /** Gives the connection up; the next call opens a new one. */
  renew(): void;
  close(): void;
}

/** Makes a channel to `IP:PORT`; nothing is opened before the first call. */
export function createPeerChannel(address: string, security: PeerSecurity): PeerChannel {
  let open = openClient(address, security);
  const give = (): void => {
    const { manager } = open;
    const reason = new Error(`The connection to ${address} was given up.`);
    // A session that the peer has just closed still has an error to report, and aborting it takes away
    // the listener for it: the process would end with an uncaught exception. It gets time to report.
    setTimeout(() => manager.abort(reason), CLOSING_TIME).unref();
  };
  return {
    client: () => open.client,
    renew: () => {
      give();
      open = openClient(address, security);
    },
    close: give,
  };
}

interface OpenClient {
  readonly client: Client<typeof Peer>;
  readonly manager: Http2SessionManager;
}

function openClient(address: string, { peerKey, tls }: PeerSecurity): OpenClient {
  const baseUrl = `${tls === undefined ? "http" : "https"}://${address}`;
  const manager = new Http2SessionManager(
    baseUrl,
    {},
    tls === undefined ? {} : { ca: tls.certificate },
  );
  const options: ConnectTransportOptions = {
    httpVersion: "2",
    baseUrl,
    sessionManager: guardSessions(manager),
    readMaxBytes: MESSAGE_LIMIT,
    interceptors: [
      (next) => (request) => {
        request.header.set("authorization", `Bearer ${peerKey}`);
        return next(request);
      },
    ],
  };
  return { client: createClient(Peer, createConnectTransport(options)), manager };
}
