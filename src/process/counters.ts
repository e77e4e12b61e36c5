import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Refusal, RetryCause } from "../interface/index.ts";
import type { Counters } from "../request/index.ts";

/** Where counts go besides the table, such as a StatsD client. */
export interface CounterSink {
  add(name: string, amount: number): void;
  time(name: string, milliseconds: number): void;
}

/** Counts by name, with the numbers so far. */
export interface CounterTable extends Counters {
  readonly values: ReadonlyMap<string, number>;
  /** Refusals by reason and retries by cause, those that never happened with 0. */
  refusals(): Readonly<Record<string, number>>;
  retries(): Readonly<Record<string, number>>;
  /** All counts, and the quantiles of the histograms, in the text format of Prometheus. */
  text(): string;
}

/** Histograms hold microseconds, since many gaps between tokens are shorter than a millisecond. */
const MICROSECONDS = 1_000;
const PERCENTILES = [50, 95, 99] as const;
const PERCENT = 100;

/**
 * Counters of one instance. Every refusal reason and retry cause is there from the start, from the enums:
 * an alarm on a reason that has never happened yet must find its counter.
 */
export function createCounters(sink?: CounterSink): CounterTable {
  const values = new Map<string, number>();
  const firstTokens = new Map<string, Histogram>();
  const gaps = new Map<string, Histogram>();
  for (const reason of reasons()) values.set(`refused.${reason}`, 0);
  for (const cause of Object.values(RetryCause)) {
    values.set(`retried.${cause}`, 0);
    values.set(`recomputed.${cause}`, 0);
  }
  const add = (name: string, amount = 1): void => {
    values.set(name, (values.get(name) ?? 0) + amount);
    sink?.add(name, amount);
  };
  const part = (prefix: string): Readonly<Record<string, number>> =>
    Object.fromEntries(
      [...values]
        .filter(([name]) => name.startsWith(prefix))
        .map(([name, value]) => [name.slice(prefix.length), value]),
    );
  return {
    values,
    refused: (reason) => add(`refused.${reason}`),
    retried: (cause) => add(`retried.${cause}`),
    recomputed: (cause, tokens) => add(`recomputed.${cause}`, tokens),
    firstToken: (service, milliseconds) => {
      record(firstTokens, service, milliseconds);
      sink?.time(`first-token.${service}`, milliseconds);
    },
    betweenTokens: (service, milliseconds) => {
      record(gaps, service, milliseconds);
      sink?.time(`between-tokens.${service}`, milliseconds);
    },
    count: (name) => add(name),
    refusals: () => part("refused."),
    retries: () => part("retried."),
    text: () =>
      [
        ...[...values].map(([name, value]) => countLine(name, value)),
        ...quantileLines("samphireshore_first_token_milliseconds", firstTokens),
        ...quantileLines("samphireshore_between_tokens_milliseconds", gaps),
        "",
      ].join("\n"),
  };
}

function reasons(): readonly Refusal[] {
  return Object.values(Refusal).filter((reason) => reason !== Refusal.None);
}

function record(histograms: Map<string, Histogram>, service: string, milliseconds: number): void {
  let histogram = histograms.get(service);
  if (histogram === undefined) {
    histogram = build({ numberOfSignificantValueDigits: 2, autoResize: true });
    histograms.set(service, histogram);
  }
  histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS)));
}

/** `refused.queue-full` becomes `samphireshore_refused_total{name="queue-full"}`. */
function countLine(name: string, value: number): string {
  const dot = name.indexOf(".");
  const family = dot < 0 ? "events" : name.slice(0, dot).replaceAll("-", "_");
  return `samphireshore_${family}_total{name="${name.slice(dot + 1)}"} ${value}`;
}

function quantileLines(family: string, histograms: ReadonlyMap<string, Histogram>): string[] {
  return [...histograms].flatMap(([service, histogram]) => [
    ...PERCENTILES.map((percentile) => {
      const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS;
      return `${family}{service="${service}",quantile="${percentile / PERCENT}"} ${value}`;
    }),
    `${family}_count{service="${service}"} ${histogram.totalCount}`,
  ]);
}
