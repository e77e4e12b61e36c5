/**
 * Estimates how many workers a service's load keeps busy.
 *
 * Load: demand that rises within seconds, and requests that queue because workers were reclaimed.
 * The number of running requests shows both, by Little's law without knowing any engine's speed: it
 * is the arrival rate times the duration. Where workers are overloaded each run takes longer, and
 * the number would indicate several times the workers needed; so runs beyond what a worker handles
 * well count only partly.
 *
 * A few long prompts keep workers busy in another way: they are processed (prefill) one after
 * another before any first token, while few requests run. So the workers in prefill at a time are
 * counted as well. This number determines what has to remain when zones are reclaimed. It does not
 * enter the usual number, because the price of idle workers would exceed the benefit.
 *
 * When workers are lost, requests queue at the others, and all of them are in prefill without a
 * pause. The demand after the loss is what it was just before; a queue alone raises the estimate
 * only a little at first, and more the longer it lasts.
 *
 * A rise counts immediately, since a worker takes seconds to start and late first tokens cost money
 * at once. A fall counts slowly, with a half-life of 10 s: a worker that is returned and ordered
 * again is paid for twice, and the market may be empty by then. The first load is always small, so
 * the number of workers before it is treated as the start of a fall.
 *
 * @module
 */
import { sum } from "./sum.ts";

/** Estimates the demand of one service. */
export interface DemandEstimator {
  /**
   * Updates the estimate with the load of each worker.
   *
   * @param options `now` is the time in milliseconds; `first` is the number of workers expected to
   * be busy when the first load arrives.
   */
  observe(loads: readonly ObservedLoad[], options: { now: number; first: number }): DemandLevel;
}

/** Load of one worker over all instances. */
export interface ObservedLoad {
  readonly running: number;
  /** Milliseconds until the prompts without a first token are processed. */
  readonly readingTime: number;
}

/** Number of workers that a load keeps busy. */
export interface DemandLevel {
  /** Number of workers needed now. */
  readonly current: number;
  /** The same, with falls counted slowly. */
  readonly smoothed: number;
  /**
   * Number of workers needed to process all prompts just in time, with falls counted slowly. With
   * only these workers, other runs may become slower.
   */
  readonly smoothedPrefill: number;
  /** Whether there has been any load. */
  readonly hasLoad: boolean;
}

/**
 * Runs per worker at which an engine still produces first tokens in a fraction of the usual
 * targets.
 */
const RUNS_PER_WORKER = 10;
/**
 * Runs per worker that count in full; those beyond wait for each other and count with this weight.
 */
const FULL_WEIGHT_RUNS = 16;
const EXCESS_RUN_WEIGHT = 0.2;
const HALF_LIFE = 10_000;
/**
 * Maximum fraction of its time that a worker may spend on prefill. Beyond it, first tokens wait on
 * average for at least one other prompt.
 */
const MAX_PREFILL_FRACTION = 0.6;
/**
 * Time constant in milliseconds for averaging the workers in prefill: about ten prompts per worker.
 */
const PREFILL_TIME_CONSTANT = 5_000;
/**
 * Milliseconds that a first token takes besides prefill. Prompts count as pending during that time
 * too.
 */
const FIXED_LATENCY = 35;
/**
 * While workers are overloaded, the previous demand may grow by this factor at once and then double
 * in this time, in milliseconds. Anything beyond is a queue that is gone by the time a worker
 * ordered for it has started.
 */
const OVERLOAD_RISE = 1.25;
const OVERLOAD_DOUBLING_TIME = 15_000;
/** Workers count as overloaded if this fraction of them is in prefill at once. */
const OVERLOAD_PREFILL_FRACTION = 0.6;

/** A number of workers at a time in milliseconds. */
interface TimedLevel {
  readonly level: number;
  readonly at: number;
}

/** Creates an estimator that has not observed any load. */
export function createDemandEstimator(): DemandEstimator {
  let smoothedWorkers: TimedLevel | undefined;
  let smoothedPrefill: TimedLevel | undefined;
  /** Demand when the workers were last not overloaded. */
  let lastNormal: TimedLevel | undefined;
  /** Average number of workers in prefill over the last seconds. */
  let meanPrefill: TimedLevel | undefined;
  const observePrefill = (loads: readonly ObservedLoad[], now: number): number => {
    const prefillNow = sum(loads.map(prefillFraction));
    const { level, at } = meanPrefill ?? { level: prefillNow, at: now };
    const decay = Math.exp(-(now - at) / PREFILL_TIME_CONSTANT);
    meanPrefill = { level: prefillNow + (level - prefillNow) * decay, at: now };
    return meanPrefill.level;
  };
  return {
    observe: (loads, { now, first }) => {
      const runs = sum(loads.map(({ running }) => weightedRuns(running)));
      const prefilling = observePrefill(loads, now);
      const isOverloaded =
        runs > loads.length * FULL_WEIGHT_RUNS ||
        prefilling > loads.length * OVERLOAD_PREFILL_FRACTION;
      const maxWorkers = isOverloaded ? maxGrowth(lastNormal, now) : Infinity;
      const prefillWorkers = Math.min(prefilling / MAX_PREFILL_FRACTION, maxWorkers);
      const workers = Math.min(runs / RUNS_PER_WORKER, maxWorkers);
      if (!isOverloaded) lastNormal = { level: Math.max(1, workers), at: now };
      if (smoothedWorkers === undefined && workers === 0) {
        return { current: 0, smoothed: first, smoothedPrefill: 0, hasLoad: false };
      }
      smoothedWorkers = smoothLevel(smoothedWorkers ?? { level: first, at: now }, {
        level: workers,
        at: now,
      });
      smoothedPrefill = smoothLevel(smoothedPrefill ?? { level: 0, at: now }, {
        level: prefillWorkers,
        at: now,
      });
      return {
        current: Math.ceil(workers),
        smoothed: Math.ceil(smoothedWorkers.level),
        smoothedPrefill: Math.ceil(smoothedPrefill.level),
        hasLoad: true,
      };
    },
  };
}

/** Returns the fraction of time that a worker with this load spends on prefill. */
function prefillFraction({ readingTime }: ObservedLoad): number {
  return readingTime / (readingTime + FIXED_LATENCY);
}

/** Applies a rise immediately and a fall slowly. */
function smoothLevel(previous: TimedLevel, { level, at }: TimedLevel): TimedLevel {
  const decay = 2 ** (-(at - previous.at) / HALF_LIFE);
  return { level: Math.max(level, level + (previous.level - level) * decay), at };
}

/**
 * Returns the highest plausible demand now, given the demand when the workers were last not
 * overloaded.
 */
function maxGrowth(lastNormal: TimedLevel | undefined, now: number): number {
  if (lastNormal === undefined) return Infinity;
  return lastNormal.level * OVERLOAD_RISE * 2 ** ((now - lastNormal.at) / OVERLOAD_DOUBLING_TIME);
}

function weightedRuns(runs: number): number {
  return (
    Math.min(runs, FULL_WEIGHT_RUNS) + Math.max(0, runs - FULL_WEIGHT_RUNS) * EXCESS_RUN_WEIGHT
  );
}
