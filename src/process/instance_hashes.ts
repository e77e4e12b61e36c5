import type { Clock } from "../interface/index.ts";
import { hashText } from "../version/index.ts";

/** Dependencies of {@linkcode createInstanceHashes}. */
export interface InstanceHashesParts {
  readonly clock: Clock;
  /** This instance's address for other instances. */
  readonly self: string;
  /** Returns the other live instances. */
  readonly otherInstances: () => readonly { readonly peers: string; readonly ready: boolean }[];
}

/** Milliseconds for which the hashes are cached. */
const CACHE_TIME = 100;

/**
 * Creates a function that returns the sorted hashes of all instances that accept requests,
 * including this one.
 *
 * It returns the same array until the set of instances changes, so callers can cache what they
 * derive from it.
 */
export function createInstanceHashes(parts: InstanceHashesParts): () => readonly number[] {
  const { clock, self, otherInstances } = parts;
  let computedAt = -Infinity;
  let cached: readonly number[] = [hashText(self)];
  const hashByAddress = new Map<string, number>();
  const hashOf = (address: string): number => {
    const hash = hashByAddress.get(address) ?? hashText(address);
    hashByAddress.set(address, hash);
    return hash;
  };
  return () => {
    const now = clock.now();
    if (now - computedAt < CACHE_TIME) return cached;
    computedAt = now;
    const ready = otherInstances().filter((one) => one.ready);
    const hashes = [self, ...ready.map(({ peers }) => peers)].map(hashOf).sort((a, b) => a - b);
    const isSame =
      hashes.length === cached.length && hashes.every((hash, index) => hash === cached[index]);
    if (!isSame) cached = hashes;
    return cached;
  };
}
