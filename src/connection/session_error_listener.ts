import type { ClientHttp2Session } from "node:http2";
import type { ConnectTransportOptions, Http2SessionManager } from "@connectrpc/connect-node";

/** The session manager interface that a transport requires. */
type SessionManager = NonNullable<
  Extract<ConnectTransportOptions, { httpVersion: "2" }>["sessionManager"]
>;

/**
 * Wraps a session manager so that its HTTP/2 sessions always have a listener for `error` events.
 *
 * A destroyed session emits its error shortly afterwards. If the manager is aborted in between, it has
 * already removed its own listener, and the unhandled error ends the process. This occurs when a peer stops
 * while this instance closes its connection to it; both wait equally long, so the two often coincide.
 * The error itself can be ignored here, because the calls on the session report it.
 */
export function addErrorListeners(manager: Http2SessionManager): SessionManager {
  const seen = new WeakSet<ClientHttp2Session>();
  const addListener = (session: ClientHttp2Session | undefined): void => {
    if (session === undefined || seen.has(session)) return;
    seen.add(session);
    session.on("error", () => undefined);
  };
  return {
    authority: manager.authority,
    request: async (method, path, headers, options) => {
      const stream = await manager.request(method, path, headers, options);
      addListener(stream.session as ClientHttp2Session | undefined);
      return stream;
    },
    notifyResponseByteRead: (stream) => manager.notifyResponseByteRead(stream),
  };
}
