import type { Clock } from "../interface/index.ts";
import { hashText } from "../version/index.ts";

/** Dependencies of {@linkcode createInstanceHashes}. */
export interface InstanceHashesParts {
  readonly clock: Clock;
  /** This instance's address for other instances. */
  readonly self: string;
  /** Returns the other live instances. */
  readonly others: () => readonly { readonly peers: string; readonly ready: boolean }[];
}

/** Milliseconds for which the hashes are cached. */
const KEPT_FOR = 100;

/**
 * Creates a function that returns the sorted hashes of all instances that accept requests,
 * including this one.
 *
 * It returns the same array until the set of instances changes, so callers can cache what they
 * derive from it.
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
