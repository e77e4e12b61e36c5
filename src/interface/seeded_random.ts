import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Random } from "./random.ts";

const RANGE = 2 ** 32;

/**
 * Creates a random number generator that repeats its sequence for the same seed, for replays and tests.
 *
 * @param seed Any integer.
 */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => (generator.next() >>> 0) / RANGE };
}
