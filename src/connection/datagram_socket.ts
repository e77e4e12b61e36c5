import { createSocket } from "node:dgram";
import { hasValidPort, splitAddress } from "./http_listener.ts";

/** A bound socket for sending and receiving datagrams. */
export interface DatagramSocket {
  /** Sends a datagram to an `IP:PORT`. It may be lost, duplicated, delayed or reordered; no effect once closed. */
  send(bytes: Uint8Array, address: string): void;
  /** Closes the socket. */
  close(): void;
}

/** Options for opening a datagram socket. */
export interface DatagramSocketOptions {
  /** Local address to bind, as `IP:PORT`. */
  readonly address: string;
  /** Called with each datagram received and the `IP:PORT` from which it was sent. */
  readonly onMessage: (bytes: Uint8Array, source: string) => void;
  /** Called with an error message if a datagram couldn't be sent or the socket failed. */
  readonly onError: (detail: string) => void;
}

/** Opens a socket, such as {@linkcode openDatagramSocket}. */
export type OpenDatagramSocket = (options: DatagramSocketOptions) => Promise<DatagramSocket>;

/**
 * Opens a UDP socket.
 *
 * @returns The socket, once it is bound. Rejects if the address can't be bound.
 */
export function openDatagramSocket(options: DatagramSocketOptions): Promise<DatagramSocket> {
  const { address, onMessage, onError } = options;
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = createSocket("udp4");
    let isClosed = false;
    socket.once("error", reject);
    socket.on("message", (bytes, { address: from, port: fromPort }) =>
      onMessage(bytes, `${from}:${fromPort}`),
    );
    socket.bind({ address: host, port }, () => {
      socket.off("error", reject);
      socket.on("error", (error) => onError(`The digest socket failed: ${error.message}.`));
      resolve({
        send: (bytes, target) => {
          // The socket would throw. Requests in progress can still lead to datagrams while an instance closes.
          if (isClosed) return;
          if (!hasValidPort(target)) {
            onError(`No instance can listen at ${target}.`);
            return;
          }
          const [targetHost, targetPort] = splitAddress(target);
          socket.send(bytes, targetPort, targetHost, (error) => {
            if (error !== null) onError(`Sending a digest to ${target} failed: ${error.message}.`);
          });
        },
        close: () => {
          isClosed = true;
          socket.close();
        },
      });
    });
  });
}
