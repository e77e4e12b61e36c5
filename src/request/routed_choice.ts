import { shouldOffer, rankWorkers } from "../decision/index.ts";
import type { WorkerOffer, PromptHomes, RankedChoice } from "../decision/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { CandidateWorker, RoutedContext } from "./routed_context.ts";

/** The result of choosing workers for a request. */
export type WorkerChoice =
  /** No worker accepts requests, or all that do were already tried. */
  | { readonly kind: "none" }
  /** No worker is expected to start the request in time. */
  | { readonly kind: "overloaded"; readonly offer: WorkerOffer; readonly candidates: number }
  | {
      readonly kind: "ranked";
      /** Yields workers in the order in which to try them, until one has a free connection. */
      inOrder(): Generator<RankedChoice<CandidateWorker>>;
    };

/** A request that needs a worker. */
export interface PlacementRequest {
  readonly arrival: RoutedArrival;
  readonly service: RoutedService;
  /** Ids of the workers that were already tried for the request. */
  readonly tried: ReadonlySet<string>;
  /** The only version of workers that may get the request; undefined if any may. */
  readonly version: string | undefined;
}

/** Whether a worker was not tried for a request yet and has the only version that may get it, if there is one. */
export function isUntried(
  worker: Pick<CandidateWorker, "id" | "version">,
  { tried, version }: Pick<PlacementRequest, "tried" | "version">,
): boolean {
  return !tried.has(worker.id) && (version === undefined || worker.version === version);
}

/** Chooses the workers to which a request is offered. */
export function chooseWorkers(
  { workerLoads, clock, random }: Pick<RoutedContext, "workerLoads" | "clock" | "random">,
  placement: PlacementRequest,
): WorkerChoice {
  const { arrival, service, tried } = placement;
  const timeLeft = arrival.deadlineAt - clock.now();
  const rank = (
    workers: readonly CandidateWorker[],
    homes?: PromptHomes<CandidateWorker>,
  ): RankedChoice<CandidateWorker>[] =>
    rankWorkers(
      workers.filter((worker) => isUntried(worker, placement)),
      {
        request: { parts: arrival.promptParts },
        speed: workerLoads.timing(service),
        random,
        ...(homes === undefined ? {} : { homes }),
      },
    );
  const createOffer = (choice: RankedChoice<CandidateWorker> | undefined): WorkerOffer => ({
    expectedFirstToken: choice?.wait ?? 0,
    firstTokenTarget: arrival.route.latencyTarget,
    timeLeft,
    priorityRank: arrival.rank,
    isRetry: arrival.isRetry || tried.size > 0,
  });
  const sample = workerLoads.sample(service, arrival.promptParts);
  const sampled = rank(sample.workers, sample.homes);
  const isSampleUsable = sampled.length > 0 && shouldOffer(createOffer(sampled[0]));
  // If no worker of the sample is expected to start the request in time, another candidate may be.
  const ranked = isSampleUsable ? sampled : rank(workerLoads.candidates(service));
  if (ranked.length === 0) return { kind: "none" };
  const offer = createOffer(ranked[0]);
  if (!shouldOffer(offer)) return { kind: "overloaded", offer, candidates: ranked.length };
  return {
    kind: "ranked",
    *inOrder() {
      yield* ranked;
      // This instance may have reached its maximum number of connections to every sampled worker.
      if (isSampleUsable) yield* rank(workerLoads.candidates(service));
    },
  };
}
