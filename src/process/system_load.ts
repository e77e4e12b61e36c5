import { monitorEventLoopDelay } from "node:perf_hooks";
import type { EntryLoad } from "../decision/index.ts";

const RESOLUTION_MS = 10;
const PERCENTILE = 99;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/**
 * Starts measuring the load of this process: event loop delay and memory.
 *
 * @param memoryLimit Bytes of memory that the process may use.
 * @returns A function that returns the load since its last call.
 */
export function startSystemLoad(memoryLimit: number): () => EntryLoad {
  const delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
  delay.enable();
  return () => {
    const excessDelay = delay.percentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND - RESOLUTION_MS;
    delay.reset();
    const loopDelay = Number.isFinite(excessDelay) ? Math.max(0, excessDelay) : 0;
    return { loopDelay, memory: process.memoryUsage.rss(), memoryLimit, inProgress: 0 };
  };
}
