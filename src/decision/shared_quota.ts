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
 * receives no reports from some of the others does not know what they admit. For each missing
 * instance it gives up an equal part of the rate, so that a partitioned fleet admits the quota
 * about once at most.
 *
 * Between two reports an instance takes no more than its share of the remaining level, based on its
 * share of recent admissions plus a half. Without this limit an account that sends six times its
 * quota would get everything that was refilled since the last report from each of six instances,
 * six times over.
 *
 * A request is admitted while the level is above zero, whatever its size, and the excess is paid
 * back before the next request. If requests had to fit, an account at its limit would always get
 * its small requests through and never its large ones. The overdraft is at most one request per
 * instance, once.
 *
 * @module
 */
import type { Quota } from "../version/index.ts";
import { removeFirst } from "./remove_first.ts";

/** Admitted amounts by account name, since the instance started. */
export type AdmittedCounts = ReadonlyMap<string, number>;

/**
 * The quotas of all accounts, as one instance sees them. Times are in milliseconds of the clock.
 */
export interface SharedQuota {
  /**
   * Deducts a request's size from its account's bucket.
   *
   * @returns 0 if the request was admitted; otherwise the milliseconds until it can be, and nothing
   * is deducted.
   */
  take(request: { account: string; quota: Quota; size: number; now: number }): number;
  /** Refunds the size of an admitted request that did not run. */
  giveBack(account: string, size: number): void;
  /**
   * Adds accounts that may send requests, so that what others admit for them is deducted from now
   * on.
   */
  expect(accounts: readonly { name: string; quota: Quota | undefined }[], now: number): void;
  /**
   * Receives the admitted amounts of another instance. Accounts that are not listed keep their
   * previous amounts.
   *
   * @param incarnation Identifies the process of the instance, as opposed to an earlier one.
   * @param said `age` is the number of milliseconds since that process started.
   */
  heard(incarnation: string, said: { admitted: AdmittedCounts; age: number }): void;
  /**
   * Sets the number of instances that this one receives reports from (itself included), and the
   * number of all instances.
   */
  setReach(reach: { heard: number; members: number }): void;
  /** Returns the amounts that this instance has admitted, for the report that is sent now. */
  tell(now: number): AdmittedCounts;
}

interface Bucket {
  level: number;
  filledAt: number;
  quota: Quota;
  /**
   * The level at the last report plus later refills, and what this instance has taken since that
   * report.
   */
  levelThen: number;
  taken: number;
  /** Recent admissions of this instance and of the others, with older ones weighted less. */
  own: number;
  others: number;
}

/**
 * Fraction of the burst that an instance starts with, since it does not know what the others
 * admitted before. Instances that start together soon share the initial level of one, so a smaller
 * fraction refuses requests within the quota.
 */
const FIRST_PART = 0.6;
/**
 * Maximum number of instances whose counts are kept; the one not received from for the longest time
 * is evicted.
 */
const GREATEST_PEERS = 1_024;
/** Factor by which an instance may exceed its share, since shares change between reports. */
const PART_ROOM = 1.5;
/**
 * Milliseconds after which recent admissions count half, so that shares follow the traffic within
 * seconds.
 */
const PART_HALF_LIFE = 1_500;
/**
 * Minimum and maximum of the retry time for refused requests, in milliseconds: a fraction of the
 * usual latency targets, and one minute.
 */
const LEAST_WAIT = 50;
const LONGEST_WAIT = 60_000;
/** Maximum milliseconds until the next report to the other instances. */
const NEXT_MESSAGE = 275;
const MILLISECONDS = 1_000;

/**
 * Creates quotas that are unused.
 *
 * @param startedAt When the instance started, in milliseconds of the clock.
 */
