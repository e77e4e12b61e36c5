import type { Clock } from "../interface/index.ts";
import { hashText } from "../version/index.ts";

/** What the hashes are made with. */
export interface InstanceHashesParts {
  readonly clock: Clock;
  /** This instance's address for the others. */
  readonly self: string;
  /** The other instances that are there. */
  readonly others: () => readonly { readonly peers: string; readonly ready: boolean }[];
}

/** Milliseconds for which the hashes are kept. */
const KEPT_FOR = 100;

/**
 * Makes what gives the hashes of all instances that take requests, this one among them.
 *
 * The array is the same one until the instances change, so that what was found by it can be kept.
 */
export function createInstanceHashes(parts: InstanceHashesParts): () => readonly number[] {
  const { clock, self, others } = parts;
  let foundAt = -Infinity;
  let found: readonly number[] = [hashText(self)];
  const known = new Map<string, number>();
  const hashOf = (address: string): number => {
    const hash = known.get(address) ?? hashText(address);
    known.set(address, hash);
    return hash;
  };
  return () => {
    const now = clock.now();
    if (now - foundAt < KEPT_FOR) return found;
    foundAt = now;
    const ready = others().filter((one) => one.ready);
    const hashes = [self, ...ready.map(({ peers }) => peers)].map(hashOf).sort((a, b) => a - b);
    const isSame =
      hashes.length === found.length && hashes.every((hash, place) => hash === found[place]);
    if (!isSame) found = hashes;
    return found;
  };
}
