/**
 * Counts the failures and slow answers of a version on trial and of the base version at one
 * instance.
 *
 * Load: a version that answers several times slower, for some kinds of requests only, while the
 * load changes from second to second. With an absolute time limit a burst would look like a slow
 * version; with the mean over all requests a slow kind would hide behind a fast one.
 *
 * Mechanism: a run is compared with recent runs of the base version on the same route that had a
 * similar number of prompt tokens to process. A run that hangs counts as slow before it ends,
 * because its deadline may be seconds away.
 *
 * Instances exchange these counts in the same way as their counts per worker, and relays add them
 * up.
 *
 * @module
 */
import { hashText } from "../version/index.ts";
import type { RunCounts } from "./worker_health.ts";

/** A run that is counted. */
export interface CountedRun {
  readonly service: string;
  readonly route: string;
  /** Prompt tokens to process before the first token. */
  readonly prefillTokens: number;
  /** The ID of the worker if it is on trial; undefined if it runs the base version. */
  readonly trialWorker: string | undefined;
  /**
   * Whether the run is part of the comparison. A run of the base version takes part only if the new
   * version is being tried at the same time.
   */
  readonly isCompared: boolean;
  /** Whether the worker was still warming up. The duration of such a run is not compared. */
  readonly isWarmingUp: boolean;
  readonly startedAt: number;
}

/** A run in progress. */
export interface RunTally {
  /** Records that the first event arrived, or the whole answer if it is not a stream. */
  recordAnswer(now: number): void;
  /**
   * Records the end of the run: success, failure of its worker, or unknown if the end does not
   * depend on the worker.
   */
  recordEnd(result: "well" | "failed" | "unknown"): void;
}

/** Counts for all versions. Times are in milliseconds of the clock. */
export interface VersionTallies {
  begin(run: CountedRun): RunTally;
  /**
   * Sets the version on trial for a service; undefined ends the trial. The counts restart with each
   * new version.
   */
  setTrialVersion(service: string, trialVersion: string | undefined): void;
  /**
   * Returns all counts by the hashes of {@linkcode tallyKeys}. Pending runs that already exceed the
   * time limit count as slow.
   */
  counts(now: number): ReadonlyMap<number, RunCounts>;
}

/** The keys of a route's counts. */
export interface TallyKeys {
  /** Runs, and how many of them failed. */
  readonly answers: number;
  /** Runs whose time was compared, and how many of them were slow. */
  readonly times: number;
  /** Runs of the base version, and the sum of the logarithms of their times in hundredths. */
  readonly baseline: number;
}

/**
 * Returns the keys of a route's counts while a version is on trial: those of one worker on trial,
 * or of all base workers.
 *
 * These keys are all that instances need to agree on.
 */
export function tallyKeys(of: {
  service: string;
  trialVersion: string;
  route: string;
  worker: string | undefined;
}): TallyKeys {
  const name = `${of.service} ${of.trialVersion} ${of.route} ${of.worker ?? ""}`;
  const cached = keyCache.get(name);
  if (cached !== undefined) return cached;
  const created = {
    answers: hashText(`answers ${name}`),
    times: hashText(`times ${name}`),
    baseline: hashText(`usual ${name}`),
  };
  if (keyCache.size >= MAX_CACHED_KEYS) keyCache.clear();
  keyCache.set(name, created);
  return created;
}

/** Computing the hashes for every run would be slow, so a few thousand of them are cached. */
const MAX_CACHED_KEYS = 8_192;
const keyCache = new Map<string, TallyKeys>();

/**
 * A run is slow if it takes longer than its baseline multiplied by this factor plus this number of
 * milliseconds.
 */
const SLOW_FACTOR = 1.6;
const SLOW_MARGIN = 12;
/** Minimum number of runs before other runs are compared with them. */
const MIN_SAMPLES = 4;
/** Weight of the newest run in the baseline. */
const NEWEST_WEIGHT = 0.08;

interface Baseline {
  /** Mean of the logarithms of the times. */
  meanLog: number;
  samples: number;
}

interface PendingRun {
  readonly run: CountedRun;
  readonly keys: TallyKeys;
  isTimeCounted: boolean;
}

/** Sums of logarithms are integers in units of one hundredth. */
const LOG_UNITS = 100;

/**
 * Creates empty counts.
 *
 * @param sumOf Returns the total that all instances have counted under a hash, as far as this
 * instance has received it. An instance that has just started, or that receives few requests, uses
 * it as its baseline.
 */
