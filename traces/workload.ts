import type { Lane } from "../src/decision/index.ts";
import { createSeededRandom } from "../src/interface/index.ts";
import type { Random } from "../src/interface/index.ts";
import type { TraceArrival } from "../src/standin/replay/index.ts";

/** One sort of request in a workload. */
export interface RequestKind {
  readonly service: string;
  readonly lane?: Lane;
  /** Arrivals a second before the curve's factor. */
  readonly rate: number;
  /** Least and greatest number of tokens, drawn with most of them near the least. */
  readonly prompt: readonly [number, number];
  readonly answer: readonly [number, number];
  /** Prompts that open alike: how many such openings an account has, and how many tokens long. */
  readonly prefixes: number;
  readonly prefixTokens: number;
  readonly repeatable?: boolean;
  readonly detached?: boolean;
  /** Milliseconds from the arrival. */
  readonly deadline?: number;
  /** Part of the callers that give a bound on the answer, somewhat above what it comes to. */
  readonly bounded: number;
}

/** A workload: kinds of requests, who sends them, and how they come and go over time. */
export interface Workload {
  readonly kinds: readonly RequestKind[];
  /** Accounts with their parts of the arrivals: a few are large. */
  readonly accounts: Readonly<Record<string, number>>;
  readonly duration: number;
  /** Factor on the rate of a kind at a time from 0 to 1 of the duration. */
  readonly curve: (kind: RequestKind, part: number) => number;
}

/** Step in which the curve is followed, in milliseconds. */
const STEP = 1_000;

/** Draws the arrivals of a workload: a Poisson process whose rate follows the curve. */
export function drawArrivals(workload: Workload, seed: number): TraceArrival[] {
  const arrivals = workload.kinds.flatMap((kind, index) =>
    drawKind(kind, { workload, random: createSeededRandom(seed * 1_000 + index) }),
  );
  return arrivals.sort((a, b) => a.t - b.t);
}

function drawKind(
  kind: RequestKind,
  { workload, random }: { workload: Workload; random: Random },
): TraceArrival[] {
  const arrivals: TraceArrival[] = [];
  for (let from = 0; from < workload.duration; from += STEP) {
    const rate = kind.rate * workload.curve(kind, from / workload.duration);
    const count = drawPoisson((rate * STEP) / 1_000, random);
    for (let index = 0; index < count; index++) {
      const t = Math.floor(from + random.next() * STEP);
      arrivals.push(drawArrival(kind, { t, accounts: workload.accounts, random }));
    }
  }
  return arrivals;
}

function drawArrival(
  kind: RequestKind,
  options: { t: number; accounts: Workload["accounts"]; random: Random },
): TraceArrival {
  const { t, accounts, random } = options;
  const account = drawAccount(accounts, random);
  const answer = drawSkewed(kind.answer, random);
  const prompt = drawSkewed(kind.prompt, random);
  // The square makes the first openings the common ones.
  const prefix = Math.floor(random.next() ** 2 * kind.prefixes);
  const bounded = random.next() < kind.bounded;
  return {
    t,
    a: account,
    s: kind.service,
    p: prompt,
    n: answer,
    ...(kind.prefixes === 0
      ? {}
      : { x: `${Object.keys(accounts).indexOf(account)}.${prefix}`, xt: kind.prefixTokens }),
    ...(kind.lane === undefined ? {} : { l: kind.lane }),
    ...(bounded ? { m: Math.ceil(answer * (1.1 + random.next())) } : {}),
    ...(kind.repeatable === undefined ? {} : { r: kind.repeatable }),
    ...(kind.detached === true ? { d: true } : {}),
    ...(kind.deadline === undefined ? {} : { dl: kind.deadline }),
  };
}

function drawAccount(accounts: Workload["accounts"], random: Random): string {
  const total = Object.values(accounts).reduce((a, b) => a + b, 0);
  let left = random.next() * total;
  for (const [account, part] of Object.entries(accounts)) {
    left -= part;
    if (left < 0) return account;
  }
  return Object.keys(accounts)[0] ?? "";
}

function drawSkewed([least, greatest]: readonly [number, number], random: Random): number {
  return Math.round(least + (greatest - least) * random.next() ** 2);
}

/** Knuth's method; the means here are small. */
function drawPoisson(mean: number, random: Random): number {
  const limit = Math.exp(-mean);
  let count = 0;
  let product = random.next();
  while (product > limit) {
    count++;
    product *= random.next();
  }
  return count;
}
