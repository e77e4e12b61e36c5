/**
 * Callers that send what no sound caller sends, or leave answers unread.
 *
 * @module
 */
import { createConnection } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { CLIENT_KEY } from "../../platform/testing/entry_fleet.ts";
import { splitAddress } from "../../src/connection/http_listener.ts";

/** Returns the bytes that one connection sends, in order; may be without end. */
export type CrowdScript = (index: number) => Iterable<Buffer>;

/** Options of {@linkcode openCrowd}. */
export interface CrowdOptions {
  /** Number of connections. */
  readonly connections: number;
  readonly script: CrowdScript;
  /** The address from which it connects; by default any. */
  readonly localAddress?: string;
  /** Whether it reads what the instance sends; by default it does. */
  readonly reads?: boolean;
}

/** Open connections of a crowd. */
export interface Crowd {
  /** Number of connections that are open. */
  readonly open: number;
  /** Statuses of the first answers. */
  readonly statuses: ReadonlyMap<string, number>;
  /** Resolves once each connection has sent everything or has ended, at the latest after a fixed time. */
  waitUntilSent(): Promise<void>;
  /** Resolves once all connections have ended. */
  waitUntilEnded(): Promise<void>;
  close(): void;
}

interface StartedConnection {
  readonly socket: Socket;
  readonly closed: Promise<void>;
  /** Resolves once everything was written or the connection has closed. */
  readonly sent: Promise<void>;
}

/** Maximum time for which a crowd sends, in milliseconds. */
const SENDING_TIME = 6_000;
/** Time for which a crowd stays after it has sent everything, in milliseconds. */
const STAYING_TIME = 1_000;

/** Opens the connections and begins to send. */
export function openCrowd(
  address: string,
  { connections, script, localAddress, reads = true }: CrowdOptions,
): Crowd {
  const [host, port] = splitAddress(address);
  const statuses = new Map<string, number>();
  const startConnection = (index: number): StartedConnection => {
    const socket = createConnection({
      host,
      port,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    socket.on("error", () => undefined);
    const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
    if (reads) {
      socket.once("data", (data: Buffer) => {
        const status = data.toString("latin1", 9, 12);
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
      });
      socket.resume();
    } else {
      // A paused socket is never read, so that the answers fill the buffers.
      socket.pause();
    }
    return { socket, closed, sent: sendAll({ socket, closed }, script(index)) };
  };
  const started = Array.from({ length: connections }, (_, index) => startConnection(index));
  return {
    statuses,
    get open() {
      return started.filter(({ socket }) => !socket.destroyed).length;
    },
    waitUntilSent: async () => {
      const allSent = Promise.all(started.map(({ sent }) => sent));
      await Promise.race([allSent, wait(SENDING_TIME)]);
      await wait(STAYING_TIME);
    },
    waitUntilEnded: async () => {
      await Promise.all(started.map(({ closed }) => closed));
    },
    close: () => {
      for (const { socket } of started) socket.destroy();
    },
  };
}

/** Writes the parts one after the other, as fast as they are taken, until the connection has closed. */
async function sendAll(
  { socket, closed }: Pick<StartedConnection, "socket" | "closed">,
  parts: Iterable<Buffer>,
): Promise<void> {
  for (const part of parts) {
    if (socket.destroyed) return;
    if (socket.write(part)) continue;
    const drained = new Promise<void>((resolve) => socket.once("drain", () => resolve()));
    await Promise.race([drained, closed]);
  }
}

/** Returns the head of a request to the fleet's route, with these additional lines. */
export function requestHead(
  lines: readonly string[],
  { method = "POST", route = "safe" } = {},
): Buffer {
  return Buffer.from(
    [
      `${method} /${route}/x HTTP/1.1`,
      "Host: desk.example",
      `Api-Key: ${CLIENT_KEY}`,
      "X-Request-Deadline: 50000",
      ...lines,
      "",
      "",
    ].join("\r\n"),
  );
}

/** Returns chunks of a body: as many of one size as fit into `total` bytes, grouped for fewer writes. */
export function* chunksOf(size: number, total: number): Generator<Buffer> {
  const chunk = Buffer.from(`${size.toString(16)}\r\n${"x".repeat(size)}\r\n`);
  const count = Math.floor(total / size);
  const perGroup = Math.max(1, Math.floor(GROUP_BYTES / chunk.length));
  const group = Buffer.concat(Array.from({ length: Math.min(count, perGroup) }, () => chunk));
  for (let left = count; left > 0; left -= perGroup) {
    yield left >= perGroup ? group : group.subarray(0, left * chunk.length);
  }
}

/** Bytes that are written at a time. */
const GROUP_BYTES = 65_536;
