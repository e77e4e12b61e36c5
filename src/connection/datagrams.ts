import { createSocket } from "node:dgram";
import { splitAddress } from "./http_listener.ts";

/** A place where datagrams are sent and received. */
export interface Datagrams {
  /** Sends bytes to an `IP:PORT`. They may be lost, come twice or late. */
  send(bytes: Uint8Array, address: string): void;
  close(): void;
}

/** What datagrams are opened with. */
export interface DatagramParts {
  /** `IP:PORT` to receive at. */
  readonly address: string;
  readonly onMessage: (bytes: Uint8Array) => void;
  /** Something couldn't be sent, or the socket failed. */
  readonly onFault: (detail: string) => void;
}

/**
 * Opens a UDP socket.
 *
 * @returns A promise that rejects where the address can't be had.
 */
export function openDatagrams(parts: DatagramParts): Promise<Datagrams> {
  const { address, onMessage, onFault } = parts;
  const [host, port] = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = createSocket("udp4");
    socket.once("error", reject);
    socket.on("message", onMessage);
    socket.bind({ address: host, port }, () => {
      socket.off("error", reject);
      socket.on("error", (error) => onFault(`The digest socket failed: ${error.message}.`));
      resolve({
        send: (bytes, target) => {
          const [to, at] = splitAddress(target);
          socket.send(bytes, at, to, (error) => {
            if (error !== null) onFault(`A digest to ${target} wasn't sent: ${error.message}.`);
          });
        },
        close: () => void socket.close(),
      });
    });
  });
}
