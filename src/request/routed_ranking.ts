import { findHomes, rankWorkers } from "../decision/index.ts";
import type { PromptHomes, RankedChoice } from "../decision/index.ts";
import { isEligible } from "./placement_request.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { CandidateWorker, RoutedContext } from "./routed_context.ts";

/** Workers that are compared for a request at the same time. */
export interface RankingStage {
  /** In ascending order of cost. */
  readonly ranked: readonly RankedChoice<CandidateWorker>[];
  /** Whether they are only those to which prompts like that of the request are sent. */
  readonly isSeparated: boolean;
}

/** Yields the workers to compare for a request. A stage is needed if none of the one before it can start the request in time. */
export function* rankingStages(
  { workerLoads, random }: Pick<RoutedContext, "workerLoads" | "random">,
  placement: PlacementRequest,
): Generator<RankingStage> {
  const { arrival, service } = placement;
  const { promptParts } = arrival;
  const rank = (
    workers: readonly CandidateWorker[],
    homes?: PromptHomes<CandidateWorker>,
  ): readonly RankedChoice<CandidateWorker>[] =>
    rankWorkers(
      workers.filter((worker) => isEligible(worker, placement)),
      {
        request: { parts: promptParts },
        speed: workerLoads.timing(service),
        random,
        ...(homes === undefined ? {} : { homes }),
      },
    );
  const prompt = { route: arrival.route.name, parts: promptParts };
  const sample = workerLoads.sample(service, prompt);
  const isSeparated = sample.part !== undefined;
  yield { ranked: rank(sample.workers, sample.homes), isSeparated };
  if (!isSeparated) {
    yield { ranked: rank(workerLoads.candidates(service)), isSeparated: false };
    return;
  }
  // All instances find the same idle workers of the other part, so that only a sample is compared first.
  const wider = workerLoads.sample(service, { ...prompt, fromAll: true });
  yield { ranked: rank(wider.workers, wider.homes), isSeparated: false };
  const all = workerLoads.candidates(service);
  // Shared parts of the prompt are cached where similar prompts usually go.
  const intended = all.filter(({ part }) => part === sample.part);
  yield { ranked: rank(all, findHomes(intended, promptParts)), isSeparated: false };
}
