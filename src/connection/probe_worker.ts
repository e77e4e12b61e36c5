import { connect } from "node:net";
import { ConnectResult } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";
import { splitAddress } from "./http_listener.ts";

/** Timeout for opening a connection to a worker, in milliseconds; the platform's own clients use the same. */
export const CONNECT_TIMEOUT = 1_000;

/**
 * Probes whether a process listens at an address by opening a connection and closing it again.
 *
 * @param address `IP:PORT`.
 * @returns Whether the connection was accepted, was refused, or failed in another way or timed out.
 */
export function probeWorker(address: string, clock: Clock): Promise<ConnectResult> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (result: ConnectResult): void => {
      timeout.close();
      socket.destroy();
      resolve(result);
    };
    const timeout = clock.after(CONNECT_TIMEOUT, () => finish(ConnectResult.Unanswered));
    socket.on("connect", () => finish(ConnectResult.Accepted));
    socket.on("error", (error: NodeJS.ErrnoException) =>
      finish(isConnectionRefused(error) ? ConnectResult.Refused : ConnectResult.Unanswered),
    );
  });
}

/** Returns whether a connection failed because no process listens at the address. */
export function isConnectionRefused({ code }: NodeJS.ErrnoException): boolean {
  return code === "ECONNREFUSED";
}
