import { createCallerMemory } from "../decision/index.ts";
import type { CallerMemory } from "../decision/index.ts";
import type { Clock } from "../interface/index.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RoutedMetricsRegistry } from "./routed_metrics.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** Name of the limit on the memory for all callers, in the log and the metrics. */
const MEMORY_LIMIT = "memory";

/** Limits of the machine on the process. */
export type MachineLimits = RoutedSettings["machine"];

/** Bytes of memory that the process takes before any caller. */
const PROCESS_MEMORY = 100_000_000;
/** Fraction of the rest for what is kept for callers: the remainder is for the heap, and for bytes on their way. */
const CALLER_SHARE = 0.4;
/** Least memory for callers, in bytes, on a machine that is too small. */
const MIN_CALLER_MEMORY = 16_000_000;

/** Returns the memory in bytes for what is kept for callers. */
export function callerMemoryOf({ memory }: Pick<MachineLimits, "memory">): number {
  return Math.max(MIN_CALLER_MEMORY, (memory - PROCESS_MEMORY) * CALLER_SHARE);
}

/** Fraction of the descriptors for connections of callers: the remainder is for files, workers, peers and the store. */
const CONNECTION_SHARE = 0.6;

/** Returns the number of connections that callers may have. */
export function callerConnectionsOf({ descriptors }: Pick<MachineLimits, "descriptors">): number {
  return Math.max(1, Math.floor(descriptors * CONNECTION_SHARE));
}

/** Creates the memory for callers. What is given up is logged and counted. */
export function createLoggedCallerMemory(
  machine: Pick<MachineLimits, "memory">,
  {
    clock,
    log,
    metrics,
  }: {
    readonly clock: Pick<Clock, "now">;
    readonly log: Pick<RoutedLog, "fault">;
    readonly metrics: Pick<RoutedMetricsRegistry, "callerLimitExceeded" | "addGauge">;
  },
): CallerMemory {
  const memory = createCallerMemory({
    limit: callerMemoryOf(machine),
    now: () => clock.now(),
    onRelease: (released) => {
      metrics.callerLimitExceeded(MEMORY_LIMIT);
      log.fault("caller-limit", { limit: MEMORY_LIMIT, ...released });
    },
  });
  metrics.addGauge(
    "samphireshore_caller_memory_bytes",
    "Bytes kept for callers: requests, bodies, and answers that they haven't read.",
    () => memory.held,
  );
  return memory;
}

/** Returns a function that logs and counts a connection that is ended because of a limit. */
export function createLimitReport({
  log,
  metrics,
}: {
  readonly log: Pick<RoutedLog, "fault">;
  readonly metrics: Pick<RoutedMetricsRegistry, "callerLimitExceeded">;
}): (limit: string, address: string) => void {
  return (limit, address) => {
    metrics.callerLimitExceeded(limit);
    log.fault("caller-limit", { limit, address });
  };
}
