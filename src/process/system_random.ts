import { webcrypto } from "node:crypto";
import type { Random } from "../interface/index.ts";

const RANGE = 2 ** 32;

/** Cryptographically secure random numbers from 0 (inclusive) to 1 (exclusive). */
export const systemRandom: Random = {
  next: () => {
    const [drawn = 0] = webcrypto.getRandomValues(new Uint32Array(1));
    return drawn / RANGE;
  },
};
