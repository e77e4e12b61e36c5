import { hasCapacityFor, shouldOffer } from "../decision/index.ts";
import type { RankedChoice, WorkerOffer } from "../decision/index.ts";
import type { PlacementRequest, WorkerChoice } from "./placement_request.ts";
import type { CandidateWorker, RoutedContext } from "./routed_context.ts";
import { divideService } from "./routed_division.ts";
import { rankingStages } from "./routed_ranking.ts";
import type { RankingStage } from "./routed_ranking.ts";

/** Chooses the workers to which a request is offered. */
export function chooseWorkers(
  context: Pick<RoutedContext, "workerLoads" | "clock" | "random" | "shares">,
  placement: PlacementRequest,
): WorkerChoice {
  const { arrival, tried } = placement;
  const { latencyTarget } = arrival.route;
  const timeLeft = arrival.deadlineAt - context.clock.now();
  const division = divideService(context, placement);
  const createOffer = (choice: RankedChoice<CandidateWorker>): WorkerOffer => ({
    expectedFirstToken: choice.wait,
    firstTokenTarget: latencyTarget,
    timeLeft,
    priorityRank: arrival.rank,
    isRetry: arrival.isRetry || tried.size > 0,
    ...division?.offerFields(choice),
  });
  const isUsable = (best: RankedChoice<CandidateWorker>, { isSeparated }: RankingStage): boolean =>
    shouldOffer(createOffer(best)) &&
    (!isSeparated || hasCapacityFor({ wait: best.wait, target: latencyTarget }));
  const stages = rankingStages(context, placement);
  let ranked: RankingStage["ranked"] = [];
  for (let next = stages.next(); next.done !== true; next = stages.next()) {
    ({ ranked } = next.value);
    const [best] = ranked;
    if (best === undefined) continue;
    if (division?.isRefused === true) return division.refuse(best, createOffer(best));
    if (isUsable(best, next.value)) break;
  }
  const [best] = ranked;
  if (best === undefined) return { kind: "none" };
  const offer = createOffer(best);
  const isOffered = shouldOffer(offer);
  if (!isOffered && division?.isOverShare === true) return division.refuse(best, offer);
  division?.record(best, { offer, isBegun: isOffered });
  if (!isOffered) {
    const { runTime } = context.workerLoads.timing(placement.service);
    return { kind: "overloaded", offer, best: best.worker, runTime, candidates: ranked.length };
  }
  return {
    kind: "ranked",
    *inOrder() {
      yield* ranked;
      // This instance may have reached its maximum number of connections to every worker of a stage.
      for (const { ranked: others } of stages) yield* others;
    },
  };
}
