/**
 * Decides which accounts' requests are refused first while a service is overloaded.
 *
 * Load: one account sends many times its usual load to a service that others share, or all accounts
 * together send more than the service can do. If requests are accepted by the expected wait alone,
 * each account is served in proportion to what it sends. Symptom: an account that has sent the same
 * few requests as always is refused because of another one, and callers that retry at once are
 * served better than those that wait.
 *
 * Mechanism: each account's recent work at each service, asked for and begun, is added up over all
 * instances, since an instance of a large fleet sees a request of an account only every few
 * seconds. While a service is under pressure, its capacity is divided by weighted max-min fairness.
 * Of the requests of an account that asks for more than its share, every instance accepts the same
 * part, so that what all of them accept is the share. A limit on the queue alone is not enough: the
 * queues that an instance knows are some hundred milliseconds old, and callers that retry at once
 * fill them in that time. An account above its share also accepts a shorter queue than usual, an
 * account far below its share a longer one.
 *
 * The capacity is the work begun, averaged while the workers have queues. While workers are idle it is
 * raised, so refusals can't reduce it to less than the service can do. The accepted part also grows
 * while the queues are short, and shrinks while they take up much of the shortest target of the
 * service's routes, so that the other accounts find queues that they accept.
 *
 * Refused callers are told when the account's share has room for them: after what was refused
 * before. Those that return have precedence over new requests of their account; otherwise they would
 * be refused again.
 *
 * Only ratios matter: the counts of a partitioned instance are smaller by the same factor for
 * the accounts and for the capacity, so it divides its own part of the capacity.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { divideFairly } from "./fair_shares.ts";
import type { CountKey, SharedCounts } from "./shared_counts.ts";
import { capacityAfter, queueMargin } from "./share_capacity.ts";
import { asksForMore, createDividedService, demandOf, keysOf } from "./share_service.ts";
import type { DividedService, ShareAccount, ShareMember, ShareService } from "./share_service.ts";
import { sum } from "./sum.ts";
import { MAX_SHARE_FACTOR } from "./worker_offer.ts";
import type { RankedWorker, ServiceTiming } from "./worker_ranking.ts";

/** Where a request belongs. */
export interface ShareRequest {
  readonly service: string;
  /** Name of the account; undefined for requests without one, which share one account of weight 1. */
  readonly account: string | undefined;
}

/** What becomes of a request when workers are chosen for it. */
export interface ShareOutcome extends ShareRequest {
  /** Expected work in milliseconds of worker time. */
  readonly work: number;
  /** Whether its caller was refused before. */
  readonly isReturn: boolean;
  /** Expected wait in milliseconds at the best worker, without the processing of its own prompt. */
  readonly queue: number;
  /** Whether it is sent to a worker. */
  readonly isBegun: boolean;
  /** Whether its expected wait exceeds what its account accepts, or it is refused because of the share. */
  readonly isOverLimit: boolean;
}

/** The position of an account at a service under pressure. */
export interface ShareStanding {
  /** Factor on the queue that a request accepts; below 1 if the account is above its share. */
  readonly factor: number;
  /** Fraction of the service's capacity that the account may have. */
  readonly share: number;
  /** Fraction of the service's capacity that the account has. */
  readonly use: number;
}

/** An account's share of a service, for operators. */
export interface ShareStatus {
  readonly service: string;
  /** Empty for requests without an account. */
  readonly account: string;
  readonly weight: number;
  readonly reservedShare: number;
  /** Fraction of the service's capacity that the account may have while the service is under pressure. */
  readonly share: number;
  /** Fraction of the service's capacity that the account has. */
  readonly use: number;
  /** Whether the service is under pressure. */
  readonly isUnderPressure: boolean;
  /** Number of requests that this instance has refused because of the share. */
  readonly refused: number;
}

