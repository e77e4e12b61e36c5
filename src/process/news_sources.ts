import type { Clock } from "../interface/index.ts";
import { NewsScope } from "./digest.ts";
import type { Digest, InstanceNews } from "./digest.ts";
import { FleetRole } from "./fleet_tree.ts";
import type { FleetTree } from "./fleet_tree.ts";
import type { GroupCounts } from "./group_totals.ts";
import { createOthersView } from "./others_view.ts";
import type { OthersView } from "./others_view.ts";
import type { Peer } from "./peer.ts";

/**
 * A selected source of updates. No two sources selected at the same time cover the same instance.
 */
export interface NewsSource {
  /** Unique id. It also differs from that of an earlier source with the same subject. */
  readonly id: string;
  /** The instances that the updates cover: an incarnation, a zone, or all. */
  readonly subject: string;
  readonly scope: NewsScope;
}

/** Selects the peers whose updates this instance applies. */
export interface NewsSources {
  /**
   * Applies a digest's update if its sender is selected. Returns false if the update's base is
   * unknown here, so that a full snapshot is needed.
   */
  heard(peer: Peer, digest: Digest): boolean;
  /** Whether this instance applies the peer's updates, or would apply them if it sent any. */
  follows(peer: Peer): boolean;
  /** Whether the peer's own counts are applied. */
  counts(peer: Peer): boolean;
  ids(): ReadonlySet<string>;
  /** Returns the session of the relay that sends this instance the counts of all others. */
  teller(): number | undefined;
  /** Removes sources that no live peer covers any more. Returns whether there were any. */
  expire(): boolean;
  /** Removes all sources after a change of this instance's role. */
  restart(): void;
}

/** Dependencies of {@linkcode createNewsSources}. */
export interface NewsSourcesParts {
  readonly clock: Clock;
  /** This instance's availability zone. */
  readonly zone: string;
  readonly tree: () => FleetTree;
  readonly peers: () => Iterable<Peer>;
  /** Returns this instance's own counts as of a round; undefined if they are no longer retained. */
  readonly ownAt: (round: number) => GroupCounts | undefined;
  readonly onNews: (source: NewsSource, news: InstanceNews) => void;
}

/** Subject of updates that cover all instances. */
const EVERYONE = "*";

/**
 * Milliseconds for which sums are kept after their source is lost. Until another relay sends sums,
 * slightly outdated counts are better than none.
 */
const KEPT_SUMS = 2_000;

interface Followed {
  readonly session: number;
  lostAt: number | undefined;
  readonly source: NewsSource;
  readonly others: OthersView;
}

/**
 * Creates the selection without any sources.
 *
 * The two relays of each zone send the same sums, and each member receives both. Only one of them
 * is used at a time, so that nothing is counted twice. When another relay replaces it, cumulative
 * counts are compared with the new relay's first update, because its sums started at a different
 * time.
 */
export function createNewsSources(parts: NewsSourcesParts): NewsSources {
  const { zone, tree } = parts;
  const followed = new Map<string, Followed>();
  let changes = 0;
  let hasRestarted = false;

  /**
   * Returns which instances a peer's updates cover; undefined if this instance must not apply them.
   */
  const subjectOf = ({ scope, instance }: Peer): string | undefined => {
    if (instance === undefined) return undefined;
    const { role } = tree();
    const isInZone = instance.zone === zone;
    const { Own, Group, Fleet } = NewsScope;
    if (scope === Own && (role === FleetRole.Equal || (role === FleetRole.Relay && isInZone)))
      return instance.incarnation;
    if (scope === Group && role === FleetRole.Relay && !isInZone) return instance.zone;
    return scope === Fleet && role === FleetRole.Member && isInZone ? EVERYONE : undefined;
  };
  const rank = ({ address, instance }: Peer): number => {
    const relays = tree().relays.get(instance?.zone ?? "") ?? [];
    const place = relays.indexOf(address);
    // A relay that doesn't receive store changes is the last choice.
    const behind = instance?.isCurrent === true ? 0 : relays.length + 1;
    return (place < 0 ? relays.length : place) + behind;
  };
  const isBetter = (a: Peer, b: Peer): boolean =>
    rank(a) < rank(b) || (rank(a) === rank(b) && a.address < b.address);
  const isFollowed = (peer: Peer, subject: string): boolean => {
    if (peer.scope === NewsScope.Own) return true;
    for (const other of parts.peers()) {
      if (other === peer || !other.isLive || other.scope !== peer.scope) continue;
      if (subjectOf(other) === subject && isBetter(other, peer)) return false;
    }
    return true;
  };
  const follow = (peer: Peer, subject: string): Followed => {
    changes++;
    const id =
      peer.scope === NewsScope.Own && !hasRestarted
        ? subject
        : `${subject}/${peer.session.toString(16)}/${changes}`;
    const source = { id, subject, scope: peer.scope };
    const found = { session: peer.session, lostAt: undefined, source, others: createOthersView() };
    followed.set(subject, found);
    return found;
  };
  const withoutOwn = (
    { others }: Followed,
    news: InstanceNews,
    digest: Digest,
  ): InstanceNews | undefined => {
    const own = digest.countsReceiver ? parts.ownAt(digest.heard?.sequence ?? 0) : undefined;
    if (digest.countsReceiver && own === undefined) return undefined;
    return { ...news, ...others.heard(news, own), isWhole: true };
  };
  return {
    heard: (peer, digest) => {
      const { news } = digest;
      const subject = subjectOf(peer);
      if (news === undefined || subject === undefined || !isFollowed(peer, subject)) return true;
      const before = followed.get(subject);
      const isSame = before?.session === peer.session;
      // A delta is useless without its base. A full snapshot will be sent on request.
      if (!isSame && !news.isWhole) return false;
      const now = isSame ? before : follow(peer, subject);
      const isFresh = isSame || (before === undefined && !hasRestarted);
      const age = isFresh ? news.age : Infinity;
      const told = digest.scope === NewsScope.Fleet ? withoutOwn(now, news, digest) : news;
      if (told === undefined) return false;
      parts.onNews(now.source, { ...told, age });
      return true;
    },
    follows: (peer) => {
      const subject = subjectOf(peer);
      return subject === undefined ? peer.scope === NewsScope.None : isFollowed(peer, subject);
    },
    counts: ({ instance, session }) =>
      followed.get(instance?.incarnation ?? "")?.session === session,
    ids: () => new Set([...followed.values()].map(({ source }) => source.id)),
    teller: () => followed.get(EVERYONE)?.session,
    expire: () => {
      const told = new Set<string>();
      for (const peer of parts.peers()) {
        const subject = peer.isLive ? subjectOf(peer) : undefined;
        if (subject !== undefined) told.add(subject);
      }
      const now = parts.clock.now();
      let changed = false;
      for (const [subject, one] of followed) {
        one.lostAt = told.has(subject) ? undefined : (one.lostAt ?? now);
        const kept = one.source.scope === NewsScope.Own ? 0 : KEPT_SUMS;
        if (one.lostAt === undefined || now - one.lostAt < kept) continue;
        followed.delete(subject);
        changed = true;
      }
      return changed;
    },
    restart: () => {
      hasRestarted = true;
      followed.clear();
      for (const peer of parts.peers()) peer.newsSequence = 0;
    },
  };
}
