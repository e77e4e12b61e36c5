import { webcrypto } from "node:crypto";
import type { Random } from "../interface/index.ts";

const RANGE = 2 ** 32;
/** Number of 32-bit values that are drawn at once: a call for a single one takes about 4 microseconds. */
const BATCH_SIZE = 256;

/** Values drawn in advance, of which those from `next` on are unused. */
const batch = new Uint32Array(BATCH_SIZE);
let next = BATCH_SIZE;

/** Cryptographically secure random numbers from 0 (inclusive) to 1 (exclusive). */
export const systemRandom: Random = {
  next: () => {
    if (next === BATCH_SIZE) {
      webcrypto.getRandomValues(batch);
      next = 0;
    }
    return (batch[next++] ?? 0) / RANGE;
  },
};
