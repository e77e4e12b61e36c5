/**
 * Enforces a client account's quota over all entry instances together.
 *
 * Load: one account sends many times its usual number of requests over connections to all entry
 * instances. If each instance enforced the whole quota, the account would get it once per instance.
 * If each enforced an equal part, an account with few connections would be refused far below its
 * quota, because its requests reach only a few instances. Symptom: one account that fills a
 * service, or refusals (429) that contradict the account's own counts.
 *
 * Mechanism: every instance keeps a token bucket for the whole quota and deducts both what it
 * admits itself and what the others report. Reports are cumulative counts, so that the next one
 * makes up for a lost one. The only error is what instances admit between two reports: with a
 * report every quarter of a second it stays below the quota's rate over that time. An instance that
 * receives no reports from some of the others can't deduct what they admit. It reduces its rate by
 * an equal part for each missing instance, so that a partitioned fleet admits the quota about once
 * at most.
 *
 * Between two reports an instance takes no more than its share of the remaining level, based on its
 * share of recent admissions plus a half. Without this limit an account that sends six times its
 * quota would get everything that was refilled since the last report from each of six instances,
 * six times over.
 *
 * In a large fleet, reports pass through relays. While an account sends several times its quota, all
 * instances see the same level until they receive what the others have admitted against it, and then
 * none admits anything until the excess is paid back. After the level was used up, each instance
 * therefore estimates the demand at all instances in that time from its own, and admits only the
 * fraction of its requests for which the level and the refill suffice. The estimate from a few
 * requests is inaccurate, so that it must not be applied to an account that keeps to its quota.
 *
 * A request is admitted while the level is above zero, whatever its size, and the excess is paid
 * back before the next request. If requests had to fit, an account at its limit would always get
 * its small requests through and never its large ones. The overdraft is at most one request per
 * instance, once.
 *
 * @module
 */
import type { Quota } from "../version/index.ts";
import { createQuotaReserve } from "./quota_reserve.ts";
import type { QuotaAttempt, QuotaLevel, QuotaReserveParts } from "./quota_reserve.ts";
import { removeFirstEntry } from "./remove_first.ts";

/** Admitted amounts by account name, since the instance started. */
export type AdmittedCounts = ReadonlyMap<string, number>;

/**
 * The quotas of all accounts, as enforced by one instance. Times are in milliseconds of the clock.
 */
export interface SharedQuota {
  /**
   * Deducts a request's size from its account's bucket.
   *
   * @returns 0 if the request was admitted; otherwise the milliseconds until it can be, and nothing
   * is deducted.
   */
  take(request: {
    account: string;
    quota: Quota;
    size: number;
    /** What is known about the caller's earlier attempts, if a reserve is set. */
    attempt?: QuotaAttempt | undefined;
    now: number;
  }): number;
  /** Returns the state of each account's bucket, as of its last request or report. */
  accounts(): readonly QuotaStatus[];
  /** Returns the state of one account's bucket; undefined for an unknown account. */
  account(name: string): QuotaStatus | undefined;
  /** Refunds the size of an admitted request that did not run. */
  refund(account: string, size: number): void;
  /**
   * Adds accounts that may send requests, so that what others admit for them is deducted from now
   * on.
   */
  addAccounts(accounts: readonly { name: string; quota: Quota | undefined }[], now: number): void;
  /**
   * Receives the admitted amounts of another instance. Accounts that are not listed keep their
   * previous amounts.
   *
   * @param incarnation Identifies the process of the instance, as opposed to an earlier one.
   * @param report `age` is the number of milliseconds since that process started.
   */
  receiveReport(incarnation: string, report: { admitted: AdmittedCounts; age: number }): void;
  /**
   * Sets the number of instances that this one receives reports from (itself included), the number
   * of all instances, and the average age of reports in milliseconds if they pass through relays.
   */
  setReachability(reach: { reachable: number; members: number; reportAge?: number }): void;
  /** Returns the amounts that this instance has admitted, for the report that is sent now. */
  createReport(now: number): AdmittedCounts;
}

/** The state of an account's bucket at one instance. */
export interface QuotaStatus {
  readonly name: string;
  readonly level: number;
  /** Amount that large requests leave to smaller ones. */
  readonly reserve: number;
  /** Number of requests that this instance has admitted and refused since it started. */
  readonly admitted: number;
  readonly refused: number;
}

interface Bucket {
  level: number;
  filledAt: number;
  quota: Quota;
  /**
   * The level at the last report plus later refills, and what this instance has taken since that
   * report.
   */
  levelAtReport: number;
  takenSinceReport: number;
  /** Recent admissions of this instance and of its peers, with older ones weighted less. */
  recentOwn: number;
  recentPeers: number;
  /** Number of recent requests of this instance, admitted or not, weighted in the same way. */
  recentRequests: number;
  /** Sum of the sizes of all its requests, since it started. */
  requested: number;
  /** When a request last found the level at 0 or below. */
  exhaustedAt: number;
  /** Number of requests of this instance, since it started. */
  admitted: number;
  refused: number;
}

