import { monitorEventLoopDelay } from "node:perf_hooks";
import type { EntryLoad } from "../decision/index.ts";

const RESOLUTION = 10;
const PERCENTILE = 99;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/**
 * Measures this process: the delay of its event loop, and its memory.
 *
 * @param memoryLimit Bytes that the process may use.
 * @returns Reads the load since the last reading.
 */
export function startSystemLoad(memoryLimit: number): () => EntryLoad {
  const delay = monitorEventLoopDelay({ resolution: RESOLUTION });
  delay.enable();
  return () => {
    const beyond = delay.percentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND - RESOLUTION;
    delay.reset();
    const loopDelay = Number.isFinite(beyond) ? Math.max(0, beyond) : 0;
    return { loopDelay, memory: process.memoryUsage.rss(), memoryLimit, inProgress: 0 };
  };
}
