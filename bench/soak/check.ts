/**
 * What the checks of the soak test's guarantees share.
 *
 * @module
 */
import { ALL_TARGETS, STORE } from "./observation.ts";
import type { ObservedRequest, Observations } from "./observation.ts";

/** Limits that the checks use; times in milliseconds. */
export const BOUNDS = {
  /** Time after a disturbance of an instance or the store for which violations are excused. */
  recovery: 3_000,
  /** Time after which a draining backend server receives no requests. */
  drain: 2_000,
  /** Time until a new configuration is in force. */
  configuration: 2_000,
  /** Time until a refusal. */
  refusal: 500,
  /** Time in which a request that coincides with the close of its connection fails; it was not read. */
  closing: 200,
  /** Retry budget: retries per request and a fixed number in addition, per window. */
  repeats: { ratio: 0.2, slack: 50, window: 10_000 },
  /** Quota of an account, with the tolerated relative excess and a fixed number of requests in addition. */
  quota: { perSecond: 20, burst: 20, excess: 0.1, slack: 40, window: 8_000 },
  /** Crashes after which a request is known to crash backend servers, and tolerated later crashes. */
  crashes: { minCrashes: 3, tolerated: 3 },
  /** Requested pauses: time until one must be in force, and requests that may arrive after that. */
  pause: { reaction: 500, maxArrivals: 2 },
  /** Streams that are taken up: minimum number to check, and the share that goes on, of that of new streams. */
  resumed: { minimum: 12, share: 0.5 },
  /** Announced limits: window, tolerated factor and fixed number of requests, and propagation time. */
  limit: { window: 4_000, factor: 1.5, slack: 5, propagation: 500 },
  /** Resident set size of an instance, in bytes. */
  memory: 350_000_000,
  /** Open file descriptors of an instance. */
  descriptors: 4_000,
  /** Log lines of an instance per second, and in addition per request. */
  lines: { perSecond: 50, perRequest: 12 },
  /** Minimum share of the requests at the end that are served. */
  served: 0.95,
  /** Last part of the load, in which the fleet has recovered. */
  finalPeriod: 4_000,
} as const;

/** Result of a check. */
export interface Finding {
  /** Name of the guarantee. */
  readonly promise: string;
  /** Number of opportunities to fail. */
  readonly chances: number;
  /** One message for each violation. */
  readonly broken: readonly string[];
}

/** Checks a guarantee against the records. */
export type Check = (observations: Observations) => Omit<Finding, "promise">;

/** Returns whether a fault disturbed the target, or all targets, in the period or within the recovery time before. */
export function isDisturbed(
  { disturbances }: Observations,
  target: string,
  { from, to }: { from: number; to: number },
): boolean {
  return disturbances.some(
    (one) =>
      (one.target === target || one.target === ALL_TARGETS) &&
      one.from <= to &&
      one.to + BOUNDS.recovery >= from,
  );
}

/** Returns whether neither the instance nor the store was disturbed shortly before the time. */
export function isUndisturbed(observations: Observations, instance: string, at: number): boolean {
  const times = { from: at - BOUNDS.recovery, to: at };
  return !isDisturbed(observations, instance, times) && !isDisturbed(observations, STORE, times);
}

/** Returns the requests by their ids. */
export function requestById({ requests }: Observations): Map<string, ObservedRequest> {
  return new Map(requests.map((request) => [request.id, request]));
}
