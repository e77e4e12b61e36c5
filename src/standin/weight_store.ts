import { sleep } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";

/** A store of model weights whose rate all loads share. */
export interface WeightStore {
  /** Resolves when the bytes have been given out, one load after another. */
  waitForLoad(bytes: number): Promise<void>;
}

/** Makes a weight store that gives `bytesPerSecond` to all loads together. */
export function createWeightStore(clock: Clock, bytesPerSecond: number): WeightStore {
  let idleAt = clock.now();
  return {
    waitForLoad: async (bytes) => {
      idleAt = Math.max(idleAt, clock.now()) + (bytes / bytesPerSecond) * 1_000;
      await sleep(clock, idleAt - clock.now());
    },
  };
}
