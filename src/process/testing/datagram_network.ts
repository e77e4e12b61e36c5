import type { DatagramParts, Datagrams } from "../../connection/datagrams.ts";
import type { Clock, Random } from "../../interface/index.ts";

/** Datagrams between tests' instances, with what can go wrong with them. */
export interface DatagramNetwork {
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
  /** The share of datagrams that are lost, and of those that come twice, from 0 to 1. */
  trouble: { lost: number; twice: number };
  /** From whom to whom nothing goes, as `from>to`. */
  readonly cut: Set<string>;
}

/** The longest time on the way in milliseconds; each datagram takes its own, so that they overtake each other. */
export const LONGEST_WAY = 40;

/** Makes a network on which nothing goes wrong yet. */
export function createDatagramNetwork(clock: Clock, random: Random): DatagramNetwork {
  const receivers = new Map<string, DatagramParts>();
  const deliver = (bytes: Uint8Array, to: string): void => {
    clock.after(random.next() * LONGEST_WAY, () => receivers.get(to)?.onMessage(bytes));
  };
  const network: DatagramNetwork = {
    trouble: { lost: 0, twice: 0 },
    cut: new Set(),
    open: (parts) => {
      receivers.set(parts.address, parts);
      return Promise.resolve({
        send: (bytes, to) => {
          if (network.cut.has(`${parts.address}>${to}`)) return;
          if (random.next() < network.trouble.lost) return;
          deliver(bytes, to);
          if (random.next() < network.trouble.twice) deliver(bytes, to);
        },
        close: () => {
          if (receivers.get(parts.address) === parts) receivers.delete(parts.address);
        },
      });
    },
  };
  return network;
}
