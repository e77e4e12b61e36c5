import { z } from "zod";

/** Term of a lease in milliseconds, counted from just before the write that acquired or renewed it. */
export const LEASE_TERM = 10_000;

/** Longest term of a lease that is believed, in milliseconds. Another program may have written a lease without end. */
const MAX_LEASE_TERM = 60_000;

const stored = z.strictObject({
  /** Member id of the holder; empty after the last holder has released the lease. */
  holder: z.string(),
  /** Milliseconds for which the lease is valid after each write. */
  term: z.number().int().positive().max(MAX_LEASE_TERM),
  /** Differs in each write, because a store may ignore a write that doesn't change the value. */
  renewal: z.number().int().default(0),
  /**
   * The store's era as of the writer's latest response. A copy that the store was restored from has a lower one than the
   * store.
   */
  era: z.number().int().nonnegative().default(0),
});

/** The lease that allows one instance to send orders to a service's backend servers and to the cloud. */
export interface Lease extends z.infer<typeof stored> {
  /** The store's version of the object. It is sent with every order as the fencing token. */
  readonly version: number;
}

/** Returns the store key of a service's lease. */
export function leaseKey(service: string): string {
  return `samphireshore/lease/${service}`;
}

/**
 * Parses a lease from its value in the store.
 *
 * @param version The store's version of the object.
 * @param value The store's value, JSON.
 * @returns The lease, or undefined if the value is none: another program may have written it.
 */
export function parseLease(version: number, value: string): Lease | undefined {
  try {
    return { version, ...stored.parse(JSON.parse(value)) };
  } catch {
    return undefined;
  }
}

/** Serializes a lease for the store. The first era is left out, since earlier builds don't parse it. */
export function formatLease({ holder, term, renewal, era }: Omit<Lease, "version">): string {
  return JSON.stringify({ holder, term, renewal, era: era > 0 ? era : undefined });
}
