import { connect } from "node:net";
import { Reach } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";
import { splitAddress } from "./http_listener.ts";

/** How long a worker may take to accept a connection, in milliseconds; the platform's own callers allow as much. */
export const CONNECT_TIMEOUT = 1_000;

/**
 * Finds out whether a process listens at an address, by a connection that carries nothing.
 *
 * @param address `IP:PORT`.
 */
export function reachWorker(address: string, clock: Clock): Promise<Reach> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (found: Reach): void => {
      timeout.close();
      socket.destroy();
      resolve(found);
    };
    const timeout = clock.after(CONNECT_TIMEOUT, () => finish(Reach.Unanswered));
    socket.on("connect", () => finish(Reach.Accepted));
    socket.on("error", (error: NodeJS.ErrnoException) =>
      finish(isRefusal(error) ? Reach.Refused : Reach.Unanswered),
    );
  });
}

/** Whether a connection failed because nothing listens at the address. */
export function isRefusal({ code }: NodeJS.ErrnoException): boolean {
  return code === "ECONNREFUSED";
}