/**
 * Fraction of the burst that an instance starts with, since it has not received what the others
 * admitted before. Instances that start together soon deduct each other's admissions, so they share
 * the initial level of one, and a smaller fraction would refuse requests within the quota.
 */
const INITIAL_FRACTION = 0.6;
/**
 * Maximum number of instances whose counts are kept; the one not received from for the longest time
 * is evicted.
 */
const MAX_PEERS = 1_024;
/** Factor by which an instance may exceed its share, since shares change between reports. */
const SHARE_HEADROOM = 1.5;
/**
 * Milliseconds after which recent admissions count half, so that shares follow the traffic within
 * seconds.
 */
const RECENT_HALF_LIFE = 1_500;
/**
 * Minimum and maximum of the retry time for refused requests, in milliseconds: a fraction of the
 * usual latency targets, and one minute.
 */
const MIN_WAIT = 50;
const MAX_WAIT = 60_000;
/**
 * Milliseconds for which an account counts as overloaded after its level was used up. While it sends
 * several times its quota, the level is used up at least every two seconds.
 */
const OVERLOAD_TTL = 3_000;
/** Maximum milliseconds until the next report to the other instances. */
const MAX_REPORT_INTERVAL = 275;
const MS_PER_SECOND = 1_000;

/**
 * Creates quotas that are unused.
 *
 * @param startedAt When the instance started, in milliseconds of the clock.
 * @param parts The reserve of each account, and the source of random choices. If it is absent or its
 * duration is 0, requests of all sizes are admitted in the order in which they arrive. It may be absent
 * only in a fleet without relays.
 */
