import type { Server } from "node:http";
import { createAcceptWatch } from "../connection/accept_watch.ts";
import type { AcceptSeries, AcceptWatch } from "../connection/accept_watch.ts";
import { readCallersInParts } from "../connection/caller_reading.ts";
import { createConnectionLimit } from "../connection/connection_limit.ts";
import type { ConnectionLimit } from "../connection/connection_limit.ts";
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

/** Called with the name of a limit that was exceeded, and what callers lost by that. */
export type LimitReport = (
  limit: string,
  fields: Readonly<Record<string, string | number | undefined>>,
) => void;

/** The limits of a process on what is kept for its callers. */
export interface CallerLimits {
  readonly memory: CallerMemory;
  readonly connections: ConnectionLimit;
  readonly accepts: AcceptWatch;
  /** Whether what is read now may have lain unread, because the process was stalled. */
  readonly isLate?: (() => boolean) | undefined;
  /** Called with the address of a caller whose connection is ended because of a limit. */
  readonly onLimit: (limit: string, address: string) => void;
  /** Applies the limits to a server whose handlers read no bodies, or bodies of up to `maxBodyBytes`. */
  readonly apply: (server: Server, maxBodyBytes?: number) => void;
}

/** Creates the limits. */
export function createCallerLimits(
  machine: MachineLimits,
  {
    clock,
    isLate,
    report,
    onAcceptSeries,
  }: {
    readonly clock: Pick<Clock, "now">;
    readonly isLate?: () => boolean;
    readonly report: LimitReport;
    readonly onAcceptSeries?: (series: AcceptSeries) => void;
  },
): CallerLimits {
  const onLimit = (limit: string, address: string): void => report(limit, { address });
  const memory = createCallerMemory({
    limit: callerMemoryOf(machine),
    now: () => clock.now(),
    onRelease: (released) => report(MEMORY_LIMIT, { ...released }),
  });
  const connections = createConnectionLimit({
    clock,
    limit: callerConnectionsOf(machine),
    onLimit,
  });
  const accepts = createAcceptWatch({ clock, isLate, onAcceptSeries });
  const parts = { clock, memory, accepts, isLate, onLimit };
  return {
    memory,
    connections,
    accepts,
    isLate,
    onLimit,
    apply: (server, maxBodyBytes = 0) => {
      connections.apply(server);
      readCallersInParts(server, { ...parts, maxBodyBytes: () => maxBodyBytes });
    },
  };
}

/** Creates the limits of an instance that serves routed requests. What callers lose is logged and counted. */
export function createLoggedCallerLimits(
  machine: MachineLimits,
  {
    clock,
    isLate,
    log,
    metrics,
  }: {
    readonly clock: Pick<Clock, "now">;
    /** Whether what is read now may have lain unread, because the process was stalled. */
    readonly isLate: () => boolean;
    readonly log: Pick<RoutedLog, "changed" | "fault">;
    readonly metrics: Pick<RoutedMetricsRegistry, "callerLimitExceeded" | "addGauge">;
  },
): CallerLimits {
  const limits = createCallerLimits(machine, {
    clock,
    isLate,
    report: (limit, fields) => {
      metrics.callerLimitExceeded(limit);
      log.fault("caller-limit", { limit, ...fields });
    },
    onAcceptSeries: ({ connections, duration }) =>
      log.changed("connections-waited", { connections, duration: Math.round(duration) }),
  });
  metrics.addGauge(
    "samphireshore_caller_memory_bytes",
    "Bytes kept for callers: requests, bodies, and answers that they haven't read.",
    () => limits.memory.held,
  );
  metrics.addGauge(
    "samphireshore_caller_connections",
    "Open connections of callers.",
    () => limits.connections.open,
  );
  return limits;
}
