import type { Socket } from "node:net";

/** The sockets below HTTP/2 sessions. */
export interface SocketSet {
  /** Adds a socket until it closes. */
  add(socket: Socket): void;
  /** Closes all sockets at once, and with them the sessions on them. */
  destroyAll(): void;
}

/**
 * Creates an empty set, by which HTTP/2 sessions are ended.
 *
 * `session.destroy()` can stop the whole process for good. It destroys the session's streams one after
 * another. If one of them has been closed before its last data was sent, and another one is reset after
 * it, Node.js sends empty frames for the first one in an endless loop that also uses up all memory. If
 * the socket is closed instead, all streams are reset before the first one is destroyed.
 */
export function createSocketSet(): SocketSet {
  const sockets = new Set<Socket>();
  return {
    add: (socket) => {
      sockets.add(socket);
      socket.once("close", () => sockets.delete(socket));
    },
    destroyAll: () => {
      for (const socket of [...sockets]) socket.destroy();
    },
  };
}
