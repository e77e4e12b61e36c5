/**
 * The time that the answers of a service take for each output token, as all instances observe it.
 *
 * Load: an instance that has just started is stopped again. It has served nothing yet, so it would have to refuse every
 * stream that may last beyond its stop, although the other instances know that some end before.
 *
 * Mechanism: each instance adds up the expected times of its answers, deviations included, and their output tokens. The
 * totals are sent with the digests, and their ratio is the pace. It says nothing about answers that declare no tokens.
 *
 * @module
 */
import { hashText } from "../version/index.ts";
import type { CountKey } from "./shared_counts.ts";
import type { RunCounts } from "./worker_health.ts";

/** An answer with the time that answers of its size are expected to take. */
export interface TimedAnswer {
  readonly outputTokens: number;
  /** In milliseconds. */
  readonly time: number;
}

/** The paces of all services. */
export interface AnswerPace {
  /** Adds an answer that this instance has served. */
  record(service: string, answer: TimedAnswer): void;
  /** Returns the milliseconds that an answer takes, as other instances know it; undefined if they know too few. */
  expected(service: string, outputTokens: number): number | undefined;
  /** Returns this instance's totals, to be sent to the others. */
  ownTotals(now: number): ReadonlyMap<CountKey, RunCounts>;
  /** Forgets all services except the given ones. */
  retainServices(names: ReadonlySet<string>): void;
}

/** Totals of a service since the start of this instance. */
interface ServiceTotal {
  readonly key: CountKey;
  time: number;
  outputTokens: number;
}

/** Milliseconds and tokens per unit of the totals in messages, which have 32 bits. */
const TIME_UNIT = 100;
const TOKEN_UNIT = 10;
/** The known answers must have this many times the tokens of the expected one. */
const MIN_KNOWN_ANSWERS = 8;
/** Milliseconds for which sent totals stay the same, since a total that has changed takes space in the digests. */
const REPORT_INTERVAL = 2_000;

/**
 * Creates the paces without answers.
 *
 * @param reportedTotals Returns the sum of the totals that other instances last reported under a key.
 */
export function createAnswerPace(
  reportedTotals: (key: CountKey) => RunCounts | undefined = () => undefined,
): AnswerPace {
  const totals = new Map<string, ServiceTotal>();
  let reported: ReadonlyMap<CountKey, RunCounts> = new Map();
  let reportedAt = -Infinity;
  const keyOf = (service: string): CountKey =>
    totals.get(service)?.key ?? hashText(`pace:${service}`);
  return {
    record: (service, { outputTokens, time }) => {
      const total = totals.get(service) ?? { key: keyOf(service), time: 0, outputTokens: 0 };
      totals.set(service, total);
      total.time += Math.max(0, time);
      total.outputTokens += outputTokens;
    },
    expected: (service, outputTokens) => {
      const { runs: time = 0, failures: tokens = 0 } = reportedTotals(keyOf(service)) ?? {};
      if (tokens * TOKEN_UNIT < MIN_KNOWN_ANSWERS * outputTokens) return undefined;
      return (outputTokens * time * TIME_UNIT) / (tokens * TOKEN_UNIT);
    },
    ownTotals: (now) => {
      if (now - reportedAt < REPORT_INTERVAL) return reported;
      reportedAt = now;
      reported = new Map([...totals.values()].map((total) => [total.key, inUnits(total)]));
      return reported;
    },
    retainServices: (names) => {
      for (const service of totals.keys()) if (!names.has(service)) totals.delete(service);
    },
  };
}

/** Returns totals in units, rounded so that the pace never looks faster. */
function inUnits({ time, outputTokens }: ServiceTotal): RunCounts {
  return {
    runs: Math.ceil(time / TIME_UNIT),
    failures: Math.floor(outputTokens / TOKEN_UNIT),
  };
}
