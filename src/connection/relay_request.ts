import { request } from "node:http";
import type { Socket } from "node:net";
import { DialFailure } from "../interface/index.ts";
import type { DialListener, PendingDial } from "./dial.ts";
import { splitAddress } from "./http_listener.ts";
import {
  createRelayDecoder,
  createUnframedDecoder,
  RELAY_FRAMING_HEADER,
  RELAY_FRAMING_VERSION,
} from "./relay_framing.ts";
import { RELAY_ESTABLISHED, workerFailureOf } from "./relay_status.ts";

/** The listener gets no call before the function returns. */
export type RequestRelay = (relay: string, target: string, listener: DialListener) => PendingDial;

/**
 * Asks one instance with the method CONNECT to open a connection to a worker. Fails with `NoPath` if the instance can't
 * be reached or has no path to the worker.
 *
 * @param target `IP:PORT` of the worker.
 */
export const requestRelay: RequestRelay = (relay, target, listener) => {
  const [host, port] = splitAddress(relay);
  const headers = { [RELAY_FRAMING_HEADER]: RELAY_FRAMING_VERSION };
  const attempt = request({ host, port, method: "CONNECT", path: target, agent: false, headers });
  let isSettled = false;
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    return true;
  };
  attempt.on("error", (error) => {
    if (settle())
      listener.failed(DialFailure.NoPath, `The other instance failed: ${error.message}.`);
  });
  attempt.on("connect", (response, socket: Socket, head) => {
    if (!settle()) {
      socket.destroy();
      return;
    }
    if (response.statusCode === RELAY_ESTABLISHED) {
      if (head.length > 0) socket.unshift(head);
      socket.setNoDelay(true);
      const isFramed = response.headers[RELAY_FRAMING_HEADER] === RELAY_FRAMING_VERSION;
      const decoder = isFramed ? createRelayDecoder() : createUnframedDecoder();
      listener.opened({ socket, isRelayed: true, decoder });
      return;
    }
    socket.destroy();
    const failure = workerFailureOf(response.statusCode) ?? DialFailure.NoPath;
    listener.failed(failure, "The worker didn't accept the relayed connection.");
  });
  attempt.end();
  return {
    close: () => {
      if (settle()) attempt.destroy();
    },
  };
};
