import { isWorthOffering, rankWorkers } from "../decision/index.ts";
import type { Offer, PromptHomes, Ranking } from "../decision/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { BoardWorker, RoutedContext } from "./routed_context.ts";

/** Where a request may go next. */
export type WorkerChoice =
  /** No worker takes requests that hasn't had it already. */
  | { readonly kind: "none" }
  /** No worker would begin it in time. */
  | { readonly kind: "overloaded"; readonly offer: Offer; readonly candidates: number }
  | {
      readonly kind: "ranked";
      /** Workers in the order in which they are tried until one has a connection for it. */
      inTurn(): Generator<Ranking<BoardWorker>>;
    };

/** A request that looks for a worker. */
export interface ChoosingRequest {
  readonly arrival: RoutedArrival;
  readonly service: RoutedService;
  /** Workers that have had it already. */
  readonly tried: ReadonlySet<string>;
}

/** Chooses the workers that a request is offered to. */
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
  // Where none of the few that were drawn will do, another one may.
  const ranked = isPromising ? few : rank(board.candidates(service));
  if (ranked.length === 0) return { kind: "none" };
  const offer = offerOf(ranked[0]);
  if (!isWorthOffering(offer)) return { kind: "overloaded", offer, candidates: ranked.length };
  return {
    kind: "ranked",
    *inTurn() {
      yield* ranked;
      // All of the few may have as many connections as this instance may open there.
      if (isPromising) yield* rank(board.candidates(service));
    },
  };
}