export function createVersionTallies(
  sumOf: (key: number) => RunCounts | undefined = () => undefined,
): VersionTallies {
  const baselines = new Map<string, Baseline>();
  const trialVersions = new Map<string, string>();
  const counts = new Map<number, { runs: number; failures: number }>();
  /** The keys of the counts kept for each service. */
  const keysByService = new Map<string, Set<number>>();
  const pending = new Set<PendingRun>();

  const countOf = (service: string, key: number): { runs: number; failures: number } => {
    const count = counts.get(key) ?? { runs: 0, failures: 0 };
    counts.set(key, count);
    const serviceKeys = keysByService.get(service) ?? new Set<number>();
    keysByService.set(service, serviceKeys.add(key));
    return count;
  };
  const increment = (service: string, key: number, isBad: boolean): void => {
    const count = countOf(service, key);
    count.runs++;
    if (isBad) count.failures++;
  };
  /**
   * Baselines for a run: runs with a similar number of prompt tokens, then all runs of the route if
   * the former are too few.
   */
  const baselineKeys = ({ service, route, prefillTokens }: CountedRun): string[] => [
    `${service} ${route} ${Math.round(Math.log2(Math.max(1, prefillTokens)))}`,
    `${service} ${route}`,
  ];
  const slowThreshold = (run: CountedRun): number | undefined => {
    const known = baselineKeys(run)
      .map((key) => baselines.get(key))
      .find((baseline) => baseline !== undefined && baseline.samples >= MIN_SAMPLES);
    const mean = known?.meanLog ?? sharedMean(run);
    return mean === undefined ? undefined : Math.exp(mean) * SLOW_FACTOR + SLOW_MARGIN;
  };
  const sharedMean = ({ service, route }: CountedRun): number | undefined => {
    const trialVersion = trialVersions.get(service);
    if (trialVersion === undefined) return undefined;
    const sums = sumOf(tallyKeys({ service, trialVersion, route, worker: undefined }).baseline);
    if (sums === undefined || sums.runs < MIN_SAMPLES) return undefined;
    return sums.failures / sums.runs / LOG_UNITS;
  };
  /**
   * Counts the duration of a run of the base version for the other instances while a version is on
   * trial.
   */
  const shareBaseline = ({ service, route }: CountedRun, duration: number): void => {
    const trialVersion = trialVersions.get(service);
    if (trialVersion === undefined) return;
    const { baseline: key } = tallyKeys({ service, trialVersion, route, worker: undefined });
    const count = countOf(service, key);
    count.runs++;
    count.failures += Math.round(Math.log(Math.max(1, duration)) * LOG_UNITS);
  };
  const updateBaseline = (run: CountedRun, duration: number): void => {
    const logTime = Math.log(Math.max(1, duration));
    for (const key of baselineKeys(run)) {
      const known = baselines.get(key) ?? { meanLog: logTime, samples: 0 };
      known.samples++;
      known.meanLog += (logTime - known.meanLog) * Math.max(NEWEST_WEIGHT, 1 / known.samples);
      baselines.set(key, known);
    }
  };
  const recordTime = (entry: PendingRun, isSlow: boolean): void => {
    if (entry.isTimeCounted) return;
    entry.isTimeCounted = true;
    increment(entry.run.service, entry.keys.times, isSlow);
  };
  const track = (run: CountedRun, trialVersion: string): PendingRun => {
    const { service, route, trialWorker: worker } = run;
    const entry = {
      run,
      keys: tallyKeys({ service, trialVersion, route, worker }),
      isTimeCounted: run.isWarmingUp,
    };
    pending.add(entry);
    return entry;
  };
  return {
    begin: (run) => {
      const trialVersion = run.isCompared ? trialVersions.get(run.service) : undefined;
      const entry = trialVersion === undefined ? undefined : track(run, trialVersion);
      let isAnswered = false;
      return {
        recordAnswer: (now) => {
          if (isAnswered) return;
          isAnswered = true;
          const duration = now - run.startedAt;
          if (entry !== undefined) {
            const threshold = slowThreshold(run);
            if (threshold !== undefined) recordTime(entry, duration > threshold);
            entry.isTimeCounted = true;
          }
          if (run.trialWorker === undefined && !run.isWarmingUp) {
            updateBaseline(run, duration);
            shareBaseline(run, duration);
          }
        },
        recordEnd: (result) => {
          if (entry === undefined || !pending.delete(entry) || result === "unknown") return;
          if (trialVersions.get(run.service) !== trialVersion) return;
          increment(run.service, entry.keys.answers, result === "failed");
        },
      };
    },
    setTrialVersion: (service, trialVersion) => {
      if (trialVersions.get(service) === trialVersion) return;
      if (trialVersion === undefined) trialVersions.delete(service);
      else trialVersions.set(service, trialVersion);
      for (const key of keysByService.get(service) ?? []) counts.delete(key);
      keysByService.delete(service);
      for (const entry of pending) if (entry.run.service === service) pending.delete(entry);
    },
    counts: (now) => {
      for (const entry of pending) {
        const threshold = entry.isTimeCounted ? undefined : slowThreshold(entry.run);
        if (threshold !== undefined && now - entry.run.startedAt > threshold)
          recordTime(entry, true);
      }
      return counts;
    },
  };
}