export function createSharedQuota(startedAt: number): SharedQuota {
  const buckets = new Map<string, Bucket>();
  const own = new Map<string, number>();
  const peers = new Map<string, Map<string, number>>();
  let part = 1;
  let members = 1;
  let toldAt = startedAt;

  const bucketOf = (account: string, quota: Quota, now: number): Bucket => {
    const known = buckets.get(account);
    if (known === undefined) {
      const since = ((now - startedAt) * quota.perSecond) / MILLISECONDS;
      const level = Math.min(quota.burst, quota.burst * FIRST_PART + since);
      const created: Bucket = {
        level,
        filledAt: now,
        quota,
        levelThen: level,
        taken: 0,
        own: 0,
        others: 0,
      };
      buckets.set(account, created);
      return created;
    }
    // The time until now is refilled at the previous quota; a smaller burst takes effect
    // immediately.
    const filled = ((now - known.filledAt) * known.quota.perSecond * part) / MILLISECONDS;
    known.level = Math.min(quota.burst, known.level + filled);
    known.levelThen = Math.min(quota.burst, known.levelThen + filled);
    known.filledAt = now;
    known.quota = quota;
    return known;
  };
  /** The share of the remaining level that this instance may take until its next report. */
  const ownPart = ({ own: mine, others }: Bucket): number => {
    const lately = mine + others === 0 ? 0 : mine / (mine + others);
    return Math.min(1, Math.max(1 / members, lately) * PART_ROOM);
  };
  /**
   * Milliseconds after which a refused request may be sent again: as soon as the level is above
   * zero. Callers come back within a third of this time anyway, and a longer time makes the answer
   * late.
   */
  const roomIn = ({ level, quota }: Bucket): number => {
    const rate = Math.max(quota.perSecond * part, Number.MIN_VALUE);
    // The level beyond this instance's share becomes available after the next report.
    if (level > 0) return NEXT_MESSAGE;
    return Math.min(
      LONGEST_WAIT,
      Math.max(LEAST_WAIT, Math.ceil((-level * MILLISECONDS) / rate) + 1),
    );
  };
  /** Milliseconds until an empty bucket is full again. */
  const refillTime = ({ quota: { burst, perSecond } }: Bucket): number =>
    (burst / Math.max(perSecond, Number.MIN_VALUE)) * MILLISECONDS;
  return {
    take: ({ account, quota, size, now }) => {
      const bucket = bucketOf(account, quota, now);
      // The first request is always admitted, so that the last of the level is available to
      // someone.
      const isOverPart = bucket.taken > Math.max(0, bucket.levelThen * ownPart(bucket));
      if (bucket.level <= 0 || isOverPart) return roomIn(bucket);
      bucket.level -= size;
      bucket.taken += size;
      bucket.own += size;
      own.set(account, (own.get(account) ?? 0) + size);
      return 0;
    },
    giveBack: (account, size) => {
      const bucket = buckets.get(account);
      if (bucket !== undefined) bucket.level += size;
      own.set(account, (own.get(account) ?? 0) - size);
    },
    expect: (accounts, now) => {
      for (const { name, quota } of accounts) if (quota !== undefined) bucketOf(name, quota, now);
    },
    heard: (incarnation, { admitted, age }) => {
      const isFirstWord = !peers.has(incarnation);
      const known = peers.get(incarnation) ?? new Map<string, number>();
      peers.delete(incarnation);
      peers.set(incarnation, known);
      if (peers.size > GREATEST_PEERS) removeFirst(peers);
      for (const [account, count] of admitted) {
        const bucket = buckets.get(account);
        const more = count - (known.get(account) ?? 0);
        known.set(account, count);
        if (bucket === undefined) continue;
        // The first report of an instance only sets the base for later counts, since what it
        // admitted before has been refilled. If the instance has started too recently for a refill,
        // its amounts are deducted.
        if (isFirstWord && age > refillTime(bucket)) continue;
        bucket.level -= more;
        bucket.others = Math.max(0, bucket.others + more);
      }
    },
    setReach: ({ heard, members: expected }) => {
      members = Math.max(1, expected);
      part = Math.min(1, heard / members);
    },
    tell: (now) => {
      const kept = 2 ** (-(now - toldAt) / PART_HALF_LIFE);
      toldAt = now;
      for (const [account, bucket] of buckets) {
        const { level } = bucketOf(account, bucket.quota, now);
        bucket.levelThen = level;
        bucket.taken = 0;
        bucket.own *= kept;
        bucket.others *= kept;
      }
      return own;
    },
  };
}
