import type { Lane } from "../src/decision/index.ts";
import { createSeededRandom } from "../src/interface/index.ts";
import type { Random } from "../src/interface/index.ts";
import type { TraceArrival } from "../src/standin/replay/index.ts";

/**
 * The requests of one kind in a workload. Token ranges are drawn with most values near the minimum.
 */
export interface RequestProfile {
  readonly service: string;
  /** Lane stated by the caller. If absent, the service's lane applies. */
  readonly lane?: Lane;
  /** Mean arrivals per second, before {@linkcode Workload.rateFactor} is applied. */
  readonly arrivalsPerSecond: number;
  /** Minimum and maximum number of prompt tokens. */
  readonly promptTokens: readonly [number, number];
  /** Minimum and maximum number of answer tokens. */
  readonly answerTokens: readonly [number, number];
  /** Number of prompt prefixes that requests of an account share; 0 for none. */
  readonly prefixCount: number;
  /** Length of a shared prefix in tokens. */
  readonly prefixTokens: number;
  /** Whether the request may be repeated. If absent, the service's setting applies. */
  readonly repeatable?: boolean;
  /** Whether the caller doesn't wait for the answer. */
  readonly detached?: boolean;
  /** Deadline in milliseconds after the arrival. */
  readonly deadline?: number;
  /**
   * Fraction of requests with a limit on answer tokens. The limit is 1.1 to 2.1 times the answer's
   * length.
   */
  readonly maxTokensShare: number;
}

/** Request profiles, the accounts that send them, and their arrival rates over time. */
export interface Workload {
  readonly profiles: readonly RequestProfile[];
  /** Fraction of the arrivals by account. */
  readonly accountShares: Readonly<Record<string, number>>;
  /** Duration in milliseconds. */
  readonly duration: number;
  /**
   * Factor on a profile's arrival rate. `progress` is the elapsed fraction of the duration, from 0
   * to 1.
   */
  readonly rateFactor: (profile: RequestProfile, progress: number) => number;
}

/** Interval in milliseconds over which the arrival rate is constant. */
const RATE_INTERVAL = 1_000;

/**
 * Draws the arrivals of a workload from Poisson processes whose rates vary over time.
 *
 * @returns The arrivals, ordered by time. The same seed gives the same arrivals.
 */
export function drawArrivals(workload: Workload, seed: number): TraceArrival[] {
  const arrivals = workload.profiles.flatMap((profile, index) =>
    drawProfile(profile, { workload, random: createSeededRandom(seed * 1_000 + index) }),
  );
  return arrivals.sort((a, b) => a.t - b.t);
}

function drawProfile(
  profile: RequestProfile,
  { workload, random }: { workload: Workload; random: Random },
): TraceArrival[] {
  const arrivals: TraceArrival[] = [];
  for (let from = 0; from < workload.duration; from += RATE_INTERVAL) {
    const rate = profile.arrivalsPerSecond * workload.rateFactor(profile, from / workload.duration);
    const count = drawPoisson((rate * RATE_INTERVAL) / 1_000, random);
    for (let index = 0; index < count; index++) {
      const t = Math.floor(from + random.next() * RATE_INTERVAL);
      arrivals.push(drawArrival(profile, { t, accountShares: workload.accountShares, random }));
    }
  }
  return arrivals;
}

function drawArrival(
  profile: RequestProfile,
  options: { t: number; accountShares: Workload["accountShares"]; random: Random },
): TraceArrival {
  const { t, accountShares, random } = options;
  const account = drawAccount(accountShares, random);
  const answer = drawSkewed(profile.answerTokens, random);
  const prompt = drawSkewed(profile.promptTokens, random);
  // The square makes the first prefixes the most frequent.
  const prefix = Math.floor(random.next() ** 2 * profile.prefixCount);
  const hasMaxTokens = random.next() < profile.maxTokensShare;
  return {
    t,
    a: account,
    s: profile.service,
    p: prompt,
    n: answer,
    ...(profile.prefixCount === 0
      ? {}
      : {
          x: `${Object.keys(accountShares).indexOf(account)}.${prefix}`,
          xt: profile.prefixTokens,
        }),
    ...(profile.lane === undefined ? {} : { l: profile.lane }),
    ...(hasMaxTokens ? { m: Math.ceil(answer * (1.1 + random.next())) } : {}),
    ...(profile.repeatable === undefined ? {} : { r: profile.repeatable }),
    ...(profile.detached === true ? { d: true } : {}),
    ...(profile.deadline === undefined ? {} : { dl: profile.deadline }),
  };
}

/** Draws an account according to the shares. */
function drawAccount(accountShares: Workload["accountShares"], random: Random): string {
  const total = Object.values(accountShares).reduce((a, b) => a + b, 0);
  let remaining = random.next() * total;
  for (const [account, share] of Object.entries(accountShares)) {
    remaining -= share;
    if (remaining < 0) return account;
  }
  return Object.keys(accountShares)[0] ?? "";
}

/** Draws an integer from a range, with most values near the minimum. */
function drawSkewed([min, max]: readonly [number, number], random: Random): number {
  return Math.round(min + (max - min) * random.next() ** 2);
}

/**
 * Draws from a Poisson distribution by Knuth's method, whose time is proportional to the mean. The
 * means here are small.
 */
function drawPoisson(mean: number, random: Random): number {
  const threshold = Math.exp(-mean);
  let count = 0;
  let product = random.next();
  while (product > threshold) {
    count++;
    product *= random.next();
  }
  return count;
}
