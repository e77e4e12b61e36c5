import type { ClientHttp2Session } from "node:http2";
import type { ConnectTransportOptions, Http2SessionManager } from "@connectrpc/connect-node";

/** What a transport asks of its session manager. */
type SessionManager = NonNullable<
  Extract<ConnectTransportOptions, { httpVersion: "2" }>["sessionManager"]
>;

/**
 * A session manager whose sessions always have somebody to report an error to.
 *
 * A session that is destroyed reports its error a moment later. If its manager is aborted in that moment, it has taken
 * its own listener away by then, and the error ends the process: a peer that stops and an instance that gives the
 * connection to it up do so at the same time, since both wait equally long. What the error says is told to the calls
 * on the session; here it only has to be heard.
 */
export function guardSessions(manager: Http2SessionManager): SessionManager {
  const known = new WeakSet<ClientHttp2Session>();
  const guard = (session: ClientHttp2Session | undefined): void => {
    if (session === undefined || known.has(session)) return;
    known.add(session);
    session.on("error", () => undefined);
  };
  return {
    authority: manager.authority,
    request: async (method, path, headers, options) => {
      const stream = await manager.request(method, path, headers, options);
      guard(stream.session as ClientHttp2Session | undefined);
      return stream;
    },
    notifyResponseByteRead: (stream) => manager.notifyResponseByteRead(stream),
  };
}