export function createSharedQuota(startedAt: number, parts?: QuotaReserveParts): SharedQuota {
  const reserve =
    parts === undefined || parts.duration === 0 ? undefined : createQuotaReserve(parts);
  const random = parts?.random;
  const buckets = new Map<string, Bucket>();
  const ownAdmitted = new Map<string, number>();
  const peers = new Map<string, Map<string, number>>();
  let reachableFraction = 1;
  let totalMembers = 1;
  let reportAge = 0;
  let lastReportAt = startedAt;

  const bucketOf = (account: string, quota: Quota, now: number): Bucket => {
    const existing = buckets.get(account);
    if (existing === undefined) {
      const refilled = ((now - startedAt) * quota.perSecond) / MS_PER_SECOND;
      const level = Math.min(quota.burst, quota.burst * INITIAL_FRACTION + refilled);
      const created: Bucket = {
        level,
        filledAt: now,
        quota,
        levelAtReport: level,
        takenSinceReport: 0,
        recentOwn: 0,
        recentPeers: 0,
        recentRequests: 0,
        requested: 0,
        exhaustedAt: -Infinity,
        admitted: 0,
        refused: 0,
      };
      buckets.set(account, created);
      reserve?.recordLevel(account, quotaLevel(created), now);
      return created;
    }
    // The time until now is refilled at the previous quota; a smaller burst takes effect
    // immediately.
    const filled =
      ((now - existing.filledAt) * existing.quota.perSecond * reachableFraction) / MS_PER_SECOND;
    existing.level = Math.min(quota.burst, existing.level + filled);
    existing.levelAtReport = Math.min(quota.burst, existing.levelAtReport + filled);
    existing.filledAt = now;
    existing.quota = quota;
    return existing;
  };
  /** The fraction of the account's recent requests that this instance has received. */
  const ownFraction = ({
    recentOwn,
    recentPeers,
  }: Pick<Bucket, "recentOwn" | "recentPeers">): number => {
    const share = recentOwn + recentPeers === 0 ? 0 : recentOwn / (recentOwn + recentPeers);
    return Math.max(1 / totalMembers, share);
  };
  /** The share of the remaining level that this instance may take until its next report. */
  const ownShare = (bucket: Bucket): number => Math.min(1, ownFraction(bucket) * SHARE_HEADROOM);
  /**
   * The fraction of requests that can be admitted until the reports of the others arrive, if all
   * instances admit the same fraction.
   */
  const admittedFraction = (bucket: Bucket): number => {
    // Sizes differ by orders of magnitude, so that the recent ones say little about the demand elsewhere.
    const meanSize = bucket.requested / Math.max(1, bucket.admitted + bucket.refused);
    // A count that decays, divided by its mean lifetime, half-life / ln 2, is a rate.
    const requests = (bucket.recentRequests * Math.LN2 * reportAge) / RECENT_HALF_LIFE;
    const demand = (requests * meanSize) / ownFraction(bucket);
    const refill = (bucket.quota.perSecond * reachableFraction * reportAge) / MS_PER_SECOND;
    return (bucket.level + refill) / Math.max(demand, Number.MIN_VALUE);
  };
  /**
   * Milliseconds after which a refused request may be sent again: as soon as the level is above
   * zero. Callers come back within a third of this time anyway, and a longer time makes the answer
   * late.
   */
  const retryAfter = ({ level, quota }: Bucket): number => {
    const rate = Math.max(quota.perSecond * reachableFraction, Number.MIN_VALUE);
    // The level beyond this instance's share becomes available after the next report.
    if (level > 0) return MAX_REPORT_INTERVAL;
    return Math.min(MAX_WAIT, Math.max(MIN_WAIT, Math.ceil((-level * MS_PER_SECOND) / rate) + 1));
  };
  const quotaLevel = ({ level, quota, recentOwn, recentPeers }: Bucket): QuotaLevel => ({
    level,
    unit: quota.unit,
    perSecond: quota.perSecond * reachableFraction,
    burst: quota.burst,
    elsewhere: 1 - ownFraction({ recentOwn, recentPeers }),
  });
  const statusOf = (name: string, { level, quota, admitted, refused }: Bucket): QuotaStatus => ({
    name,
    level,
    reserve: reserve?.reserved(quota) ?? 0,
    admitted,
    refused,
  });
  /** Milliseconds until an empty bucket is full again. */
  const refillTime = ({ quota: { burst, perSecond } }: Bucket): number =>
    (burst / Math.max(perSecond, Number.MIN_VALUE)) * MS_PER_SECOND;
  return {
    take: ({ account, quota, size, attempt, now }) => {
      const bucket = bucketOf(account, quota, now);
      const request = { account, size, attempt, now };
      const state = quotaLevel(bucket);
      reserve?.recordLevel(account, state, now);
      const threshold = reserve?.threshold(request, state) ?? 0;
      // The first request after a report may exceed the share; otherwise no instance could use the
      // rest of a level that is small.
      const isOverShare =
        bucket.takenSinceReport > Math.max(0, bucket.levelAtReport * ownShare(bucket));
      if (bucket.level <= 0) bucket.exhaustedAt = now;
      const isOverFraction =
        reportAge > 0 &&
        random !== undefined &&
        now - bucket.exhaustedAt < OVERLOAD_TTL &&
        random.next() >= admittedFraction(bucket);
      bucket.recentRequests++;
      bucket.requested += size;
      if (bucket.level <= threshold || isOverShare || isOverFraction) {
        bucket.refused++;
        return reserve?.refuse(request, state) ?? retryAfter(bucket);
      }
      bucket.admitted++;
      bucket.level -= size;
      bucket.takenSinceReport += size;
      bucket.recentOwn += size;
      ownAdmitted.set(account, (ownAdmitted.get(account) ?? 0) + size);
      return 0;
    },
    accounts: () => [...buckets].map(([name, bucket]) => statusOf(name, bucket)),
    account: (name) => {
      const bucket = buckets.get(name);
      return bucket === undefined ? undefined : statusOf(name, bucket);
    },
    refund: (account, size) => {
      const bucket = buckets.get(account);
      if (bucket !== undefined) bucket.level += size;
      ownAdmitted.set(account, (ownAdmitted.get(account) ?? 0) - size);
    },
    addAccounts: (accounts, now) => {
      for (const { name, quota } of accounts) if (quota !== undefined) bucketOf(name, quota, now);
    },
    receiveReport: (incarnation, { admitted, age }) => {
      const isFirstReport = !peers.has(incarnation);
      const previousCounts = peers.get(incarnation) ?? new Map<string, number>();
      peers.delete(incarnation);
      peers.set(incarnation, previousCounts);
      if (peers.size > MAX_PEERS) removeFirstEntry(peers);
      for (const [account, total] of admitted) {
        const bucket = buckets.get(account);
        const delta = total - (previousCounts.get(account) ?? 0);
        previousCounts.set(account, total);
        if (bucket === undefined) continue;
        // The first report of an instance only sets the base for later counts, since what it
        // admitted before has been refilled. If the instance has started too recently for a refill,
        // its amounts are deducted.
        if (isFirstReport && age > refillTime(bucket)) continue;
        bucket.level -= delta;
        bucket.recentPeers = Math.max(0, bucket.recentPeers + delta);
      }
    },
    setReachability: ({ reachable, members: memberCount, reportAge: age = 0 }) => {
      reportAge = age;
      totalMembers = Math.max(1, memberCount);
      reachableFraction = Math.min(1, reachable / totalMembers);
    },
    createReport: (now) => {
      const decay = 2 ** (-(now - lastReportAt) / RECENT_HALF_LIFE);
      lastReportAt = now;
      for (const [account, bucket] of buckets) {
        const { level } = bucketOf(account, bucket.quota, now);
        reserve?.recordLevel(account, quotaLevel(bucket), now);
        bucket.levelAtReport = level;
        bucket.takenSinceReport = 0;
        bucket.recentOwn *= decay;
        bucket.recentPeers *= decay;
        bucket.recentRequests *= decay;
      }
      return ownAdmitted;
    },
  };
}