/** The shares of all accounts, as enforced by one instance. Times are in milliseconds of the clock. */
export interface AccountShares {
  /** Whether any account has a weight or a reserved share. If not, nothing is counted. */
  readonly isActive: boolean;
  /** Replaces the services and accounts. */
  configure(services: readonly ShareService[], accounts: readonly ShareAccount[]): void;
  /** Records a request for which workers were chosen. */
  record(outcome: ShareOutcome, now: number): void;
  /** Returns an account's standing; undefined if its requests are accepted as usual. */
  standing(
    request: ShareRequest & { readonly isReturn: boolean },
    now: number,
  ): ShareStanding | undefined;
  /**
   * Whether a request of an account with a standing belongs to the part that is accepted.
   *
   * @param attempt `isReturn` is whether its caller was refused before.
   */
  accepts(request: ShareRequest, attempt: { readonly isReturn: boolean }): boolean;
  /** Counts a refusal because of the share. Returns the milliseconds after which the caller may return. */
  refuse(
    request: ShareRequest,
    attempt: { readonly work: number; readonly isReturn: boolean },
    now: number,
  ): number;
  /**
   * Returns the shares of the accounts that have used a service recently, were refused, or have a weight other than 1 or
   * a reserved share.
   */
  statuses(now: number): ShareStatus[];
}

/**
 * Milliseconds after which work counts half. Callers measure an account's service over a few
 * seconds, and the counts of other instances are up to two seconds late.
 */
const HALF_LIFE = 1_500;
/** Milliseconds of a decaying sum at a constant rate, per unit of the rate. */
const MEMORY = HALF_LIFE / Math.LN2;
/**
 * Milliseconds of worker time per unit in messages. It is larger than the work of most requests, so that the totals of
 * accounts with little traffic seldom change and take little space in messages. 2^32 units are 68 years of a worker.
 */
const WORK_COUNTS = { halfLife: HALF_LIFE, unit: 500 };
const REQUEST_COUNTS = { halfLife: HALF_LIFE, unit: 1 };
/**
 * A service is under pressure if more than this fraction of its requests can't start in time. Below
 * it, each account is served as well as a small account must be in an overload.
 */
const PRESSURE_FRACTION = 0.05;
/** Milliseconds for which a division of the capacity is used; short compared to its inputs' delay. */
const DIVISION_INTERVAL = 100;
/** Fractions of its share between which the queue that an account accepts grows from the usual to the longest. */
const BELOW_SHARE = 0.7;
const SMALL_SHARE = 0.35;
/**
 * Number of times that the factor is halved if the use is twice the share. The requests of an account that is a tenth
 * above its share must be refused clearly before those of others, since these may lose no more than a tenth.
 */
const HALVINGS_PER_SHARE = 10;
/** Minimum factor. It must be so small that a route with a long target yields to one with a short target. */
const MIN_FACTOR = 0.05;
/** Change of the accepted work per queue margin of one shortest target, as a fraction of the capacity. */
const QUEUE_GAIN = 0.8;
/** Milliseconds over which the observed queue is averaged. */
const QUEUE_MEMORY = 400;
/** Milliseconds for which an observation counts at least, so that many at the same time aren't ignored. */
const MIN_OBSERVATION_AGE = 20;
/** Factor on the part for returning callers, since more may return in one second than in another. */
const RETURN_TOLERANCE = 1.5;
/** Minimum factor for returning callers while they return as told: a second refusal costs more than a longer queue. */
const RETURN_FACTOR = 1.25;
/** Fraction of the share at which refused callers are told to return; the rest is for errors and new requests. */
const RETURN_PACE = 0.8;
/**
 * Bounds of the time after which a refused caller may return, in milliseconds: the queues must have changed, and a
 * longer time is of no use to callers with deadlines.
 */
const MIN_RETURN_TIME = 150;
const MAX_RETURN_TIME = 60_000;
/** An account with this fraction of the demand competes with no other. */
const SOLE_ACCOUNT_FRACTION = 0.99;

/** Returns the expected work of a request at a worker, in milliseconds of worker time. */
export function expectedWork(
  { slots, slowness }: Pick<RankedWorker, "slots" | "slowness">,
  { prefillTokens, timing }: { prefillTokens: number; timing: ServiceTiming },
): number {
  return (processingTime(prefillTokens, timing) + timing.runTime / Math.max(1, slots)) * slowness;
}

/**
 * Returns the time in which a usual worker processes the prompt of a request, in milliseconds; 0 for
 * services without engines.
 */
export function processingTime(prefillTokens: number, { prefillRate }: ServiceTiming): number {
  return prefillRate === undefined ? 0 : prefillTokens / prefillRate;
}

