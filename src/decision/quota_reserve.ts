/**
 * Decides which requests of an account get the rest of its quota, and when refused ones may return.
 *
 * Load: an account sends several times its quota, and the sizes of its requests differ by orders of
 * magnitude. If the order of arrival decides, a few large requests take what dozens of small ones
 * need. Refused callers return at times that nobody has kept free for them, and are refused again.
 * Symptom: most callers of the account get nothing, although each sent its request two or three
 * times.
 *
 * Mechanism: trunk reservation. A request is admitted while the level of the account's bucket is
 * above a threshold that depends on the request:
 * - A request that returns as told may use the whole level.
 * - Other requests leave what is needed for those that return within the next moments.
 * - A request larger than usual also leaves the reserve, or its own size if that is more, and what
 *   smaller ones are expected to need until the next report.
 *
 * Between two reports, all instances see the same level and would admit requests against it several
 * times. While an account is refused, an instance therefore adds a random part of what the others
 * receive in that time, so that all of them together admit about what there is.
 *
 * Not everyone who is refused can be served later: demand above the quota has to remain unserved.
 * Only as many callers are told to return as half of the quota's rate can serve, and none with a
 * large request: nobody knows when smaller ones leave enough for it, and it would take what many
 * others were told to return for. They are chosen at random, because an instance of a large fleet
 * sees too few requests to choose every n-th of them. The others are told no time before their deadline. The
 * other half of the rate goes to new requests. It makes up for the variation of what returns, so
 * that callers who wait as told are served. Callers are expected to wait at most a third of their
 * time (`docs/PLATFORM.md`). One that is told a longer time returns after that third, which
 * distinguishes it from those that return as told.
 *
 * @module
 */
import type { Random } from "../interface/index.ts";
import { hashText, QuotaUnit } from "../version/index.ts";
import type { CountKey, SharedCounts } from "./shared_counts.ts";

/** What a request's deadline shows about its earlier attempts. */
export interface QuotaAttempt {
  /** Whether the request was refused before. */
  readonly isRetry: boolean;
  /** Milliseconds since the caller's first attempt. */
  readonly waited: number;
  /** Milliseconds until the deadline. */
  readonly left: number;
}

/** A request for a part of its account's quota. */
export interface QuotaRequest {
  readonly account: string;
  readonly size: number;
  /** Undefined if nothing is known about it; it is then treated as a first attempt. */
  readonly attempt?: QuotaAttempt | undefined;
  /** Current time, in milliseconds of the clock. */
  readonly now: number;
}

/** The state of an account's bucket. */
export interface QuotaLevel {
  readonly unit: QuotaUnit;
  readonly level: number;
  /** Amount refilled per second. */
  readonly perSecond: number;
  readonly burst: number;
  /** Fraction of the account's requests that other instances receive. */
  readonly elsewhere: number;
}

/** Thresholds and times to return for the requests of all accounts. */
export interface QuotaReserve {
  /** Records an account's level when the account is new, and for each request and report. */
  recordLevel(account: string, bucket: QuotaLevel, now: number): void;
  /** Returns the level above which a request is admitted. */
  threshold(request: QuotaRequest, bucket: QuotaLevel): number;
  /** Returns the amount that large requests leave to smaller ones. */
  reserved(bucket: Pick<QuotaLevel, "perSecond" | "burst">): number;
  /** Records a refused request. Returns the milliseconds after which it may return. */
  refuse(request: QuotaRequest, bucket: QuotaLevel): number;
}

/** Dependencies of {@linkcode createQuotaReserve}. */
export interface QuotaReserveParts {
  /** The reserve, in milliseconds of an account's rate. */
  readonly duration: number;
  readonly counts: SharedCounts;
  readonly random: Random;
}

/** Milliseconds that the report of an admitted request takes to all instances: one interval and its transport. */
const REPORT_DELAY = 300;
/**
 * Minimum milliseconds until a refused request returns. Sooner, the level doesn't show yet what other
 * instances have admitted. Callers that repeat at once return before.
 */
const MIN_RETURN = 275;
/** Maximum milliseconds until a return, for an account whose quota is close to 0. */
const MAX_WAIT = 60_000;
/** Fraction of {@linkcode MIN_RETURN} from which a caller counts as waiting: timers differ a little. */
const RETURN_TOLERANCE = 0.9;
/**
 * Maximum time until a return, as a fraction of the time left. It is less than the third for which
 * callers wait at most, and the difference covers the way of the refusal and of the next attempt.
 */
