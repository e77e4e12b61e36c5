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
 * @module
 */
import type { Quota } from "../version/index.ts";

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
  /**
   * Another instance has admitted so much.
   *
   * @param incarnation Tells the instance from the one that ran at its place before.
   */
  heard(incarnation: string, admitted: AdmittedCounts): void;
  /** How many instances of how many are heard. */
  setReach(reach: { heard: number; members: number }): void;
  /** What this instance has admitted. */
  admitted(): AdmittedCounts;
}

interface Bucket {
  level: number;
  filledAt: number;
  quota: Quota;
}

/** The part of the burst that an instance begins with: what the others took before isn't known to it. */
const FIRST_PART = 0.25;
/** Instances whose counts are remembered; beyond, the one heard least lately is forgotten. */
const GREATEST_PEERS = 1_024;
const MILLISECONDS = 1_000;

/** Makes quotas of which nothing has been used. */
export function createSharedQuota(): SharedQuota {
  const buckets = new Map<string, Bucket>();
  const own = new Map<string, number>();
  const peers = new Map<string, Map<string, number>>();
  let part = 1;

  const bucketOf = (account: string, quota: Quota, now: number): Bucket => {
    const known = buckets.get(account);
    if (known === undefined) {
      const created = { level: quota.burst * FIRST_PART, filledAt: now, quota };
      buckets.set(account, created);
      return created;
    }
    const filled =
      known.level + ((now - known.filledAt) * known.quota.perSecond * part) / MILLISECONDS;
    // The time until now was filled at the quota of that time; a smaller burst binds at once.
    known.level = Math.min(quota.burst, filled);
    known.filledAt = now;
    known.quota = quota;
    return known;
  };
  return {
    take: ({ account, quota, size, now }) => {
      const bucket = bucketOf(account, quota, now);
      // A request larger than the whole burst would never fit: it goes when the bucket is full.
      const needed = Math.min(size, quota.burst);
      if (bucket.level < needed) {
        const rate = Math.max(quota.perSecond * part, Number.MIN_VALUE);
        return Math.max(1, Math.ceil(((needed - bucket.level) * MILLISECONDS) / rate));
      }
      bucket.level -= size;
      own.set(account, (own.get(account) ?? 0) + size);
      return 0;
    },
    heard: (incarnation, admitted) => {
      const before = peers.get(incarnation);
      peers.delete(incarnation);
      peers.set(incarnation, new Map(admitted));
      if (peers.size > GREATEST_PEERS) forgetFirst(peers);
      // The first word of an instance is where counting begins: what it admitted before is over.
      if (before === undefined) return;
      for (const [account, count] of admitted) {
        const bucket = buckets.get(account);
        const more = count - (before.get(account) ?? 0);
        if (bucket !== undefined && more > 0) bucket.level -= more;
      }
    },
    setReach: ({ heard, members }) => {
      part = members <= 0 ? 1 : Math.min(1, heard / members);
    },
    admitted: () => own,
  };
}

function forgetFirst(map: Map<string, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
