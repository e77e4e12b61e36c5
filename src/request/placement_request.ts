import type { RankedChoice, WorkerOffer } from "../decision/index.ts";
import type { RoutedService } from "../version/index.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import type { CandidateWorker, DecisionFields } from "./routed_context.ts";

/** The result of choosing workers for a request. */
export type WorkerChoice =
  /** No worker accepts requests, or all that do were already tried. */
  | { readonly kind: "none" }
  /** No worker is expected to start the request in time. */
  | {
      readonly kind: "overloaded";
      readonly offer: WorkerOffer;
      /** The worker with the lowest cost. */
      readonly best: CandidateWorker;
      /** Milliseconds that a run at a usual worker is expected to take. */
      readonly runTime: number;
      readonly candidates: number;
    }
  /** The service is overloaded, and the account has reached its share of it. */
  | {
      readonly kind: "over-share";
      /** Milliseconds after which the share has room for the request. */
      readonly retryAfter: number;
      /** What the decision was based on. */
      readonly fields: DecisionFields;
    }
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
  /** Ids of the workers that don't get it now for another reason; none by default. */
  readonly avoided?: ReadonlySet<string>;
  /** The only version of workers that may get the request; undefined if any may. */
  readonly version: string | undefined;
}

/** Whether a worker may get a request: it was not tried for it and has the only version that may get it, if there is one. */
export function isEligible(
  { id, version: workerVersion }: Pick<CandidateWorker, "id" | "version">,
  { tried, avoided, version }: Pick<PlacementRequest, "tried" | "avoided" | "version">,
): boolean {
  if (tried.has(id) || avoided?.has(id) === true) return false;
  return version === undefined || workerVersion === version;
}
