import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Refusal, RetryCause } from "../interface/index.ts";
import type { Counters } from "../request/index.ts";

/** An additional receiver of counts, such as a StatsD client. */
export interface CounterSink {
  /** Adds an amount to the counter with this name. */
  add(name: string, amount: number): void;
  /** Records a duration in milliseconds. */
  time(name: string, milliseconds: number): void;
}

/** Counters and histograms of one instance, with their current values. */
export interface CounterTable extends Counters {
  /** Current counter values by counter name. */
  readonly values: ReadonlyMap<string, number>;
  /** Number of refusals by reason, including reasons with a count of 0. */
  refusals(): Readonly<Record<string, number>>;
  /** Number of retries by cause, including causes with a count of 0. */
  retries(): Readonly<Record<string, number>>;
  /** All counters and histogram quantiles in the Prometheus text format. */
  text(): string;
}

/**
 * Microseconds per millisecond. Histograms store integer microseconds, because many gaps between tokens are shorter
 * than a millisecond.
 */
const MICROSECONDS_PER_MILLISECOND = 1_000;
const PERCENTILES = [50, 95, 99] as const;
const PERCENT = 100;

/**
 * Creates the counters of one instance. A counter for every refusal reason and retry cause exists from the start, so
 * that an alert on a reason that has not occurred yet finds its counter.
 *
 * @param sink Also receives every count and duration.
 */
export function createCounters(sink?: CounterSink): CounterTable {
  const values = new Map<string, number>();
  const firstTokens = new Map<string, Histogram>();
  const tokenGaps = new Map<string, Histogram>();
  for (const reason of refusalReasons()) values.set(`refused.${reason}`, 0);
  for (const cause of Object.values(RetryCause)) {
    values.set(`retried.${cause}`, 0);
    values.set(`recomputed.${cause}`, 0);
  }
  const add = (name: string, amount = 1): void => {
    values.set(name, (values.get(name) ?? 0) + amount);
    sink?.add(name, amount);
  };
  const withPrefix = (prefix: string): Readonly<Record<string, number>> =>
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
      recordDuration(firstTokens, service, milliseconds);
      sink?.time(`first-token.${service}`, milliseconds);
    },
    betweenTokens: (service, milliseconds) => {
      recordDuration(tokenGaps, service, milliseconds);
      sink?.time(`between-tokens.${service}`, milliseconds);
    },
    count: (name) => add(name),
    refusals: () => withPrefix("refused."),
    retries: () => withPrefix("retried."),
    text: () =>
      [
        ...[...values].map(([name, value]) => countLine(name, value)),
        ...quantileLines("samphireshore_first_token_milliseconds", firstTokens),
        ...quantileLines("samphireshore_between_tokens_milliseconds", tokenGaps),
        "",
      ].join("\n"),
  };
}

function refusalReasons(): readonly Refusal[] {
  return Object.values(Refusal).filter((reason) => reason !== Refusal.None);
}

function recordDuration(
  histograms: Map<string, Histogram>,
  service: string,
  milliseconds: number,
): void {
  let histogram = histograms.get(service);
  if (histogram === undefined) {
    histogram = build({ numberOfSignificantValueDigits: 2, autoResize: true });
    histograms.set(service, histogram);
  }
  histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
}

/** Formats one counter: `refused.queue-full` becomes `samphireshore_refused_total{name="queue-full"}`. */
function countLine(name: string, value: number): string {
  const dot = name.indexOf(".");
  const family = dot < 0 ? "events" : name.slice(0, dot).replaceAll("-", "_");
  return `samphireshore_${family}_total{name="${name.slice(dot + 1)}"} ${value}`;
}

function quantileLines(family: string, histograms: ReadonlyMap<string, Histogram>): string[] {
  return [...histograms].flatMap(([service, histogram]) => [
    ...PERCENTILES.map((percentile) => {
      const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
      return `${family}{service="${service}",quantile="${percentile / PERCENT}"} ${value}`;
    }),
    `${family}_count{service="${service}"} ${histogram.totalCount}`,
  ]);
}
