import { expectedWork, isOverLimit, processingTime } from "../decision/index.ts";
import type { RankedChoice, ShareStanding, WorkerOffer } from "../decision/index.ts";
import type { PlacementRequest, WorkerChoice } from "./placement_request.ts";
import type { CandidateWorker, DecisionFields, RoutedContext } from "./routed_context.ts";

/** The part that a request has in the division of its service among the accounts. */
export interface ServiceDivision {
  /** Whether the request isn't in the part of its account's requests that is accepted. */
  readonly isRefused: boolean;
  /** Whether the account is above its share, so that its requests accept a shorter queue. */
  readonly isOverShare: boolean;
  offerFields(
    choice: RankedChoice<CandidateWorker>,
  ): Pick<WorkerOffer, "shareFactor" | "processingTime">;
  /** Records that the request was offered to workers, or refused for another reason than the share. */
  record(
    choice: RankedChoice<CandidateWorker>,
    decision: { readonly offer: WorkerOffer; readonly isBegun: boolean },
  ): void;
  /** Records that the request is refused because of the share. */
  refuse(
    choice: RankedChoice<CandidateWorker>,
    offer: WorkerOffer,
  ): Extract<WorkerChoice, { kind: "over-share" }>;
}

/** Returns the division of the service; undefined if no account has a weight or a reserved share. */
export function divideService(
  { shares, workerLoads, clock }: Pick<RoutedContext, "shares" | "workerLoads" | "clock">,
  { arrival, service, tried, version }: PlacementRequest,
): ServiceDivision | undefined {
  if (!shares.isActive) return undefined;
  const now = clock.now();
  const timing = workerLoads.timing(service);
  const target = { service: service.name, account: arrival.account?.name };
  const isReturn = arrival.isRetry;
  // A request that has run, if only in part, is never refused because of a share.
  const hasRun = tried.size > 0 || version !== undefined || arrival.resumption !== undefined;
  const standing = hasRun ? undefined : shares.standing({ ...target, isReturn }, now);
  const workOf = ({ worker, prefillTokens }: RankedChoice<CandidateWorker>): number =>
    expectedWork(worker, { prefillTokens, timing });
  const ownTime = ({ worker, prefillTokens }: RankedChoice<CandidateWorker>): number =>
    processingTime(prefillTokens, timing) * worker.slowness;
  const record = (
    choice: RankedChoice<CandidateWorker>,
    outcome: { readonly isBegun: boolean; readonly isOverLimit: boolean },
  ): void => {
    const queue = Math.max(0, choice.wait - ownTime(choice));
    shares.record({ ...target, ...outcome, work: workOf(choice), isReturn, queue }, now);
  };
  return {
    isRefused: standing !== undefined && !shares.accepts(target, { isReturn }),
    isOverShare: standing !== undefined && standing.factor < 1,
    offerFields: (choice) =>
      standing === undefined
        ? {}
        : { shareFactor: standing.factor, processingTime: ownTime(choice) },
    record: (choice, { offer, isBegun }) =>
      record(choice, { isBegun, isOverLimit: isOverLimit(offer) }),
    refuse: (choice, offer) => {
      record(choice, { isBegun: false, isOverLimit: true });
      return {
        kind: "over-share",
        retryAfter: shares.refuse(target, { work: workOf(choice), isReturn }, now),
        fields: { ...target, ...describeStanding(standing), ...describeOffer(offer) },
      };
    },
  };
}

function describeStanding(standing: ShareStanding | undefined): DecisionFields {
  if (standing === undefined) return {};
  return { share: roundFraction(standing.share), use: roundFraction(standing.use) };
}

function describeOffer({
  expectedFirstToken,
  firstTokenTarget,
  priorityRank,
  isRetry,
}: WorkerOffer): DecisionFields {
  return {
    wait: Math.round(expectedFirstToken),
    target: firstTokenTarget,
    rank: priorityRank,
    isReturn: isRetry,
  };
}

/** Rounds to thousandths. */
function roundFraction(fraction: number): number {
  return Math.round(fraction * 1_000) / 1_000;
}
