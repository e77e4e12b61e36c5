import type { InstanceProcess } from "../soak/processes.ts";

/** The most that a process has used. */
export interface UsagePeaks {
  /** Resident set size in bytes. */
  memory: number;
  /** Open file descriptors. */
  descriptors: number;
}

/** Milliseconds between two readings. */
const READ_INTERVAL = 25;

/** Reads what a process uses until `close`. */
export function watchUsage(process: Pick<InstanceProcess, "resourceUsage">): {
  readonly peaks: UsagePeaks;
  close(): void;
} {
  const peaks: UsagePeaks = { memory: 0, descriptors: 0 };
  const timer = setInterval(() => {
    const usage = process.resourceUsage();
    if (usage === undefined) return;
    peaks.memory = Math.max(peaks.memory, usage.memory);
    peaks.descriptors = Math.max(peaks.descriptors, usage.descriptors);
  }, READ_INTERVAL);
  return { peaks, close: () => clearInterval(timer) };
}
