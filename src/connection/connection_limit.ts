import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { chooseConnection } from "../decision/index.ts";
import type { OpenConnection } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";
import { connectionEvent } from "./http_listener.ts";

/** Limits the connections of callers over all listeners of a process. */
export interface ConnectionLimit {
  /** Number of open connections. */
  readonly open: number;
  /** Counts the connections of a server. Called before a connection is accepted. */
  apply(server: Server): void;
}

/** Options of {@linkcode createConnectionLimit}. */
export interface ConnectionLimitOptions {
  readonly clock: Pick<Clock, "now">;
  /** Number of connections that may be open. */
  readonly limit: number;
  /** Called with the address of a caller whose connection is closed because there are too many. */
  readonly onLimit: (limit: string, address: string) => void;
}

/** Name of this limit in the log and the metrics. */
const CONNECTION_LIMIT = "connections";

/** A connection whose state changes with its requests. */
interface Connection extends OpenConnection {
  readonly socket: Socket;
  latest: IncomingMessage | undefined;
  requests: number;
  isUsed: boolean;
  activeAt: number;
}

/** Creates a limit without any connections. */
export function createConnectionLimit({
  clock,
  limit,
  onLimit,
}: ConnectionLimitOptions): ConnectionLimit {
  const connections = new Map<Duplex, Connection>();
  const closeOne = (): void => {
    const chosen = chooseConnection(connections.values());
    if (chosen === undefined) return;
    onLimit(CONNECTION_LIMIT, chosen.address);
    connections.delete(chosen.socket);
    chosen.socket.destroy();
  };
  return {
    get open() {
      return connections.size;
    },
    apply: (server) => {
      server.on(connectionEvent(server), (socket: Socket) => {
        const address = socket.remoteAddress ?? "";
        const activeAt = clock.now();
        connections.set(socket, createConnection({ socket, address, activeAt }));
        socket.once("close", () => connections.delete(socket));
        if (connections.size > limit) closeOne();
      });
      server.prependListener("request", (request, response) => {
        const connection = connections.get(request.socket);
        if (connection === undefined) return;
        connection.latest = request;
        connection.isUsed = true;
        connection.requests++;
        connection.activeAt = clock.now();
        response.once("close", () => {
          connection.requests--;
          connection.activeAt = clock.now();
        });
      });
    },
  };
}

function createConnection(opened: Pick<Connection, "socket" | "address" | "activeAt">): Connection {
  return {
    ...opened,
    latest: undefined,
    requests: 0,
    isUsed: false,
    get isReceiving() {
      return this.latest?.complete === false;
    },
  };
}