/** Dependencies of {@linkcode createAccountShares}. */
export interface AccountSharesParts {
  readonly counts: SharedCounts;
  readonly random: Random;
  /** Returns the number of all instances. */
  readonly instanceCount: () => number;
}

/** Creates shares without accounts. */
export function createAccountShares({
  counts,
  random,
  instanceCount,
}: AccountSharesParts): AccountShares {
  let services: ReadonlyMap<string, DividedService> = new Map();
  const divide = (service: DividedService, now: number): void => {
    const elapsed = now - service.dividedAt;
    if (elapsed < DIVISION_INTERVAL) return;
    service.dividedAt = now;
    const requests = counts.recent(service.pressureKey, now);
    const wasUnderPressure = service.isUnderPressure;
    service.isUnderPressure = requests.base > requests.value * PRESSURE_FRACTION;
    const members = [...service.members.values()];
    for (const member of members) {
      const { value, base } = counts.recent(member.key, now);
      member.use = base;
      member.returnDemand = Math.min(value, counts.recent(member.returnKey, now).value);
      member.newDemand = value - member.returnDemand;
    }
    service.use = sum(members.map(({ use }) => use));
    service.demand = sum(members.map(demandOf));
    service.capacity =
      service.isUnderPressure && wasUnderPressure ? capacityAfter(service, elapsed) : service.use;
    const claims = members.map((member) => ({
      demand: demandOf(member),
      weight: member.weight,
      reserved: member.reservedShare * service.capacity,
    }));
    const shares = divideFairly(claims, service.capacity);
    service.contested = 0;
    members.forEach((member, index) => {
      member.share = shares[index] ?? 0;
      if (asksForMore(member)) service.contested += member.share;
      member.ownDemand *= 2 ** (-elapsed / HALF_LIFE);
      if (!service.isUnderPressure) member.nextRoomAt = now;
    });
  };
  /** Counts from a random part of a unit. Otherwise instances that see little would all report nothing at first. */
  const startCount = (key: CountKey): void => {
    const part = random.next() * WORK_COUNTS.unit;
    counts.track(key, WORK_COUNTS);
    counts.add(key, { value: part, base: part }, 0);
  };
  const find = ({ service: name, account = "" }: ShareRequest) => {
    const service = services.get(name);
    const member = service?.members.get(account);
    return service === undefined || member === undefined ? undefined : { service, member };
  };
  return {
    get isActive() {
      return services.size > 0;
    },
    configure: (configured, accounts) => {
      const before = keysOf(services);
      const isUsed = accounts.some(
        ({ weight, reservedShare }) => weight !== undefined || reservedShare !== undefined,
      );
      const previous = services;
      services = new Map(
        (isUsed ? configured : []).map((service) => [
          service.name,
          createDividedService(service, accounts, previous.get(service.name)),
        ]),
      );
      const after = keysOf(services);
      counts.retainKeys((key) => !before.has(key) || after.has(key));
      for (const { pressureKey, members } of services.values()) {
        counts.track(pressureKey, REQUEST_COUNTS);
        for (const { key, returnKey } of members.values())
          for (const workKey of [key, returnKey]) if (!before.has(workKey)) startCount(workKey);
      }
    },
    record: ({ work, isReturn, queue, isBegun, isOverLimit, ...request }, now) => {
      const found = find(request);
      if (found === undefined) return;
      const { member, service } = found;
      member.ownDemand += work;
      counts.add(member.key, { value: work, base: isBegun ? work : 0 }, now);
      if (isReturn) counts.add(member.returnKey, { value: work, base: 0 }, now);
      const age = Math.max(now - service.observedAt, MIN_OBSERVATION_AGE);
      const weight = 1 - Math.exp(-age / QUEUE_MEMORY);
      service.queue += (queue - service.queue) * weight;
      service.observedAt = now;
      counts.add(service.pressureKey, { value: 1, base: isOverLimit ? 1 : 0 }, now);
    },
    standing: ({ isReturn, ...request }, now) => {
      const found = find(request);
      if (found === undefined) return undefined;
      const { service, member } = found;
      divide(service, now);
      if (!service.isUnderPressure || demandOf(member) >= service.demand * SOLE_ACCOUNT_FRACTION)
        return undefined;
      const { share } = member;
      const use = counts.recent(member.key, now).base;
      const factor = shareFactor(use / Math.max(share, Number.MIN_VALUE));
      const isAsTold = isReturn && returnsAsTold(member);
      return {
        factor: isAsTold ? Math.max(factor, RETURN_FACTOR) : factor,
        share: share / service.capacity,
        use: use / service.capacity,
      };
    },
    accepts: (request, { isReturn }) => {
      const found = find(request);
      if (found === undefined) return true;
      const { service, member } = found;
      const { share, newDemand, returnDemand } = member;
      if (!asksForMore(member)) return true;
      const change = service.capacity * QUEUE_GAIN * queueMargin(service);
      const room = share * Math.max(0, 1 + change / Math.max(service.contested, 1));
      const chance = isReturn
        ? (room * RETURN_TOLERANCE) / returnDemand
        : (room - returnDemand) / newDemand;
      return !(chance < 1) || random.next() < chance;
    },
    refuse: (request, { work, isReturn }, now) => {
      const member = find(request)?.member;
      if (member === undefined) return MIN_RETURN_TIME;
      member.refused++;
      const use = counts.recent(member.key, now).base;
      const decay = use > member.share ? HALF_LIFE * Math.log2(use / member.share) : 0;
      const from = Math.max(member.nextRoomAt, now + Math.min(decay, MAX_RETURN_TIME));
      const needed = timeOfWork(member, { work, instances: instanceCount() });
      // A returning request had its turn already. A caller that retries at once must not delay the others.
      if (!isReturn) member.nextRoomAt = Math.min(from + needed, now + MAX_RETURN_TIME);
      // Each instance of a large fleet refuses only a few requests, which must not return at the same time.
      const time = from - now + needed * random.next();
      return Math.round(Math.min(MAX_RETURN_TIME, Math.max(MIN_RETURN_TIME, time)));
    },
    statuses: (now) =>
      [...services].flatMap(([service, state]) => {
        divide(state, now);
        const { capacity, isUnderPressure, members } = state;
        const fraction = (amount: number): number => (capacity === 0 ? 0 : amount / capacity);
        return [...members.values()]
          .filter(isShown)
          .map(({ account, weight, reservedShare, share, use, refused }) => ({
            service,
            account,
            weight,
            reservedShare,
            share: fraction(share),
            use: fraction(use),
            isUnderPressure,
            refused,
          }));
      }),
  };
}

