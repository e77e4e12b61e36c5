import { createPrefillRate } from "../decision/index.ts";
import type { PrefillRate, ServiceTiming } from "../decision/index.ts";
import type { RoutedService } from "../version/index.ts";

/** How long the workers of each service take for runs and prompts. */
export interface ServiceTimings {
  /** Records the duration of a run that the worker answered, in milliseconds. */
  recordRun(service: string, duration: number): void;
  /** Records that a worker has processed prompt tokens, in milliseconds until its first token. */
  recordPrefill(service: string, prefill: { tokens: number; duration: number }): void;
  /**
   * Returns the milliseconds in which a usual worker is expected to produce the first token after
   * this number of prompt tokens; undefined for services without engines, and before `of` was
   * called for the service.
   */
  expectedPrefill(service: string, tokens: number): number | undefined;
  /** Returns the tokens per millisecond that the engines of a service process. */
  prefillRateOf(service: string): number;
  /** Returns the timing of a service, by default that of a usual one. */
  of(service: Pick<RoutedService, "name" | "engine">): ServiceTiming;
}

/** Assumed duration of a run until one was observed, in milliseconds. */
const INITIAL_RUN_TIME = { engine: 2_000, plain: 50 };
/** Weight of the latest run in the moving average of run durations. */
const RUN_TIME_WEIGHT = 0.05;

/** Creates the timings of services without observations. */
export function createServiceTimings(): ServiceTimings {
  const runTimes = new Map<string, number>();
  /** Rates of the services with engines. */
  const prefillRates = new Map<string, PrefillRate>();
  const prefillRateOf = (service: string): PrefillRate => {
    const known = prefillRates.get(service) ?? createPrefillRate();
    prefillRates.set(service, known);
    return known;
  };
  return {
    recordRun: (service, duration) => {
      const before = runTimes.get(service) ?? duration;
      runTimes.set(service, before + (duration - before) * RUN_TIME_WEIGHT);
    },
    recordPrefill: (service, prefill) => prefillRates.get(service)?.observe(prefill),
    expectedPrefill: (service, tokens) => prefillRates.get(service)?.timeFor(tokens),
    prefillRateOf: (service) => prefillRateOf(service).value,
    of: ({ name, engine }) => ({
      prefillRate: engine === undefined ? undefined : prefillRateOf(name).value,
      runTime:
        runTimes.get(name) ??
        (engine === undefined ? INITIAL_RUN_TIME.plain : INITIAL_RUN_TIME.engine),
    }),
  };
}
