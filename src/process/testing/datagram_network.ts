import type { DatagramSocketOptions, DatagramSocket } from "../../connection/datagram_socket.ts";
import type { Clock, Random } from "../../interface/index.ts";

/** In-memory datagram network for tests, with fault injection. */
export interface DatagramNetwork {
  readonly open: (parts: DatagramSocketOptions) => Promise<DatagramSocket>;
  /** Fractions of datagrams to lose and to duplicate, from 0 to 1. */
  faults: { lost: number; twice: number };
  /** Links that drop all datagrams, in the form `from>to`. */
  readonly cut: Set<string>;
}

/**
 * Maximum delivery delay in milliseconds. Each datagram gets a random delay, so datagrams overtake
 * each other.
 */
export const MAX_DELAY = 40;

/** Creates a network without faults. */
export function createDatagramNetwork(clock: Clock, random: Random): DatagramNetwork {
  const receivers = new Map<string, DatagramSocketOptions>();
  const deliver = (bytes: Uint8Array, { from, to }: { from: string; to: string }): void => {
    clock.after(random.next() * MAX_DELAY, () => receivers.get(to)?.onMessage(bytes, from));
  };
  const network: DatagramNetwork = {
    faults: { lost: 0, twice: 0 },
    cut: new Set(),
    open: (parts) => {
      receivers.set(parts.address, parts);
      return Promise.resolve({
        send: (bytes, to) => {
          if (network.cut.has(`${parts.address}>${to}`)) return;
          if (random.next() < network.faults.lost) return;
          const link = { from: parts.address, to };
          deliver(bytes, link);
          if (random.next() < network.faults.twice) deliver(bytes, link);
        },
        close: () => {
          if (receivers.get(parts.address) === parts) receivers.delete(parts.address);
        },
      });
    },
  };
  return network;
}
