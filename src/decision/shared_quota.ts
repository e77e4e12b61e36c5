/**
 * How much a client account may still ask for, over all entry instances together.
 *
 * Load that it answers: one account sends many times its usual, over connections to all entry instances. If
 * each held it to the whole quota it would get the quota once an instance; if each held it to an equal part,
 * an account with few connections would be refused far below its quota, because its requests come to few
 * instances. One would notice the first by a service that one account fills, the second by refusals (429)
 * that the account's own counts contradict.
 *
 * So every instance keeps a bucket for the whole quota and takes out of it what it admits itself and what the
 * others say that they have admitted: cumulative counts, so that a lost message is made good by the next. What
 * is under way between instances is the only error; with a message every quarter of a second it stays under
 * the quota's rate for that time. An instance that doesn't hear the others can't know what they admit: for
 * each one that it misses it gives up an equal part of the rate, so that a fleet that is cut in two admits the
 * quota at most about once.
 *
 * Between two messages an instance takes no more than its part of what is left, by its part of what was admitted
 * lately and half as much again. Without that, an account at its limit that sends six times its quota would get
 * all that has come back since the last message from each instance at once, six times over.
 *
 * A request is admitted while anything is left, whatever its size, and what it takes beyond that is paid back
 * before the next one. If it had to fit, an account at its limit would get its small requests through and its
 * large ones never. What is overdrawn is at most one request an instance, once.
 *
 * @module
 */
import type { Quota } from "../version/index.ts";
import { removeFirst } from "./remove_first.ts";

/** Admitted amounts by account name, since the instance started. */
export type AdmittedCounts = ReadonlyMap<string, number>;

/** The quotas of all accounts as one instance sees them. */
export interface SharedQuota {
  /**
   * Takes a request's size out of its account's bucket.
   *
   * @returns 0 where it was taken; otherwise the milliseconds until it would fit, and nothing is taken.
   */
  take(request: { account: string; quota: Quota; size: number; now: number }): number;
  /** Gives back what was taken for a request that then didn't run. */
  giveBack(account: string, size: number): void;
  /** Accounts of which requests may come: what others admit of them counts from now on. */
  expect(accounts: readonly { name: string; quota: Quota | undefined }[], now: number): void;
  /**
   * Another instance has admitted so much; accounts that aren't named have what was said of them before.
   *
   * @param incarnation Tells the instance from the one that ran at its place before.
   * @param said `age` is the milliseconds since that instance's start.
   */
  heard(incarnation: string, said: { admitted: AdmittedCounts; age: number }): void;
  /** How many instances of how many are heard. */
  setReach(reach: { heard: number; members: number }): void;
  /** What this instance has admitted, for a message to the others that is sent now. */
  tell(now: number): AdmittedCounts;
}

interface Bucket {
  level: number;
  filledAt: number;
  quota: Quota;
  /** What was left when the others were last told, with what has come back since, and what was taken here since. */
  levelThen: number;
  taken: number;
  /** What this instance and the others admitted lately, the older the less. */
  own: number;
  others: number;
}

/**
 * The part of the burst that an instance begins with: what the others took before isn't known to it. Instances that
 * start together soon share what one of them begins with, so that a part too small refuses what an account may have.
 */
const FIRST_PART = 0.6;
/** Instances whose counts are remembered; beyond, the one heard least lately is forgotten. */
const GREATEST_PEERS = 1_024;
/** An instance may take this many times its part: parts change while nobody is told. */
const PART_ROOM = 1.5;
/** What was admitted lately counts half as much after so many milliseconds: parts follow within seconds. */
const PART_HALF_LIFE = 1_500;
/** Bounds of the time that a refused request is told, in milliseconds: a part of the usual targets, and a minute. */
const LEAST_WAIT = 50;
const LONGEST_WAIT = 60_000;
/** The longest time in milliseconds to the next message to the others. */
const NEXT_MESSAGE = 275;
const MILLISECONDS = 1_000;

/**
 * Makes quotas of which nothing has been used.
 *
 * @param startedAt When the instance started, in the clock's milliseconds.
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
    // The time until now was filled at the quota of that time; a smaller burst binds at once.
    const filled = ((now - known.filledAt) * known.quota.perSecond * part) / MILLISECONDS;
    known.level = Math.min(quota.burst, known.level + filled);
    known.levelThen = Math.min(quota.burst, known.levelThen + filled);
    known.filledAt = now;
    known.quota = quota;
    return known;
  };
  /** The part of what is left that this instance may take until it has told the others. */
  const ownPart = ({ own: mine, others }: Bucket): number => {
    const lately = mine + others === 0 ? 0 : mine / (mine + others);
    return Math.min(1, Math.max(1 / members, lately) * PART_ROOM);
  };
  /**
   * When a refused request may come back: as soon as anything is left again. Callers come back within a third of
   * their time whatever they are told, and a longer time makes the answer late.
   */
  const roomIn = ({ level, quota }: Bucket): number => {
    const rate = Math.max(quota.perSecond * part, Number.MIN_VALUE);
    // What is over the instance's part is there when the others have been told.
    if (level > 0) return NEXT_MESSAGE;
    return Math.min(
      LONGEST_WAIT,
      Math.max(LEAST_WAIT, Math.ceil((-level * MILLISECONDS) / rate) + 1),
    );
  };
  /** Milliseconds in which a bucket that was used up is full again. */
  const refillTime = ({ quota: { burst, perSecond } }: Bucket): number =>
    (burst / Math.max(perSecond, Number.MIN_VALUE)) * MILLISECONDS;
  return {
    take: ({ account, quota, size, now }) => {
      const bucket = bucketOf(account, quota, now);
      // The first request always goes, so that the last of what is left isn't kept from everybody.
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
        // The first word of an instance is where counting begins, as what it admitted before is over; but not where
        // it has started so lately that nothing of it has come back yet.
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
