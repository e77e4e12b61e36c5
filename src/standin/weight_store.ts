import { sleep } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";

/** A store of model weights with one rate for all loads together. */
export interface WeightStore {
  /** Resolves when the bytes have been read. Loads are served one after another. */
  waitForLoad(bytes: number): Promise<void>;
}

/** Creates a weight store that reads `bytesPerSecond` for all loads together. */
export function createWeightStore(clock: Clock, bytesPerSecond: number): WeightStore {
  let idleAt = clock.now();
  return {
    waitForLoad: async (bytes) => {
      idleAt = Math.max(idleAt, clock.now()) + (bytes / bytesPerSecond) * 1_000;
      await sleep(clock, idleAt - clock.now());
    },
  };
}
