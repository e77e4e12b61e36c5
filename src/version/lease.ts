import { z } from "zod";

/** Milliseconds for which a lease holds from the moment before the write that took or renewed it. */
export const LEASE_TERM = 10_000;

const stored = z.strictObject({
  /** Member id of the holder; empty where the last one gave it back. */
  holder: z.string(),
  /** Milliseconds for which the holder acts after each write. */
  term: z.number().int().positive(),
  /** Differs from write to write: a store may take a write that changes nothing for none. */
  renewal: z.number().int().default(0),
});

/** Who gives orders to a service's backend servers and to the cloud. */
export interface Lease extends z.infer<typeof stored> {
  /** The store's version of the object: the fencing number on every order. */
  readonly version: number;
}

/** The store's key of a service's lease. */
export function leaseKey(service: string): string {
  return `samphireshore/lease/${service}`;
}

/**
 * Reads a lease from the store's value.
 *
 * @param version The store's version of the object.
 * @param value The store's value, JSON.
 * @throws {Error} If the value is not a lease.
 */
export function parseLease(version: number, value: string): Lease {
  return { version, ...stored.parse(JSON.parse(value)) };
}

/** The store's value of a lease. */
export function formatLease({ holder, term, renewal }: Omit<Lease, "version">): string {
  return JSON.stringify({ holder, term, renewal });
}
