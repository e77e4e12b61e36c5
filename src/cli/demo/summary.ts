import { build } from "hdr-histogram-js";
import { RequestOutcome } from "./caller.ts";
import type { RequestResult } from "./caller.ts";

/** Quantiles of the time to first token, in milliseconds. */
export interface LatencyQuantiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Counts requests by outcome. Outcomes other than complete are also split by refusal reason. */
export function countOutcomes(results: readonly RequestResult[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome, refusalCode } of results) {
    const name =
      outcome === RequestOutcome.Complete || refusalCode === ""
        ? outcome
        : `${outcome}: ${refusalCode}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Computes the quantiles of the time to first token over the requests of one service. */
export function computeFirstTokenLatency(
  results: readonly RequestResult[],
  service: string,
): LatencyQuantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { loadRequest, timeToFirstToken } of results) {
    if (loadRequest.service === service && timeToFirstToken !== undefined)
      histogram.recordValue(timeToFirstToken);
  }
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

/** Computes the cost of workers in euros: the hourly price times the running time of each. */
export function computeWorkerCost(
  workers: readonly { readonly pricePerHour: number; readonly milliseconds: number }[],
): number {
  const millisecondsPerHour = 3_600_000;
  return workers.reduce(
    (sum, worker) => sum + (worker.pricePerHour * worker.milliseconds) / millisecondsPerHour,
    0,
  );
}
