/**
 * Samples the workers that are compared for a job and chooses the one with the lowest cost; see
 * `placement.ts` for the cost.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";
import { placementCost, sample, sampleSize } from "./placement.ts";
import type { Candidate } from "./placement.ts";
import type { ServicePolicy } from "./policy.ts";
import type { PrefixCacheIndex } from "./prefix_cache_index.ts";
import type { ReclaimRisk } from "./reclaim_risk.ts";
import { fitsMemory, prefillFactor, effectiveLimit } from "./worker_pool.ts";
import type { PoolWorker, ServicePool } from "./worker_pool.ts";

/** The chosen worker. */
export interface WorkerChoice {
  readonly worker: PoolWorker;
  /** Prompt tokens that the worker is expected to compute. */
  readonly uncachedTokens: number;
}

/** The input of the choice. */
export interface WorkerChoiceView {
  readonly now: number;
  readonly random: Random;
  /** Workers that must not get the job. */
  readonly avoid: ReadonlySet<string>;
  readonly service: ServicePool;
  readonly target: ServicePolicy["target"];
  readonly prefixCache: PrefixCacheIndex;
  readonly reclaimRisk: ReclaimRisk;
  /** This entry instance's availability zone. */
  readonly zone: string | undefined;
  /** Workers above this utilization are left out; no limit if not given. */
  readonly maxUtilization: number | undefined;
}

/** Chooses the worker for a job; undefined if none has a free slot. */
export function chooseWorker(job: Job, view: WorkerChoiceView): WorkerChoice | undefined {
  const cached = view.prefixCache.match(job.prefix, view.now);
  const { open, workers } = view.service;
  const randomWorkers = sample(open, { count: sampleSize(open.length), random: view.random });
  const holders = [...cached.keys()].map((id) => workers.get(id));
  const sampled = [...randomWorkers, ...holders].filter((entry) => entry !== undefined);
  const best = cheapest(job, { candidates: sampled, cached, view });
  // Under saturation none of the sampled workers may be able to run this job while another one is.
  return best ?? cheapest(job, { candidates: open, cached, view });
}

function cheapest(
  job: Job,
  options: {
    candidates: readonly PoolWorker[];
    cached: ReadonlyMap<string, number>;
    view: WorkerChoiceView;
  },
): WorkerChoice | undefined {
  const { cached, view } = options;
  let best: WorkerChoice | undefined;
  let minCost = Number.POSITIVE_INFINITY;
  for (const entry of options.candidates) {
    if (!canTake(job, entry, view)) continue;
    const candidate = toCandidate(entry, { job, cached, view });
    const cost = placementCost(job, candidate, view.target);
    if (cost >= minCost) continue;
    best = { worker: entry, uncachedTokens: candidate.uncachedTokens };
    minCost = cost;
  }
  return best;
}

function canTake(job: Job, entry: PoolWorker, view: WorkerChoiceView): boolean {
  if (entry.freeSlots[job.lane] <= 0 || view.avoid.has(entry.worker.id)) return false;
  if (!fitsMemory(entry, job.estimate.cacheTokens)) return false;
  return view.maxUtilization === undefined || utilization(entry, view.now) <= view.maxUtilization;
}

function utilization(entry: PoolWorker, now: number): number {
  return entry.load.load() / Math.max(1, effectiveLimit(entry, now));
}

function toCandidate(
  entry: PoolWorker,
  { job, cached, view }: { job: Job; cached: ReadonlyMap<string, number>; view: WorkerChoiceView },
): Candidate {
  const { worker, machine, loadedModels, price } = entry;
  const cachedFraction = (cached.get(worker.id) ?? 0) * coveredFraction(job);
  return {
    worker: worker.id,
    utilization: utilization(entry, view.now),
    uncachedTokens: job.promptTokens * (1 - cachedFraction) + job.resumedTokens,
    queuedPrefillTokens: entry.queuedPrefillTokens,
    prefillPerSecond: machine.prefillPerSecond / prefillFactor(view.service),
    reclaimRisk: view.reclaimRisk.probability(worker, view.now),
    isModelLoaded: job.model === "" || loadedModels.size === 0 || loadedModels.has(job.model),
    isSameZone: view.zone === undefined || view.zone === worker.zone,
    price: price / Math.max(price, view.service.maxPrice, Number.MIN_VALUE),
  };
}

/** Returns the fraction of the prompt that its list of hashes covers. */
function coveredFraction({ promptTokens, prefixTokens = promptTokens }: Job): number {
  return Math.min(1, prefixTokens / Math.max(1, promptTokens));
}
