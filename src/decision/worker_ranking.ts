/**
 * Ranks the workers for a routed request.
 *
 * Load: long prompts among short questions, sessions that share long prompt prefixes, and many
 * entry instances that choose at the same time. By least outstanding requests alone, a prompt of
 * 12,000 tokens counts the same as a question of 600, and a session's prefix is processed again at
 * every worker that serves it. By the prefix alone, one popular session fills one worker while
 * others are idle. Symptom: late first tokens on some workers only, or prompt tokens that are
 * processed many times.
 *
 * Mechanism: every factor is expressed as a cost in milliseconds for the request, or for the runs
 * next to it:
 *
 * - prompt tokens processed before its first token, both its own and those pending at the worker,
 *   at the engine's prefill rate;
 * - concurrent runs, each of which makes every token of the others slightly later;
 * - runs beyond the engine's slots: the request waits until one of them ends;
 * - the probability that the worker fails the request, times the cost of a failed attempt;
 * - the distance to another availability zone.
 *
 * The times at a worker that is slower or faster than the usual one of its service are multiplied
 * by its slowness, and so is what its runs cost each other.
 *
 * A session's home worker is found by rendezvous hashing over the available workers. All instances
 * find the same one without communication, and a worker that leaves moves only its own sessions.
 * The worker with the second-highest score is a partial home: when the first one is busy, it is the
 * most likely to have the prefix cached, so a popular session spreads over two workers before it
 * spreads further.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { hashText, mixHashes } from "../version/index.ts";

/** One part of a prompt, in order. Requests that begin with the same parts share them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The data about a worker that the ranking uses. */
export interface RankedWorker {
  readonly id: string;
  /** Hash of the ID. */
  readonly hash: number;
  /** Number of runs of all instances at the worker. */
  readonly running: number;
  /** Pending prompt tokens at the worker: those of runs without a first token. */
  readonly unreadTokens: number;
  readonly slots: number;
  /** Probability, from 0 to 1, that the worker fails a run, beyond the usual rate. */
  readonly excessFailureRate: number;
  readonly isSameZone: boolean;
  /** Milliseconds for which the worker is still slow after its start. */
  readonly warmupLeft: number;
  /** Factor by which its times exceed those of a usual worker of the service. */
  readonly slowness: number;
}

/** The data about a request that the ranking uses. */
export interface RankedRequest {
  /** All parts of the prompt; empty if unknown. */
  readonly parts: readonly PromptPart[];
}

/** Typical speeds of a service's workers. */
export interface ServiceTiming {
  /** Prompt tokens processed per millisecond; undefined for services without engines. */
  readonly prefillRate: number | undefined;
  /** Milliseconds for which a run occupies a slot. */
  readonly runTime: number;
}

/**
 * Milliseconds that a concurrent run costs another run: a tenth of a millisecond per step, for a
 * few tens of steps.
 */
const CONCURRENT_RUN_COST = 4;
/**
 * Milliseconds that a failed attempt costs: the time to detect it and another attempt, or the
 * request itself.
 */
const FAILED_ATTEMPT_COST = 3_000;
/**
 * Milliseconds for the round trip to another availability zone. It also breaks ties, because
 * traffic between zones costs money.
 */
const CROSS_ZONE_COST = 3;
/** Fraction of the remaining warm-up time that a request to a worker costs. */
const WARMUP_COST_FACTOR = 0.1;
/** Probabilities that a session's first and second home worker have its shared parts cached. */
const HOME_CACHE_PROBABILITIES = [1, 0.5] as const;

/**
 * Maximum random cost in milliseconds, so that the instances do not all choose the first of several
 * equal workers.
 */
const MAX_JITTER = 2;
/** Hashes have 32 bits. */
const HASH_RANGE = 2 ** 32;

/** A worker and the cost of the request there, in milliseconds. */
export interface RankedChoice<W extends RankedWorker> {
  readonly worker: W;
  readonly cost: number;
  /** Expected milliseconds until the first token. */
  readonly wait: number;
  /** Prompt tokens that the worker would have to process. */
  readonly prefillTokens: number;
}

