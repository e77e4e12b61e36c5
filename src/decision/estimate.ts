/**
 * Estimates the cost of a request from its prompt and from earlier answers.
 *
 * Load: lookups of 20 tokens and scripts of 2,000 in the same queues. Without estimates all
 * requests count alike: an account that sends long work gets many times the share of one that sends
 * short work, deadlines are accepted that can't be met, and batches run out of KV cache. Symptom:
 * refusals that come too late, and evictions in the engines.
 *
 * Mechanism: the answer length is learned as a quantile per service, account and lane. The 70th
 * percentile is used: for the heavy-tailed lengths of answers (log-normal with a spread of about 1)
 * it lies at the mean, so sums of estimates are right, while one outlier moves it by one rank only.
 * A caller's own limit can only lower the estimate, and only as far as its answers have kept to
 * earlier limits: a caller that states 16 and receives 400 is estimated at 400 after a few answers,
 * and its account is charged the difference.
 *
 * Estimates may be wrong; no guarantee depends on them. Shares are corrected by measured answers,
 * and limits by what the engines do.
 *
 * @module
 */
import type { Arrival, Estimate, Job } from "./job.ts";
import type { Policy } from "./policy.ts";
import { createQuantileSketch } from "./quantile.ts";
import type { QuantileSketch } from "./quantile.ts";
import { machineAverage, targetOf } from "./policy.ts";

/** Estimates the cost of requests and learns from completed ones. */
export interface Estimator {
  /** Replaces the policy; learned statistics are kept. */
  configure(policy: Policy): void;
  /** Estimates the cost of a request. */
  estimate(arrival: Arrival): Estimate;
  /**
   * Returns the tokens of work for the given prompt and answer lengths. Prompt tokens count less,
   * by the ratio of the two speeds of the average machine.
   */
  workOf(promptTokens: number, answerTokens: number): number;
  /** Records the answer length of a completed job. */
  recordAnswer(job: Job, answerTokens: number): void;
  /** Records the milliseconds between two tokens of a service. */
  recordTokenGap(service: string, milliseconds: number): void;
}

/** The 70th percentile lies at the mean of a log-normal distribution with a spread of 1. */
const ANSWER_PERCENTILE = 0.7;
/**
 * Minimum number of an account's answers before its own quantile is used; until then, the quantile
 * of the service is used.
 */
const MIN_ANSWERS = 8;
/** A change in an account's answer lengths has an effect after about this many answers. */
const ANSWER_HALF_LIFE = 200;
/**
 * Used before the first answer: the length at which an error in either direction costs about the
 * same.
 */
const DEFAULT_ANSWER_TOKENS = 256;
/** Number of gaps between tokens after which the weight of a gap has halved. */
const GAP_HALF_LIFE = 2_000;
/** Ratios are stored in hundredths, because the sketch counts values below 1 as 1. */
const RATIO_SCALE = 100;

interface AnswerStatistics {
  readonly answerTokens: QuantileSketch;
  /** Answer lengths in hundredths of the caller's own limit. */
  readonly limitRatio: QuantileSketch;
}

/** Creates an estimator without samples. */
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
    const hasEnoughAnswers = own !== undefined && own.answerTokens.count >= MIN_ANSWERS;
    const source = hasEnoughAnswers ? own : statistics.get(serviceKey(arrival));
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
