import { build } from "hdr-histogram-js";
import { ErrandEnd } from "./caller.ts";
import type { ErrandRecord } from "./caller.ts";

/** Quantiles of the time to first token, in milliseconds. */
export interface Latency {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Counts requests by outcome. Outcomes other than complete are also split by refusal reason. */
export function countOutcomes(errands: readonly ErrandRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { end, reason } of errands) {
    const name = end === ErrandEnd.Complete || reason === "" ? end : `${end}: ${reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Computes the quantiles of the time to first token over the requests of one service. */
export function latencyOf(errands: readonly ErrandRecord[], service: string): Latency {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { errand, firstToken } of errands) {
    if (errand.service === service && firstToken !== undefined) histogram.recordValue(firstToken);
  }
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

/** Computes the cost of workers in euros: the hourly price times the running time of each. */
export function costOf(
  workers: readonly { readonly pricePerHour: number; readonly milliseconds: number }[],
): number {
  const hours = 3_600_000;
  return workers.reduce(
    (sum, worker) => sum + (worker.pricePerHour * worker.milliseconds) / hours,
    0,
  );
}
