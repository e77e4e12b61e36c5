import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { DialFailure } from "../interface/index.ts";
import type { WorkerEndpoint } from "../interface/index.ts";
import { wasReset } from "./dial.ts";
import type { PendingDial } from "./dial.ts";
import {
  encodeFrame,
  END_FRAME,
  RELAY_FRAMING_HEADER,
  RELAY_FRAMING_VERSION,
} from "./relay_framing.ts";
import {
  RELAY_ESTABLISHED,
  RELAY_STATUS_BY_FAILURE,
  RELAY_UNKNOWN_WORKER,
} from "./relay_status.ts";
import type { WorkerPath } from "./worker_path.ts";

/** Relays connections to workers for instances that have no path to them. */
export interface WorkerRelay {
  /** Handles a CONNECT request of another instance, whose target is the worker's `IP:PORT`. */
  handle(request: IncomingMessage, stream: Duplex, head: Buffer): void;
  /** Number of open relayed connections. */
  readonly openCount: number;
  /** Number of connections relayed so far. */
  readonly openedCount: number;
  /** Bytes exchanged with other instances on relayed connections so far. */
  readonly bytes: number;
  /** Closes all of them. */
  close(): void;
}

/** Dependencies of {@linkcode createWorkerRelay}. */
export interface WorkerRelayParts {
  readonly path: Pick<WorkerPath, "dialForPeer">;
  /** Returns the registered worker at an address. Connections to other addresses are not relayed. */
  readonly workerAt: (address: string) => WorkerEndpoint | undefined;
  /** Whether this instance is stopping. It then relays no further connections, since its end would cut them. */
  readonly isStopping: () => boolean;
  /**
   * Calls `pass` once it is known which connections have been closed: their ends may lie unread after a stall of the
   * process. By default at once.
   */
  readonly whenRead?: ((pass: () => void) => void) | undefined;
  /** Maximum number of connections that are relayed at the same time. */
  readonly maxConnections?: number;
}

/**
 * Milliseconds without data after which the other end is probed. An end that lost its power would otherwise occupy a
 * place at the worker for good.
 */
const KEEP_ALIVE_DELAY = 5_000;
/**
 * Maximum number of connections that an instance relays at the same time. If few instances of a large fleet reach a worker,
 * the others would otherwise take up their descriptors and processor time.
 */
const MAX_RELAYED_CONNECTIONS = 256;

/** Creates the relay of an instance. */
export function createWorkerRelay({
  path,
  workerAt,
  isStopping,
  whenRead = (pass: () => void): void => pass(),
  maxConnections = MAX_RELAYED_CONNECTIONS,
}: WorkerRelayParts): WorkerRelay {
  const sockets = new Set<Socket>();
  let openedCount = 0;
  let closedBytes = 0;
  const open = (socket: Socket, dial: () => PendingDial): void => {
    sockets.add(socket);
    const dialing = dial();
    socket.on("close", () => {
      sockets.delete(socket);
      closedBytes += bytesOf(socket);
      dialing.close();
    });
  };
  return {
    handle: (request, stream, head) => {
      if (!(stream instanceof Socket)) {
        stream.destroy();
        return;
      }
      const socket = stream;
      socket.on("error", () => socket.destroy());
      const worker = workerAt(request.url ?? "");
      if (worker === undefined) {
        reject(socket, RELAY_UNKNOWN_WORKER);
        return;
      }
      if (isStopping() || sockets.size >= maxConnections) {
        reject(socket, RELAY_STATUS_BY_FAILURE[DialFailure.NoPath]);
        return;
      }
      const isFramed = request.headers[RELAY_FRAMING_HEADER] === RELAY_FRAMING_VERSION;
      open(socket, () =>
        path.dialForPeer(worker, {
          opened: ({ socket: far }) => {
            socket.write(responseHead(RELAY_ESTABLISHED, { isFramed }));
            if (head.length > 0) far.write(head);
            openedCount++;
            join(socket, far, { isFramed, whenRead });
          },
          failed: (failure) => reject(socket, RELAY_STATUS_BY_FAILURE[failure]),
        }),
      );
    },
    get openCount() {
      return sockets.size;
    },
    get openedCount() {
      return openedCount;
    },
    get bytes() {
      let bytes = closedBytes;
      for (const socket of sockets) bytes += bytesOf(socket);
      return bytes;
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

function bytesOf({ bytesRead, bytesWritten }: Socket): number {
  return bytesRead + bytesWritten;
}

function responseHead(status: number, { isFramed = false }: { isFramed?: boolean } = {}): string {
  const framing = isFramed ? `${RELAY_FRAMING_HEADER}: ${RELAY_FRAMING_VERSION}\r\n` : "";
  return `HTTP/1.1 ${status} \r\n${framing}\r\n`;
}

function reject(socket: Socket, status: number): void {
  socket.write(responseHead(status));
  socket.destroySoon();
}

/**
 * Joins the connections of an instance and of a worker. The worker's end is passed on as it is: an orderly close
 * completes a response without a length, a reset must not. An instance that asks for no framing can't distinguish the
 * worker's end from that of this process.
 */
function join(
  near: Socket,
  far: Socket,
  {
    isFramed,
    whenRead,
  }: { readonly isFramed: boolean; readonly whenRead: (pass: () => void) => void },
): void {
  near.setNoDelay(true);
  for (const socket of [near, far]) socket.setKeepAlive(true, KEEP_ALIVE_DELAY);
  const unsent: Buffer[] = [];
  const pass = (): void => {
    for (const bytes of unsent.splice(0)) {
      if (!far.destroyed && !far.write(bytes)) near.pause();
    }
  };
  near.on("data", (bytes) => {
    unsent.push(bytes);
    whenRead(pass);
  });
  far.on("drain", () => near.resume());
  far.on("data", (bytes) => {
    if (!near.write(isFramed ? encodeFrame(bytes) : bytes)) far.pause();
  });
  near.on("drain", () => far.resume());
  far.on("end", () => {
    if (wasReset(far)) near.resetAndDestroy();
    else near.end(isFramed ? END_FRAME : "");
  });
  far.on("error", () => near.resetAndDestroy());
  near.on("end", () => {
    near.destroy();
    far.destroy();
  });
  near.on("close", () => far.destroy());
}
