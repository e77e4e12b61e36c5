/**
 * What a request will cost, from its prompt and from what requests like it came to.
 *
 * Load that it answers: lookups of 20 tokens and scripts of 2,000 in the same queues. Without estimates all
 * requests count alike: an account that sends long work gets many times the share of one that sends short
 * work, deadlines are promised that can't be met, and batches run out of KV cache. One would notice it as
 * refusals that come too late and as evictions in the engines.
 *
 * The answer's length is statistics as a quantile for each service, account and lane. The seventieth is used:
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
  recordAnswer(job: Job, answerTokens: number): void;
  /** Takes in the milliseconds between two tokens of a service. */
  recordTokenGap(service: string, milliseconds: number): void;
}

/** Where the seventieth percentile lies at the mean of a log-normal with a spread of 1. */
const ANSWER_PERCENTILE = 0.7;
/** Answers of an account after which its own quantile is trusted; below it the service's is used. */
const MIN_ANSWERS = 8;
/** A change of an account's habits shows after about this many answers. */
const ANSWER_HALF_LIFE = 200;
/** Before anything is known: the length at which a wrong guess costs either side about the same. */
const DEFAULT_ANSWER_TOKENS = 256;
const GAP_HALF_LIFE = 2_000;
/** Ratios are kept in hundredths, because the sketch counts from 1 up. */
const RATIO_SCALE = 100;

interface AnswerStatistics {
  readonly answerTokens: QuantileSketch;
  /** Answer lengths in hundredths of the caller's own bound. */
  readonly limitRatio: QuantileSketch;
}

/** Makes an estimator that has statistics nothing. */
export function createEstimator(policy: Policy): Estimator {
  let averageMachine = machineAverage(policy);
  let currentPolicy = policy;
  const statistics = new Map<string, AnswerStatistics>();
  const gaps = new Map<string, QuantileSketch>();

  const workOf = (promptTokens: number, answerTokens: number): number =>
    answerTokens +
    (promptTokens * averageMachine.tokensPerSecond) / averageMachine.prefillPerSecond;
  const estimateAnswerTokens = (arrival: Arrival): number => {
    const own = statistics.get(accountKey(arrival));
    const enough = own !== undefined && own.answerTokens.count >= MIN_ANSWERS;
    const source = enough ? own : statistics.get(serviceKey(arrival));
    const expected = source?.answerTokens.quantile(ANSWER_PERCENTILE) ?? DEFAULT_ANSWER_TOKENS;
    if (arrival.maxTokens === undefined) return expected;
    const excess = (own?.limitRatio.quantile(ANSWER_PERCENTILE) ?? 0) / RATIO_SCALE;
    return Math.min(expected, arrival.maxTokens * Math.max(1, excess));
  };
  const tokenTime = (service: string): number =>
    gaps.get(service)?.quantile(0.5) ?? targetOf(currentPolicy, service).betweenTokens / 2;

  return {
    configure: (next) => {
      currentPolicy = next;
      averageMachine = machineAverage(next);
    },
    workOf,
    estimate: (arrival) => {
      const answerTokens = Math.max(1, Math.round(estimateAnswerTokens(arrival)));
      const prefill = (arrival.promptTokens / averageMachine.prefillPerSecond) * 1_000;
      const serviceTime = prefill + answerTokens * tokenTime(arrival.service);
      const { firstToken } = targetOf(currentPolicy, arrival.service);
      const firstTokenDueAt = arrival.detached
        ? Number.POSITIVE_INFINITY
        : arrival.arrivedAt + firstToken;
      return {
        work: workOf(arrival.promptTokens, answerTokens),
        answerTokens,
        cacheTokens: arrival.promptTokens + answerTokens,
        serviceTime,
        startBy: Math.min(arrival.deadlineAt - serviceTime, firstTokenDueAt),
      };
    },
    recordAnswer: (job, answerTokens) => {
      for (const key of [accountKey(job), serviceKey(job)]) {
        const known = statistics.get(key) ?? emptyStatistics();
        statistics.set(key, known);
        known.answerTokens.add(answerTokens);
        if (job.maxTokens !== undefined) {
          known.limitRatio.add((RATIO_SCALE * answerTokens) / Math.max(1, job.maxTokens));
        }
      }
    },
    recordTokenGap: (service, milliseconds) => {
      const known = gaps.get(service) ?? createQuantileSketch(GAP_HALF_LIFE);
      gaps.set(service, known);
      known.add(milliseconds);
    },
  };
}

function emptyStatistics(): AnswerStatistics {
  const sketch = (): QuantileSketch => createQuantileSketch(ANSWER_HALF_LIFE);
  return { answerTokens: sketch(), limitRatio: sketch() };
}

function accountKey({ service, account, lane }: Arrival): string {
  return `${service} ${lane} ${account}`;
}

function serviceKey({ service, lane }: Arrival): string {
  return `${service} ${lane}`;
}
