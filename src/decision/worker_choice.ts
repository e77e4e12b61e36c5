/**
 * Draws the workers that a job is compared on, and takes the best: see `placement.ts` for the reasons.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import type { Job } from "./job.ts";
import { placementCost, sample, sampleSize } from "./placement.ts";
import type { Candidate } from "./placement.ts";
import type { ServicePolicy } from "./policy.ts";
import type { PrefixBelief } from "./prefix_belief.ts";
import type { ReclaimRisk } from "./reclaim_risk.ts";
import { fitsMemory, prefillFactor, usableLimit } from "./worker_pool.ts";
import type { PoolWorker, ServicePool } from "./worker_pool.ts";

/** The worker that was chosen. */
export interface Choice {
  readonly worker: PoolWorker;
  /** Prompt tokens that it is expected to compute. */
  readonly computes: number;
}

/** What the choice is made from. */
export interface ChoiceView {
  readonly now: number;
  readonly random: Random;
  readonly avoid: ReadonlySet<string>;
  readonly service: ServicePool;
  readonly target: ServicePolicy["target"];
  readonly belief: PrefixBelief;
  readonly risk: ReclaimRisk;
  /** This entry instance's availability zone. */
  readonly zone: string | undefined;
  /** Workers used beyond this part of their limit are left out; 1 and above where not given. */
  readonly greatestUse: number | undefined;
}

/** Chooses the worker for a job; undefined where none has room. */
export function chooseWorker(job: Job, view: ChoiceView): Choice | undefined {
  const cached = view.belief.match(job.prefix, view.now);
  const { open, workers } = view.service;
  const drawn = sample(open, { count: sampleSize(open.length), random: view.random });
  const holders = [...cached.keys()].map((id) => workers.get(id));
  const few = [...drawn, ...holders].filter((entry) => entry !== undefined);
  const best = cheapest(job, { candidates: few, cached, view });
  // Under saturation the few that were drawn may all be unfit for this job while another one isn't.
  return best ?? cheapest(job, { candidates: open, cached, view });
}

function cheapest(
  job: Job,
  options: {
    candidates: readonly PoolWorker[];
    cached: ReadonlyMap<string, number>;
    view: ChoiceView;
  },
): Choice | undefined {
  const { cached, view } = options;
  let best: Choice | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const entry of options.candidates) {
    if (!isFit(job, entry, view)) continue;
    const candidate = candidateOf(entry, { job, cached, view });
    const cost = placementCost(job, candidate, view.target);
    if (cost >= least) continue;
    best = { worker: entry, computes: candidate.computes };
    least = cost;
  }
  return best;
}

function isFit(job: Job, entry: PoolWorker, view: ChoiceView): boolean {
  if (entry.room[job.lane] <= 0 || view.avoid.has(entry.worker.id)) return false;
  if (!fitsMemory(entry, job.estimate.cacheTokens)) return false;
  return view.greatestUse === undefined || useOf(entry, view.now) <= view.greatestUse;
}

function useOf(entry: PoolWorker, now: number): number {
  return entry.load.load() / Math.max(1, usableLimit(entry, now));
}

function candidateOf(
  entry: PoolWorker,
  { job, cached, view }: { job: Job; cached: ReadonlyMap<string, number>; view: ChoiceView },
): Candidate {
  const { worker, machine, loaded, price } = entry;
  const known = (cached.get(worker.id) ?? 0) * coveredPart(job);
  return {
    worker: worker.id,
    use: useOf(entry, view.now),
    computes: job.promptTokens * (1 - known) + job.resumedTokens,
    prefillAhead: entry.prefillAhead,
    prefillPerSecond: machine.prefillPerSecond / prefillFactor(view.service),
    risk: view.risk.chance(worker, view.now),
    modelLoaded: job.model === "" || loaded.size === 0 || loaded.has(job.model),
    sameZone: view.zone === undefined || view.zone === worker.zone,
    price: price / Math.max(price, view.service.dearest, Number.MIN_VALUE),
  };
}

/** The part of the prompt that its list of hashes covers. */
function coveredPart({ promptTokens, prefixTokens = promptTokens }: Job): number {
  return Math.min(1, prefixTokens / Math.max(1, promptTokens));
}
