/**
 * Computes the expected cost, in milliseconds, of placing a job on a worker.
 *
 * Load: many entry instances choose at the same time from the same late reports. If each took the
 * best worker, all would take the same one, and after the next report all would take another.
 * Symptom: load that moves from worker to worker at the report interval. Therefore an instance
 * compares only a few workers drawn at random, plus those that probably have the prompt's prefix
 * cached: two instances rarely draw the same few. The number drawn grows with the logarithm of the
 * number of workers, and so does the cost of the decision.
 *
 * All terms use one unit, the delay that they cause for this job or the next ones:
 *
 * - load: a convex function of the worker's utilization, small up to half and steep near its limit.
 *   At four fifths it is higher than at one half by a fifth of the first-token target. A cached
 *   prefix therefore attracts work to a worker only while that is cheaper than computing the prefix
 *   elsewhere, and a popular prefix spreads: each further worker then has it cached;
 * - the part of the prompt that must be computed, behind the prompts that are computed before it,
 *   at the speed measured while the batch is busy. Four times slower than on an idle worker is
 *   usual; with the idle speed a cached prefix would seem worth a quarter of its value;
 * - the probability that the worker is reclaimed, times the work that would be computed again. Work
 *   that may not be repeated counts ten times as much, because it can't be computed again;
 * - the load time of a model or adapter that isn't loaded yet;
 * - the distance between availability zones, and the price, which decide between equals.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";
import type { ServicePolicy } from "./policy.ts";

/** A worker that is considered for a job. */
export interface Candidate {
  readonly worker: string;
  /** Jobs on the worker as a fraction of its limit, from 0 to above 1. */
  readonly utilization: number;
  /** Prompt tokens of the job that the worker would have to compute before the first new token. */
  readonly uncachedTokens: number;
  /** Prompt tokens of other jobs that the worker computes first. */
  readonly queuedPrefillTokens: number;
  /** Prompt tokens per second, as measured recently while answers were generated. */
  readonly prefillPerSecond: number;
  /** The probability that the worker is reclaimed before the job ends. */
  readonly reclaimRisk: number;
  readonly isModelLoaded: boolean;
  readonly isSameZone: boolean;
  /** The worker's price as a fraction of the highest price of a worker, from 0 to 1. */
  readonly price: number;
}

/** The load term is this fraction of the first-token target, scaled by utilization. */
const LOAD_COST_FRACTION = 0.1;
/** Keeps the cost of a full worker finite: about twenty times that of a half full one. */
const LOAD_ASYMPTOTE = 1.05;
/** Factor on the reclaim cost of jobs that may not be repeated. */
const NOT_REPEATABLE_FACTOR = 10;
/**
 * Milliseconds. Loading an adapter takes a few seconds; only the component that orders the load
 * knows the exact time.
 */
const MODEL_LOAD_TIME = 5_000;
/** Milliseconds for a round trip between availability zones, at 1.5 ms one way. */
const CROSS_ZONE_ROUND_TRIP = 3;
/** Milliseconds. Decides between workers that are otherwise equal. */
const MAX_PRICE_COST = 10;

/** Returns the expected cost of placing a job on a worker, in milliseconds. */
export function placementCost(
  job: Job,
  candidate: Candidate,
  target: ServicePolicy["target"],
): number {
  const use = Math.min(1, candidate.utilization);
  const load = target.firstToken * LOAD_COST_FRACTION * (use / (LOAD_ASYMPTOTE - use));
  const tokens = candidate.uncachedTokens + candidate.queuedPrefillTokens;
  const prefill = (tokens * 1_000) / candidate.prefillPerSecond;
  return (
    load +
    prefill +
    reclaimCost(job, candidate) +
    (candidate.isModelLoaded ? 0 : MODEL_LOAD_TIME) +
    (candidate.isSameZone ? 0 : CROSS_ZONE_ROUND_TRIP) +
    candidate.price * MAX_PRICE_COST
  );
}

/**
 * Returns the expected cost, in milliseconds, of computing again what is lost if the worker is
 * reclaimed with the answer half done.
 */
function reclaimCost(job: Job, { reclaimRisk, prefillPerSecond }: Candidate): number {
  const tokens = job.promptTokens + job.resumedTokens + job.estimate.answerTokens / 2;
  const recomputeTime = (tokens * 1_000) / prefillPerSecond + job.estimate.serviceTime / 2;
  return reclaimRisk * recomputeTime * (job.repeatable ? 1 : NOT_REPEATABLE_FACTOR);
}

/**
 * Returns how many of `count` workers are compared. Two random choices already give most of the
 * effect of spreading.
 */
export function sampleSize(count: number): number {
  return Math.min(count, 2 + Math.ceil(Math.log2(Math.max(1, count)) / 2));
}

/**
 * Draws distinct elements at random.
 *
 * @param elements The elements to draw from.
 * @param options The number of elements to draw, and the source of randomness.
 */
export function sample<Element>(
  elements: readonly Element[],
  { count, random }: { count: number; random: Random },
): Element[] {
  if (elements.length <= count) return [...elements];
  const drawn = new Set<number>();
  while (drawn.size < count) drawn.add(Math.floor(random.next() * elements.length));
  return [...drawn].map((index) => elements[index] as Element);
}
