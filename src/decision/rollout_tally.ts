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
export interface TalliedRun {
  readonly service: string;
  readonly route: string;
  /** Prompt tokens to process before the first token. */
  readonly reads: number;
  /** The ID of the worker if it is on trial; undefined if it runs the base version. */
  readonly tried: string | undefined;
  /**
   * Whether the run is part of the comparison. A run of the base version is if the new version is
   * being tried at the same time.
   */
  readonly isCompared: boolean;
  /** Whether the worker was still warming up. The duration of such a run is not compared. */
  readonly isCold: boolean;
  readonly now: number;
}

/** A run in progress. */
export interface RunTally {
  /** Records that the first event arrived, or the whole answer if it is not a stream. */
  answered(now: number): void;
  /**
   * Records the end of the run: success, failure of its worker, or unknown if the end does not
   * depend on the worker.
   */
  ended(result: "well" | "failed" | "unknown"): void;
}

/** Counts for all versions. Times are in milliseconds of the clock. */
export interface VersionTallies {
  begin(run: TalliedRun): RunTally;
  /**
   * Sets the version on trial for a service; undefined ends the trial. The counts restart with each
   * new version.
   */
  expect(service: string, tried: string | undefined): void;
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
  readonly usual: number;
}

/**
 * Returns the keys of a route's counts while a version is on trial: those of one worker on trial,
 * or of all base workers.
 *
 * These keys are all that instances need to agree on.
 */
export function tallyKeys(of: {
  service: string;
  tried: string;
  route: string;
  worker: string | undefined;
}): TallyKeys {
  const name = `${of.service} ${of.tried} ${of.route} ${of.worker ?? ""}`;
  const known = keys.get(name);
  if (known !== undefined) return known;
  const found = {
    answers: hashText(`answers ${name}`),
    times: hashText(`times ${name}`),
    usual: hashText(`usual ${name}`),
  };
  if (keys.size >= GREATEST_KEYS) keys.clear();
  keys.set(name, found);
  return found;
}

/** Every run looks up its hashes, so a few thousand of them are cached. */
const GREATEST_KEYS = 8_192;
const keys = new Map<string, TallyKeys>();

/**
 * A run is slow if it takes longer than its baseline multiplied by this factor plus this number of
 * milliseconds.
 */
const SLOW_FACTOR = 1.6;
const SLOW_EXTRA = 12;
/** Minimum number of runs before other runs are compared with them. */
const LEAST_SEEN = 4;
/** Weight of the newest run in the baseline. */
const NEWEST_PART = 0.08;

interface Usual {
  /** Mean of the logarithms of the times. */
  mean: number;
  seen: number;
}

interface Pending {
  readonly run: TalliedRun;
  readonly keys: TallyKeys;
  isTimed: boolean;
}

/** Sums of logarithms are integers in units of one hundredth. */
const LOGARITHM_PARTS = 100;

/**
 * Creates empty counts.
 *
 * @param sumOf Returns the total that all instances have counted under a hash, as far as this
 * instance knows. An instance that has just started, or that receives few requests, uses it as its
 * baseline.
 */
export function createVersionTallies(
  sumOf: (key: number) => RunCounts | undefined = () => undefined,
): VersionTallies {
  const usual = new Map<string, Usual>();
  const expected = new Map<string, string>();
  const counts = new Map<number, { runs: number; failures: number }>();
  /** The keys of the counts kept for each service. */
  const kept = new Map<string, Set<number>>();
  const pending = new Set<Pending>();

  const countOf = (service: string, key: number): { runs: number; failures: number } => {
    const count = counts.get(key) ?? { runs: 0, failures: 0 };
    counts.set(key, count);
    const named = kept.get(service) ?? new Set<number>();
    kept.set(service, named.add(key));
    return count;
  };
  const add = (service: string, key: number, isBad: boolean): void => {
    const count = countOf(service, key);
    count.runs++;
    if (isBad) count.failures++;
  };
  /**
   * Baselines for a run: runs with a similar number of prompt tokens, then all runs of the route if
   * the former are too few.
   */
  const kindsOf = ({ service, route, reads }: TalliedRun): string[] => [
    `${service} ${route} ${Math.round(Math.log2(Math.max(1, reads)))}`,
    `${service} ${route}`,
  ];
  const longest = (run: TalliedRun): number | undefined => {
    const known = kindsOf(run)
      .map((kind) => usual.get(kind))
      .find((one) => one !== undefined && one.seen >= LEAST_SEEN);
    const mean = known?.mean ?? meanElsewhere(run);
    return mean === undefined ? undefined : Math.exp(mean) * SLOW_FACTOR + SLOW_EXTRA;
  };
  const meanElsewhere = ({ service, route }: TalliedRun): number | undefined => {
    const tried = expected.get(service);
    if (tried === undefined) return undefined;
    const sums = sumOf(tallyKeys({ service, tried, route, worker: undefined }).usual);
    if (sums === undefined || sums.runs < LEAST_SEEN) return undefined;
    return sums.failures / sums.runs / LOGARITHM_PARTS;
  };
  /**
   * Counts the duration of a run of the base version for the other instances while a version is on
   * trial.
   */
  const tellUsual = ({ service, route }: TalliedRun, took: number): void => {
    const tried = expected.get(service);
    if (tried === undefined) return;
    const { usual: key } = tallyKeys({ service, tried, route, worker: undefined });
    const count = countOf(service, key);
    count.runs++;
    count.failures += Math.round(Math.log(Math.max(1, took)) * LOGARITHM_PARTS);
  };
  const learn = (run: TalliedRun, took: number): void => {
    const time = Math.log(Math.max(1, took));
    for (const kind of kindsOf(run)) {
      const known = usual.get(kind) ?? { mean: time, seen: 0 };
      known.seen++;
      known.mean += (time - known.mean) * Math.max(NEWEST_PART, 1 / known.seen);
      usual.set(kind, known);
    }
  };
  const time = (one: Pending, isSlow: boolean): void => {
    if (one.isTimed) return;
    one.isTimed = true;
    add(one.run.service, one.keys.times, isSlow);
  };
  const track = (run: TalliedRun, tried: string): Pending => {
    const { service, route, tried: worker } = run;
    const one = { run, keys: tallyKeys({ service, tried, route, worker }), isTimed: run.isCold };
    pending.add(one);
    return one;
  };
  return {
    begin: (run) => {
      const tried = run.isCompared ? expected.get(run.service) : undefined;
      const one = tried === undefined ? undefined : track(run, tried);
      let isAnswered = false;
      return {
        answered: (now) => {
          if (isAnswered) return;
          isAnswered = true;
          const took = now - run.now;
          if (one !== undefined) {
            const most = longest(run);
            if (most !== undefined) time(one, took > most);
            one.isTimed = true;
          }
          if (run.tried === undefined && !run.isCold) {
            learn(run, took);
            tellUsual(run, took);
          }
        },
        ended: (result) => {
          if (one === undefined || !pending.delete(one) || result === "unknown") return;
          if (expected.get(run.service) !== tried) return;
          add(run.service, one.keys.answers, result === "failed");
        },
      };
    },
    expect: (service, tried) => {
      if (expected.get(service) === tried) return;
      if (tried === undefined) expected.delete(service);
      else expected.set(service, tried);
      for (const key of kept.get(service) ?? []) counts.delete(key);
      kept.delete(service);
      for (const one of pending) if (one.run.service === service) pending.delete(one);
    },
    counts: (now) => {
      for (const one of pending) {
        const most = one.isTimed ? undefined : longest(one.run);
        if (most !== undefined && now - one.run.now > most) time(one, true);
      }
      return counts;
    },
  };
}
