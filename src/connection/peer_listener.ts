import { createServer, createSecureServer } from "node:http2";
import type { Http2Server } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConnectRouter, Interceptor } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { Peer, PullReplySchema } from "../gen/peer_pb.ts";
import type { PeerHandlers } from "../interface/index.ts";
import { bearerToken, equalSecrets } from "./credentials.ts";
import { splitAddress } from "./http_listener.ts";
import type { Listener } from "./http_listener.ts";
import type { PeerSecurity } from "./peer_channel.ts";
import { createSocketSet } from "./socket_set.ts";
import {
  decodeAsk,
  decodeCede,
  decodeProbe,
  decodeRelay,
  decodeReplicate,
  encodeAskReply,
  encodeCedeReply,
  encodeProbeReply,
  encodeRelayEvent,
  encodeReplicateReply,
} from "./peer_codec.ts";

/** Maximum size of a message, in bytes; a slot handover may carry many records. */
const MAX_MESSAGE_BYTES = 64_000_000;

/** Options of {@linkcode listenPeers}. */
export interface PeerListenerOptions {
  /** The key that callers must have, and the certificate of this listener. */
  readonly security: PeerSecurity;
  /** Called for each call that is rejected because it lacks the peer key. */
  readonly onUnauthenticated: () => void;
}

/**
 * Listens for calls of other entry instances over HTTP/2. Calls without the peer key fail as
 * unauthenticated.
 *
 * @param address `IP:PORT`; port 0 binds a free port.
 * @param handlers Handle the calls.
 * @returns The listener, once it accepts connections. Rejects if the address can't be bound.
 */
export function listenPeers(
  address: string,
  handlers: PeerHandlers,
  options: PeerListenerOptions,
): Promise<Listener> {
  const adapter = connectNodeAdapter({
    routes: (router) => addPeerRoutes(router, handlers),
    interceptors: [createAuthInterceptor(options)],
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  const { tls } = options.security;
  const server =
    tls === undefined
      ? createServer(adapter)
      : createSecureServer({ cert: tls.certificate, key: tls.key }, adapter);
  return listen(server, address);
}

/** Listens and keeps track of the sockets, so that `close` can end the sessions on them. */
function listen(server: Http2Server, address: string): Promise<Listener> {
  const sockets = createSocketSet();
  server.on("connection", (socket: Socket) => sockets.add(socket));
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      const bound = server.address() as AddressInfo;
      resolve({
        address: `${bound.address}:${bound.port}`,
        drain: () => server.close(),
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            sockets.destroyAll();
          }),
      });
    });
  });
}

function createAuthInterceptor({ security, onUnauthenticated }: PeerListenerOptions): Interceptor {
  return (next) => (request) => {
    if (equalSecrets(bearerToken(request.header.get("authorization")), security.peerKey)) {
      return next(request);
    }
    onUnauthenticated();
    throw new ConnectError("The call lacks the key of the entry instances.", Code.Unauthenticated);
  };
}

function addPeerRoutes(router: ConnectRouter, handlers: PeerHandlers): void {
  router.service(Peer, {
    replicate: async function* (messages) {
      for await (const message of messages) {
        const reply = handlers.replicate(decodeReplicate(message));
        yield encodeReplicateReply(reply, message.correlation);
      }
    },
    cede: (message) => encodeCedeReply(handlers.cede(decodeCede(message))),
    probe: async (message) => encodeProbeReply(await handlers.probe(decodeProbe(message))),
    pull: ({ key }) => {
      const found = handlers.pull(key);
      if (found === undefined) return create(PullReplySchema, { found: false });
      const { version, value } = found;
      return create(PullReplySchema, { found: true, version: BigInt(version), value });
    },
    relay: async function* (message, { signal }) {
      for await (const event of handlers.relay(decodeRelay(message), signal)) {
        yield encodeRelayEvent(event);
      }
    },
    ask: async (message) => encodeAskReply(await handlers.ask(decodeAsk(message))),
  });
}
