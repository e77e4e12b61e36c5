/**
 * Where a job goes: everything that speaks for or against a worker, as expected milliseconds.
 *
 * Load that it answers: many entry instances choose at the same time from the same late reports. If each
 * takes the best worker, all take the same one, and after the next report all take another. One would
 * notice load that swings from worker to worker in the rhythm of the reports. So an instance compares only
 * a few workers drawn at random, with those that probably hold the prompt's prefix: two instances rarely
 * draw the same few. The number drawn grows with the logarithm of the workers, and so does the cost.
 *
 * All reasons are put in one unit, the delay that they cost this job or the next ones:
 *
 * - load: a convex price of the worker's use, small until it is half full and steep near its limit. Near
 *   four fifths it comes to a fifth of the first token's target more than at one half; so a cached prefix
 *   may draw work onto a worker only while that stays cheaper than computing the prefix elsewhere, and a
 *   prefix that becomes hot spreads by itself: each worker it spills onto holds it next;
 * - the part of the prompt that must be computed there, behind the prompts that are computed before it, at
 *   the speed that was measured while the batch is busy: four times slower than alone is usual, and with
 *   the idle speed a cached prefix would seem worth a quarter of what it is;
 * - the chance that the worker is taken, times what would be computed recomputeTime; work that may not be repeated
 *   counts ten times as much, because it can't be computed recomputeTime;
 * - a model or adapter that isn't loaded yet;
 * - distance between availability zones, and price, which decide between equals.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";
import type { ServicePolicy } from "./policy.ts";

/** A worker as the placement sees it. */
export interface Candidate {
  readonly worker: string;
  /** Jobs there, as a part of its limit, from 0 to 1 and above. */
  readonly utilization: number;
  /** Tokens of the job that it would have to compute before the first new one. */
  readonly uncachedTokens: number;
  /** Prompt tokens of other jobs that it computes first. */
  readonly queuedPrefillTokens: number;
  /** Prompt tokens a second, as they were lately while answers were being generated. */
  readonly prefillPerSecond: number;
  /** The chance that it is taken before the job ends. */
  readonly reclaimRisk: number;
  readonly isModelLoaded: boolean;
  readonly isSameZone: boolean;
  /** Its price as a part of the dearest worker's, from 0 to 1. */
  readonly price: number;
}

/** The first token's target is spent on waiting for a place in the batch in these parts. */
const LOAD_COST_FRACTION = 0.1;
/** Keeps the price of a full worker finite: twenty times that of a half full one. */
const LOAD_ASYMPTOTE = 1.05;
const NOT_REPEATABLE_FACTOR = 10;
/** Loading an adapter takes a few seconds; the true time is seen only by whoever orders it. */
const MODEL_LOAD_TIME = 5_000;
/** There and back between availability zones, at 1.5 ms one way. */
const CROSS_ZONE_ROUND_TRIP = 3;
/** Decides between workers that are as good otherwise. */
const MAX_PRICE_COST = 10;

/** The expected cost of putting a job on a worker, in milliseconds. */
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

/** What would be computed recomputeTime if the worker is taken with the answer half done. */
function reclaimCost(job: Job, { reclaimRisk, prefillPerSecond }: Candidate): number {
  const tokens = job.promptTokens + job.resumedTokens + job.estimate.answerTokens / 2;
  const recomputeTime = (tokens * 1_000) / prefillPerSecond + job.estimate.serviceTime / 2;
  return reclaimRisk * recomputeTime * (job.repeatable ? 1 : NOT_REPEATABLE_FACTOR);
}

/** How many workers are compared, out of `count`: two choices do most of the work of spreading. */
export function sampleSize(count: number): number {
  return Math.min(count, 2 + Math.ceil(Math.log2(Math.max(1, count)) / 2));
}

/**
 * Draws different elements at random.
 *
 * @param elements What to draw from.
 * @param count How many to draw.
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
