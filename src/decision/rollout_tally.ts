/**
 * What one instance sees of a version on trial beside the one that serves: failures, and answers that took long.
 *
 * Load that it answers: a version that answers several times slower, on some kinds of request only, while the load
 * itself changes from second to second. By an absolute time a burst would look like a slow version; by the mean over all
 * requests a slow kind would hide behind a quick one. So a run is compared with what runs of the version that serves
 * took lately on the same route and with about as much to read. What hangs counts as slow before it has ended: its
 * deadline may be seconds away.
 *
 * Counts are told to all instances beside what each has at the workers, and are added up on the way.
 *
 * @module
 */
import { hashText } from "../version/index.ts";
import type { RunCounts } from "./worker_health.ts";

/** A run that is tallied. */
export interface TalliedRun {
  readonly service: string;
  readonly route: string;
  /** Prompt tokens that are read before its first token. */
  readonly reads: number;
  /** The worker's id where it is on trial; undefined where it serves. */
  readonly tried: string | undefined;
  /** Whether it is compared: a run of the version that serves is while the other one is tried, in the same moments. */
  readonly isCompared: boolean;
  /** Whether its worker was still slow after its start: its time says nothing. */
  readonly isCold: boolean;
  readonly now: number;
}

/** A run under way. */
export interface RunTally {
  /** Its first event came, or its whole answer where it is no stream. */
  answered(now: number): void;
  /** It ended: well, with a failure of its worker, or in a way that says nothing of it. */
  ended(result: "well" | "failed" | "unknown"): void;
}

/** What is seen of versions. */
export interface VersionTallies {
  begin(run: TalliedRun): RunTally;
  /** An order of the service is under way: its runs are counted from now on, anew for each version that is tried. */
  expect(service: string, tried: string | undefined): void;
  /** All counts, by the hashes that `tallyKeys` gives; runs that take too long already are counted as slow. */
  counts(now: number): ReadonlyMap<number, RunCounts>;
}

/** Where the counts of a route stand. */
export interface TallyKeys {
  /** Runs, and those that failed. */
  readonly answers: number;
  /** Runs whose time was compared, and those that were slow. */
  readonly times: number;
  /** Runs of the version that serves, and the sum of the logarithms of their times in hundredths. */
  readonly usual: number;
}

/**
 * Names the counts of a service's route while a version is tried: those of a worker on trial, or of all that serve.
 *
 * Nothing but these names is agreed on between instances.
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

/** Hashes are looked up with every run: some thousand of them are kept. */
const GREATEST_KEYS = 8_192;
const keys = new Map<string, TallyKeys>();

/** A run is slow that takes so many times what is usual, and so many milliseconds more. */
const SLOW_FACTOR = 1.6;
const SLOW_EXTRA = 12;
/** Runs of a kind that are seen before any is compared with them. */
const LEAST_SEEN = 4;
/** The weight of the newest run in what is usual. */
const NEWEST_PART = 0.08;

interface Usual {
  /** The mean of the logarithm of the time. */
  mean: number;
  seen: number;
}

interface Pending {
  readonly run: TalliedRun;
  readonly keys: TallyKeys;
  isTimed: boolean;
}

/** A sum of logarithms is a whole number of such parts. */
const LOGARITHM_PARTS = 100;

/**
 * Makes tallies of nothing.
 *
 * @param sumOf What all instances have counted under a hash, as far as this one knows. One that has just started, or that
 * sees little, goes by what is usual with the others.
 */
export function createVersionTallies(
  sumOf: (key: number) => RunCounts | undefined = () => undefined,
): VersionTallies {
  const usual = new Map<string, Usual>();
  const expected = new Map<string, string>();
  const counts = new Map<number, { runs: number; failures: number }>();
  /** By service, the counts that are kept for it. */
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
  /** What a run is compared with: those with about as much to read, or where there are few, all of the route. */
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
  /** Tells the others how long a run of the version that serves took, while another one is tried. */
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
