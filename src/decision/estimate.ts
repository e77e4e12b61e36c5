/**
 * What a request will cost, from its prompt and from what requests like it came to.
 *
 * Load that it answers: lookups of 20 tokens and scripts of 2,000 in the same queues. Without estimates all
 * requests count alike: an account that sends long work gets many times the share of one that sends short
 * work, deadlines are promised that can't be met, and batches run out of KV cache. One would notice it as
 * refusals that come too late and as evictions in the engines.
 *
 * The answer's length is learned as a quantile for each service, account and lane. The seventieth is used:
 * for the heavy-tailed lengths that answers have (log-normal, with a spread of about 1) it lies at the mean,
 * so that sums of estimates come out right, while one outlier moves it by one rank only. A caller's own
 * bound can only lower the estimate, and only as far as its answers have kept to earlier bounds: a caller
 * that states 16 and is sent 400 is estimated at 400 after a few answers, and its share is charged the rest.
 *
 * Estimates may be wrong; nothing that must hold depends on them. Shares are corrected by what was
 * measured, limits by what engines do.
 *
 * @module
 */
import type { Arrival, Estimate, Job } from "./job.ts";
import type { Policy } from "./policy.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { machineAverage, targetOf } from "./policy.ts";

/** Learns what requests cost. */
export interface Estimator {
  configure(policy: Policy): void;
  estimate(arrival: Arrival): Estimate;
  /** What a request of the given lengths comes to, in tokens of work. */
  workOf(promptTokens: number, answerTokens: number): number;
  /** Takes in what an answer came to. */
  learn(job: Job, answerTokens: number): void;
  /** Takes in the milliseconds between two tokens of a service. */
  learnGap(service: string, milliseconds: number): void;
}

/** Where the seventieth percentile lies at the mean of a log-normal with a spread of 1. */
const EXPECTED = 0.7;
/** Answers of an account after which its own quantile is trusted; below it the service's is used. */
const ENOUGH_ANSWERS = 8;
/** A change of an account's habits shows after about this many answers. */
const HALF_LIFE = 200;
/** Before anything is known: the length at which a wrong guess costs either side about the same. */
const FIRST_GUESS = 256;
const GAP_HALF_LIFE = 2_000;
/** Ratios are kept in hundredths, because the sketch counts from 1 up. */
const HUNDREDTHS = 100;

interface Learned {
  readonly answers: QuantileSketch;
  /** Answer lengths in hundredths of the caller's own bound. */
  readonly excess: QuantileSketch;
}

/** Makes an estimator that has learned nothing. */
export function createEstimator(policy: Policy): Estimator {
  let machine = machineAverage(policy);
  let inForce = policy;
  const learned = new Map<string, Learned>();
  const gaps = new Map<string, QuantileSketch>();

  const workOf = (promptTokens: number, answerTokens: number): number =>
    answerTokens + (promptTokens * machine.tokensPerSecond) / machine.prefillPerSecond;
  const answerOf = (arrival: Arrival): number => {
    const own = learned.get(accountKey(arrival));
    const enough = own !== undefined && own.answers.count >= ENOUGH_ANSWERS;
    const source = enough ? own : learned.get(serviceKey(arrival));
    const expected = source?.answers.quantile(EXPECTED) ?? FIRST_GUESS;
    if (arrival.maxTokens === undefined) return expected;
    const excess = (own?.excess.quantile(EXPECTED) ?? 0) / HUNDREDTHS;
    return Math.min(expected, arrival.maxTokens * Math.max(1, excess));
  };
  const tokenTime = (service: string): number =>
    gaps.get(service)?.quantile(0.5) ?? targetOf(inForce, service).betweenTokens / 2;

  return {
    configure: (next) => {
      inForce = next;
      machine = machineAverage(next);
    },
    workOf,
    estimate: (arrival) => {
      const answerTokens = Math.max(1, Math.round(answerOf(arrival)));
      const prefill = (arrival.promptTokens / machine.prefillPerSecond) * 1_000;
      const serviceTime = prefill + answerTokens * tokenTime(arrival.service);
      const { firstToken } = targetOf(inForce, arrival.service);
      const forFirst = arrival.detached ? Number.POSITIVE_INFINITY : arrival.arrivedAt + firstToken;
      return {
        work: workOf(arrival.promptTokens, answerTokens),
        answerTokens,
        cacheTokens: arrival.promptTokens + answerTokens,
        serviceTime,
        startBy: Math.min(arrival.deadlineAt - serviceTime, forFirst),
      };
    },
    learn: (job, answerTokens) => {
      for (const key of [accountKey(job), serviceKey(job)]) {
        const known = learned.get(key) ?? emptyLearned();
        learned.set(key, known);
        known.answers.add(answerTokens);
        if (job.maxTokens !== undefined) {
          known.excess.add((HUNDREDTHS * answerTokens) / Math.max(1, job.maxTokens));
        }
      }
    },
    learnGap: (service, milliseconds) => {
      const known = gaps.get(service) ?? createQuantileSketch(GAP_HALF_LIFE);
      gaps.set(service, known);
      known.add(milliseconds);
    },
  };
}

function emptyLearned(): Learned {
  const sketch = (): QuantileSketch => createQuantileSketch(HALF_LIFE);
  return { answers: sketch(), excess: sketch() };
}

function accountKey({ service, account, lane }: Arrival): string {
  return `${service} ${lane} ${account}`;
}

function serviceKey({ service, lane }: Arrival): string {
  return `${service} ${lane}`;
}
