import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterRunningTime, DialFailure } from "../interface/index.ts";
import type { Clock, Timer } from "../interface/index.ts";
import { hasValidPort, splitAddress } from "./http_listener.ts";
import type { RelayDecoder } from "./relay_framing.ts";

/** Timeout for opening a connection to a worker, in milliseconds; the platform's own clients use the same. */
export const CONNECT_TIMEOUT = 1_000;
/** Milliseconds after which a connection that isn't established counts as slow. */
export const SLOW_CONNECT_TIME = 300;

/** An established connection to a worker. */
export interface DialedConnection {
  readonly socket: Socket;
  /** Whether it goes through another instance. Such a connection carries one exchange only. */
  readonly isRelayed: boolean;
  /** Decodes what arrives on a relayed connection; undefined if the bytes are the worker's own. */
  readonly decoder?: RelayDecoder | undefined;
}

/** Receives the result of an attempt to open a connection: exactly one call. */
export interface DialListener {
  opened(connection: DialedConnection): void;
  failed(failure: DialFailure, detail: string): void;
}

/** An attempt to open a connection. */
export interface PendingDial {
  /** Abandons the attempt. The listener gets no call. Has no effect after the listener was called. */
  close(): void;
}

/** Starts to open a TCP connection to an `IP:PORT`. */
export type Connect = (address: string) => Socket;

/** Opens TCP connections of the operating system. */
export const connectTcp: Connect = (address) => {
  const [host, port] = splitAddress(address);
  return connect({ host, port, noDelay: true });
};

/** Dependencies and options of {@linkcode dialDirect}. */
export interface DialOptions {
  readonly clock: Clock;
  readonly connect: Connect;
  /** Called when the connection takes unusually long. The attempt continues. */
  readonly onSlow?: () => void;
  /** Timeout in milliseconds. */
  readonly timeout?: number;
}

/** Opens a connection to an `IP:PORT`. */
export function dialDirect(
  address: string,
  { clock, connect: open, onSlow, timeout = CONNECT_TIMEOUT }: DialOptions,
  listener: DialListener,
): PendingDial {
  if (!hasValidPort(address)) {
    const detail = `No worker can listen at ${address}.`;
    return clock.after(0, () => listener.failed(DialFailure.Unanswered, detail));
  }
  const socket = open(address);
  const timers: Timer[] = [];
  let isSettled = false;
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    for (const timer of timers) timer.close();
    return true;
  };
  const fail = (failure: DialFailure, detail: string): void => {
    if (!settle()) return;
    socket.destroy();
    listener.failed(failure, detail);
  };
  timers.push(
    afterRunningTime(clock, timeout, () =>
      fail(DialFailure.Unanswered, `The worker didn't accept the connection within ${timeout} ms.`),
    ),
  );
  if (onSlow !== undefined) timers.push(afterRunningTime(clock, SLOW_CONNECT_TIME, onSlow));
  socket.once("connect", () => {
    if (settle()) listener.opened({ socket, isRelayed: false });
  });
  socket.once("error", (error: NodeJS.ErrnoException) =>
    fail(
      isConnectionRefused(error) ? DialFailure.Refused : DialFailure.Unanswered,
      `The connection to the worker failed: ${error.message}.`,
    ),
  );
  return {
    close: () => {
      if (settle()) socket.destroy();
    },
  };
}

/** Returns whether a connection failed because no process listens at the address. */
export function isConnectionRefused({ code }: NodeJS.ErrnoException): boolean {
  return code === "ECONNREFUSED";
}

/**
 * Returns whether a connection for which Node.js reported an orderly end was in fact reset. If the last
 * bytes and a reset arrive together, Node.js reports the bytes and then an orderly end. A response without a
 * length would then look complete. The operating system reports no peer address for a reset connection.
 */
export function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