/** The workers that may have the shared parts of a prompt cached, with the probability of it. */
export type PromptHomes<W> = ReadonlyMap<W, number>;

/**
 * Ranks the workers of a service for one request.
 *
 * @param options `homes` are the home workers of the prompt among all workers; required if
 * `workers` is only a sample.
 * @returns The workers in ascending order of cost.
 */
export function rankWorkers<W extends RankedWorker>(
  workers: readonly W[],
  options: {
    request: RankedRequest;
    speed: ServiceTiming;
    random: Random;
    homes?: PromptHomes<W>;
  },
): RankedChoice<W>[] {
  const { request, speed, random, homes = findHomes(workers, request.parts) } = options;
  const totalTokens = sumTokens(request.parts);
  const sharedTokens = totalTokens - (request.parts.at(-1)?.tokens ?? 0);
  // Draws one random number; each worker's jitter is a hash of it and the worker.
  const seed = Math.floor(random.next() * HASH_RANGE);
  const rankings: RankedChoice<W>[] = [];
  for (const worker of workers) {
    const prefillTokens = totalTokens - sharedTokens * (homes.get(worker) ?? 0);
    const wait = expectedWait(worker, { prefillTokens, speed });
    const cost =
      wait +
      worker.running * CONCURRENT_RUN_COST * worker.slowness +
      worker.excessFailureRate * FAILED_ATTEMPT_COST +
      worker.warmupLeft * WARMUP_COST_FACTOR +
      (mixHashes(worker.hash, seed) / HASH_RANGE) * MAX_JITTER +
      (worker.isSameZone ? 0 : CROSS_ZONE_COST);
    rankings.push({ worker, cost, wait, prefillTokens });
  }
  return rankings.sort((a, b) => a.cost - b.cost);
}

/** Finds the home workers of a prompt. */
export function findHomes<W extends { readonly hash: number }>(
  workers: readonly W[],
  parts: readonly PromptPart[],
): PromptHomes<W> {
  if (parts.length < 2) return new Map();
  // The last part belongs to this request alone; all parts before it may be shared.
  const shared = parts.slice(0, -1).map(({ id }) => id);
  const key = hashText(shared.join(","));
  return new Map(
    findHighest(workers, {
      count: HOME_CACHE_PROBABILITIES.length,
      scoreOf: ({ hash }) => mixHashes(hash, key),
    }).map((worker, index) => [worker, HOME_CACHE_PROBABILITIES[index] ?? 0]),
  );
}

/**
 * Returns the `count` workers with the highest scores in descending order, which is cheaper than
 * sorting all of them for each request.
 */
function findHighest<W>(
  workers: readonly W[],
  { count, scoreOf }: { count: number; scoreOf: (worker: W) => number },
): W[] {
  const top: { worker: W; score: number }[] = [];
  for (const worker of workers) {
    const score = scoreOf(worker);
    const index = top.findIndex((other) => score > other.score);
    if (index < 0 && top.length >= count) continue;
    top.splice(index < 0 ? top.length : index, 0, { worker, score });
    if (top.length > count) top.pop();
  }
  return top.map(({ worker }) => worker);
}

function expectedWait(
  { running, slots, unreadTokens, slowness }: RankedWorker,
  { prefillTokens, speed }: { prefillTokens: number; speed: ServiceTiming },
): number {
  const prefillWait =
    speed.prefillRate === undefined ? 0 : (unreadTokens + prefillTokens) / speed.prefillRate;
  const excessRuns = running + 1 - slots;
  const slotWait = excessRuns > 0 ? (excessRuns * speed.runTime) / slots : 0;
  return (prefillWait + slotWait) * slowness;
}

/** Returns the number of tokens of a whole prompt. */
export function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((total, { tokens }) => total + tokens, 0);
}
