/** Largest number that fits into an unsigned field of 32 bits. */
const MAX_UNSIGNED_32 = 2 ** 32 - 1;
/** The same for 64 bits. */
const MAX_UNSIGNED_64 = 2n ** 64n - 1n;

/**
 * Returns the nearest number that an unsigned field of 32 bits can express; 0 if it isn't a number.
 *
 * Sums of what callers and other programs state have no limit. A number that can't be encoded would end the process, and
 * every other instance that gets the same requests.
 */
export function unsigned32(value: number): number {
  return Math.min(MAX_UNSIGNED_32, Math.max(0, Math.round(value) || 0));
}

/** The same for a field of 64 bits. */
export function unsigned64(value: number): bigint {
  if (value === Infinity) return MAX_UNSIGNED_64;
  const rounded = BigInt(Math.max(0, Math.round(value) || 0));
  return rounded < MAX_UNSIGNED_64 ? rounded : MAX_UNSIGNED_64;
}
