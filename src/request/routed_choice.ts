import { isWorthOffering, rankWorkers } from "../decision/index.ts";
import type { Offer, PromptHomes, Ranking } from "../decision/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { BoardWorker, RoutedContext } from "./routed_context.ts";

/** The result of choosing workers for a request. */
export type WorkerChoice =
  /** No worker that accepts requests is left that hasn't had this one. */
  | { readonly kind: "none" }
  /** No worker is expected to start the request in time. */
  | { readonly kind: "overloaded"; readonly offer: Offer; readonly candidates: number }
  | {
      readonly kind: "ranked";
      /** Yields workers in the order in which to try them, until one has a free connection. */
      inTurn(): Generator<Ranking<BoardWorker>>;
    };

/** A request that needs a worker. */
export interface ChoosingRequest {
  readonly arrival: RoutedArrival;
  readonly service: RoutedService;
  /** Ids of the workers that have already had the request. */
  readonly tried: ReadonlySet<string>;
}

/** Chooses the workers to which a request is offered. */
export function chooseWorkers(
  { board, clock, random }: Pick<RoutedContext, "board" | "clock" | "random">,
  { arrival, service, tried }: ChoosingRequest,
): WorkerChoice {
  const left = arrival.deadlineAt - clock.now();
  const rank = (
    workers: readonly BoardWorker[],
    homes?: PromptHomes<BoardWorker>,
  ): Ranking<BoardWorker>[] =>
    rankWorkers(
      workers.filter(({ id }) => !tried.has(id)),
      {
        request: { parts: arrival.promptParts },
        speed: board.speed(service),
        random,
        ...(homes === undefined ? {} : { homes }),
      },
    );
  const offerOf = (choice: Ranking<BoardWorker> | undefined): Offer => ({
    wait: choice?.wait ?? 0,
    target: arrival.route.target,
    left,
    rank: arrival.rank,
    isReturn: arrival.isReturn || tried.size > 0,
  });
  const compared = board.compared(service, arrival.promptParts);
  const few = rank(compared.workers, compared.homes);
  const isPromising = few.length > 0 && isWorthOffering(offerOf(few[0]));
  // If no worker of the sample is good enough, one of the others may be.
  const ranked = isPromising ? few : rank(board.candidates(service));
  if (ranked.length === 0) return { kind: "none" };
  const offer = offerOf(ranked[0]);
  if (!isWorthOffering(offer)) return { kind: "overloaded", offer, candidates: ranked.length };
  return {
    kind: "ranked",
    *inTurn() {
      yield* ranked;
      // All sampled workers may have as many connections as this instance may open to them.
      if (isPromising) yield* rank(board.candidates(service));
    },
  };
}
