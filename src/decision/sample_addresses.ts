/**
 * Selects the entry instances whose addresses are returned to callers.
 *
 * Load: a fleet of hundreds of instances of different sizes. An answer lists only some of them, and
 * callers use any of those. If all answers listed the same ones, these would carry the whole load;
 * if each instance were listed equally often, the small ones would be the first to be late.
 * Symptom: instances without requests next to others that have no processor time left.
 *
 * Mechanism: each answer lists a random sample, weighted by the instances' processor capacity.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";

/** An instance whose address may be returned to callers. */
export interface AddressCandidate {
  readonly callers: string;
  /**
   * Processor capacity in thousandths of a core: an integer, so that all instances compare it
   * alike.
   */
  readonly capacity: number;
}

/**
 * Draws up to `most` instances and returns their addresses; all of them, in their order, if there
 * are no more.
 */
export function spreadAddresses(
  instances: readonly AddressCandidate[],
  { most, random }: { most: number; random: Random },
): string[] {
  if (instances.length <= most) return instances.map(({ callers }) => callers);
  // Takes the smallest of exponentially distributed values, with the instance's weight as the rate.
  return instances
    .map(({ callers, capacity }) => ({ callers, key: -Math.log(1 - random.next()) / capacity }))
    .sort((a, b) => a.key - b.key)
    .slice(0, most)
    .map(({ callers }) => callers);
}