const MAX_RETURN_FRACTION = 0.25;
/** Fraction of its whole time above which a caller has stopped waiting for the time that it was told. */
const OWN_RETURN_FRACTION = 0.31;
/** Fraction of the rate for requests that return as told. */
const RETURN_SHARE = 0.5;
/**
 * Factor above the usual size from which a request is large. Sizes that differ by half are similar,
 * and none of them has to give way to another.
 */
const LARGE_FACTOR = 1.5;
/**
 * Maximum size of a request that is told to return while the usual size isn't known, as a fraction
 * of the reserve. A larger one might take what several others were told to return for.
 */
const MAX_UNKNOWN_SIZE = 0.25;
/** Number of recent requests that are needed to know the usual size. */
const MIN_REQUESTS = 4;
/** Half-life of the sizes in milliseconds: an account's mixture of requests changes slowly. */
const SIZE_HALF_LIFE = 10_000;
/** Half-life of the refused amounts in milliseconds. Totals of other instances arrive once a second. */
const REFUSED_HALF_LIFE = 2_000;
/** Milliseconds that the total of refused amounts takes to the other instances. */
const TOTAL_DELAY = 1_250;
/**
 * While an overload is new, the refused amount in units of the quota that is assumed at least. A
 * smaller assumption makes more promises than can be kept before the totals are known.
 */
const INITIAL_REFUSED = 4;
/** Fraction of the burst at which a bucket counts as full: an overload has ended. */
const FULL = 0.95;
/** Fraction of the burst above which no threshold is, so that a full bucket admits any request. */
const MAX_THRESHOLD = 0.98;
/** Maximum fraction of the burst that is reserved. */
const MAX_RESERVED = 0.5;
/**
 * Amount per unit of the totals sent to others. A total of tokens must stay below 2^32 units and
 * change only if it matters.
 */
const COUNT_UNITS: Readonly<Record<QuotaUnit, number>> = {
  [QuotaUnit.Tokens]: 100,
  [QuotaUnit.Requests]: 1,
};
const MS_PER_SECOND = 1_000;

/** What is known about an account at this instance. */
interface Account {
  /** Amount per unit of the totals; also what one request counts as. */
  readonly unit: number;
  /** Key of the amount (value) and the number (base, in units) of requests near the limit. */
  readonly sizes: CountKey;
  /** Key of the amounts that were refused first: of all requests (value) and of those not large (base). */
  readonly refused: CountKey;
  /** Time since which the bucket hasn't been full after it was at the reserve; undefined if it is not low. */
  lowSince: number | undefined;
}

/** Refused amounts per second over all instances. */
interface RefusedRates {
  readonly usual: number;
  readonly large: number;
}

