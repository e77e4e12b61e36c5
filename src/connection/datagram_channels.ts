import type { DatagramSocket, DatagramSocketOptions } from "./datagram_socket.ts";

/** Two kinds of datagrams that share a socket: digests, and marked ones. */
export interface DatagramChannels {
  /** Opens the socket. Its own messages are the digests. */
  readonly open: (options: DatagramSocketOptions) => Promise<DatagramSocket>;
  /** Sends a marked datagram to an `IP:PORT`; has no effect before the socket is open. */
  readonly sendMarked: (bytes: Uint8Array, address: string) => void;
}

/** First byte of a marked datagram. No digest begins with it, because it is no valid tag of a field. */
const MARK = 0;

/**
 * Creates the channels without a socket.
 *
 * @param openSocket Opens the shared socket.
 * @param onMarked Called with each marked datagram, without its mark.
 */
export function createDatagramChannels(
  openSocket: (options: DatagramSocketOptions) => Promise<DatagramSocket>,
  onMarked: (bytes: Uint8Array) => void,
): DatagramChannels {
  let socket: DatagramSocket | undefined;
  return {
    open: async (options) => {
      socket = await openSocket({
        ...options,
        onMessage: (bytes, source) => {
          if (bytes[0] === MARK) onMarked(bytes.subarray(1));
          else options.onMessage(bytes, source);
        },
      });
      return socket;
    },
    sendMarked: (bytes, address) => socket?.send(Buffer.concat([Buffer.of(MARK), bytes]), address),
  };
}