/** Whether operators are shown the account: it is configured for the division, or has taken part in it. */
function isShown({ weight, reservedShare, use, refused }: ShareMember): boolean {
  return weight !== 1 || reservedShare > 0 || use >= 1 || refused > 0;
}

/** Whether refused callers return at the rate at which they were told to, about that of the share. */
function returnsAsTold({ share, returnDemand }: ShareMember): boolean {
  return returnDemand <= share * RETURN_TOLERANCE;
}

/** Returns the factor on the queue that a request accepts, by its account's use relative to its share. */
function shareFactor(ratio: number): number {
  if (ratio > 1) return Math.max(MIN_FACTOR, 2 ** ((1 - ratio) * HALVINGS_PER_SHARE));
  const unused = (BELOW_SHARE - ratio) / (BELOW_SHARE - SMALL_SHARE);
  return 1 + Math.max(0, Math.min(1, unused)) * (MAX_SHARE_FACTOR - 1);
}

/**
 * Returns the milliseconds in which the account's share has room for the work, if each instance tells its own callers
 * to return at its own part of the rate.
 */
function timeOfWork(
  { share, ownDemand, newDemand, returnDemand }: ShareMember,
  { work, instances }: { work: number; instances: number },
): number {
  // Without the refused request itself, since an instance that sees few is asked only when it sees one.
  const before = Math.max(0, ownDemand - work);
  const ownPart = before / Math.max(before, newDemand + returnDemand, Number.MIN_VALUE);
  // An instance of a large fleet sees too few requests of the account to know its part from them alone.
  const part = (ownPart + 1 / instances) / 2;
  return (work * MEMORY) / Math.max(share * part * RETURN_PACE, work / MAX_RETURN_TIME);
}