/** Creates a reserve for all accounts. */
export function createQuotaReserve({ duration, counts, random }: QuotaReserveParts): QuotaReserve {
  const accounts = new Map<string, Account>();
  const accountOf = (name: string, { unit: quotaUnit }: QuotaLevel, now: number): Account => {
    const known = accounts.get(name);
    if (known !== undefined) return known;
    const unit = COUNT_UNITS[quotaUnit];
    const created: Account = {
      unit,
      sizes: hashText(`quota-sizes:${name}`),
      refused: hashText(`quota-refused:${name}`),
      lowSince: undefined,
    };
    counts.track(created.sizes, { halfLife: SIZE_HALF_LIFE, unit });
    counts.track(created.refused, { halfLife: REFUSED_HALF_LIFE, unit });
    // Others take an instance's first total as a base, so that it must not contain a request.
    for (const key of [created.sizes, created.refused])
      counts.add(key, { value: unit, base: unit }, now);
    accounts.set(name, created);
    return created;
  };
  /** The usual size of an account's requests; undefined while it has sent too few. */
  const usualSize = ({ sizes, unit }: Account, now: number): number | undefined => {
    const { value, base } = counts.recent(sizes, now);
    return base < MIN_REQUESTS * unit ? undefined : (value / base) * unit;
  };
  const reserved: QuotaReserve["reserved"] = ({ perSecond, burst }) =>
    Math.min((perSecond * duration) / MS_PER_SECOND, burst * MAX_RESERVED);
  const isLarge = (account: Account, { size, now }: QuotaRequest): boolean =>
    size > LARGE_FACTOR * (usualSize(account, now) ?? Infinity);
  const refusedRates = ({ refused }: Account, now: number): RefusedRates => {
    const { value, base } = counts.recent(refused, now);
    const factor = (Math.LN2 * MS_PER_SECOND) / REFUSED_HALF_LIFE;
    return { usual: base * factor, large: Math.max(0, value - base) * factor };
  };
  /** The amount per second that returns as told. */
  const returning = ({ usual, large }: RefusedRates, perSecond: number): number =>
    Math.min(perSecond * RETURN_SHARE, usual + large);
  /** What requests that don't return as told leave to those that do. */
  const keptForReturns = (rates: RefusedRates, bucket: QuotaLevel): number => {
    const { perSecond } = bucket;
    const most = Math.max(perSecond * RETURN_SHARE, Number.MIN_VALUE);
    return (reserved(bucket) * returning(rates, perSecond)) / most;
  };
  /** The fraction of refused requests that can be told to return. */
  const returnFraction = (account: Account, request: QuotaRequest, bucket: QuotaLevel): number => {
    const { perSecond } = bucket;
    if (isLarge(account, request)) return 0;
    const isUnknown = usualSize(account, request.now) === undefined;
    if (isUnknown && request.size > reserved(bucket) * MAX_UNKNOWN_SIZE) return 0;
    const { usual } = refusedRates(account, request.now);
    const assumed = isOverloadNew(account, request.now) ? perSecond * INITIAL_REFUSED : 0;
    const available = perSecond * RETURN_SHARE;
    return available / Math.max(usual, assumed, available, Number.MIN_VALUE);
  };
  return {
    reserved,
    recordLevel: (name, bucket, now) => {
      const account = accountOf(name, bucket, now);
      if (bucket.level >= bucket.burst * FULL) account.lowSince = undefined;
      else if (bucket.level <= reserved(bucket)) account.lowSince ??= now;
    },
    threshold: (request, bucket) => {
      const { account: name, size, attempt, now } = request;
      const account = accountOf(name, bucket, now);
      if (account.lowSince !== undefined && attempt?.isRetry !== true)
        counts.add(account.sizes, { value: size, base: account.unit }, now);
      if (returnsAsTold(attempt)) return 0;
      const rates = refusedRates(account, now);
      const kept = keptForReturns(rates, bucket);
      const arriving = (amount: number): number =>
        (amount * bucket.elsewhere * REPORT_DELAY) / MS_PER_SECOND;
      // A second draw would favour callers that repeat at once.
      const others = repeatsAtOnce(attempt) ? 1 : random.next();
      const threshold = isLarge(account, request)
        ? kept +
          Math.max(reserved(bucket), size) +
          arriving(rates.usual) +
          others * arriving(rates.large)
        : kept + others * arriving(rates.usual);
      return Math.min(threshold, bucket.burst * MAX_THRESHOLD);
    },
    refuse: (request, bucket) => {
      const { account: name, size, attempt, now } = request;
      const account = accountOf(name, bucket, now);
      const { isRetry = false, left = Infinity } = attempt ?? {};
      account.lowSince ??= now;
      const fraction = returnFraction(account, request, bucket);
      if (!isRetry)
        counts.add(
          account.refused,
          { value: size, base: isLarge(account, request) ? 0 : size },
          now,
        );
      const { perSecond } = bucket;
      const rate = Math.max(perSecond, Number.MIN_VALUE);
      const isNew = isOverloadNew(account, now);
      const unseen = isNew ? INITIAL_REFUSED * REPORT_DELAY * bucket.elsewhere : 0;
      // The level doesn't show yet what others have admitted since their last reports.
      const refill = REPORT_DELAY * bucket.elsewhere - (bucket.level * MS_PER_SECOND) / rate;
      const own = MIN_RETURN + unseen + Math.max(0, refill);
      // Those that return before this request use `ahead` of the rate until it returns itself.
      const ahead = returning(refusedRates(account, now), perSecond) / rate;
      const wait = Math.min(MAX_WAIT, Math.ceil(own / (1 - (isNew ? RETURN_SHARE : ahead))));
      const canReturn = !isRetry && wait <= left * MAX_RETURN_FRACTION;
      if (canReturn && random.next() < fraction) return wait;
      return left === Infinity ? wait : Math.max(wait, Math.ceil(left));
    },
  };
}

/** Whether the totals of other instances don't show an account's overload yet. */
function isOverloadNew({ lowSince }: Account, now: number): boolean {
  return lowSince !== undefined && now - lowSince < 2 * TOTAL_DELAY;
}

/** Whether a request returns at a time that it was told, and neither at once nor after its own limit. */
function returnsAsTold(attempt: QuotaAttempt | undefined): boolean {
  if (attempt?.isRetry !== true || repeatsAtOnce(attempt)) return false;
  const { waited, left } = attempt;
  return waited <= (waited + left) * OWN_RETURN_FRACTION;
}

/** Whether a caller sends its request again sooner than any is told to return. */
function repeatsAtOnce(attempt: QuotaAttempt | undefined): boolean {
  return attempt?.isRetry === true && attempt.waited < MIN_RETURN * RETURN_TOLERANCE;
}
