import { sample } from "../decision/index.ts";
import type { FeedDelta, Random } from "../interface/index.ts";
import { NewsScope } from "./digest.ts";
import type { Digest, InstanceNews, InstanceState, Introduction, Roster } from "./digest.ts";
import type { FleetTable } from "./fleet_table.ts";
import { FleetRole } from "./fleet_tree.ts";
import type { NewsSources } from "./news_sources.ts";
import { createOwnNews, REMEMBERED_ROUNDS } from "./own_news.ts";
import type { OwnNews, OwnState } from "./own_news.ts";
import { NEVER } from "./peer.ts";
import type { Peer } from "./peer.ts";
import { createRosterNews } from "./roster_news.ts";

/** Builds the digests that this instance sends, round by round. */
export interface DigestRounds {
  /** Starts a round: captures the counts and the roster that its digests contain. */
  begin(targets: readonly Peer[]): void;
  /**
   * Builds an immediate reply to a peer. It takes a new round number but the contents of the last
   * round.
   */
  answer(target: Peer): Digest;
  /** Builds the digest for a peer in the current round. */
  digestFor(target: Peer, state: InstanceState): Digest;
  /**
   * Returns this instance's own counts as of the given round; undefined if they are no longer
   * retained.
   */
  ownAt(round: number): OwnState | undefined;
}

/** Dependencies of {@linkcode createDigestRounds}. */
export interface DigestRoundsParts {
  readonly random: Random;
  readonly introduction: Introduction;
  readonly session: number;
  readonly table: FleetTable;
  readonly sources: () => Pick<NewsSources, "follows" | "counts">;
  readonly state: () => InstanceState;
  readonly news: (scope: NewsScope) => OwnState;
  readonly moment: () => Pick<InstanceNews, "time" | "age">;
  readonly feedsSince: (versions: ReadonlyMap<string, number>) => readonly FeedDelta[];
}

/**
 * Maximum number of peer addresses to include in a digest. They are included together with an
 * introduction, and otherwise once every `FORWARD_INTERVAL` rounds.
 */
const PASSED_ON = 8;
const PASS_ON_EVERY = 16;
/**
 * Number of rounds for which this instance's own counts are retained, so that they can be
 * subtracted from sums that include them.
 */
const KEPT_ROUNDS = 32;

/** Creates the builder. No round has started yet. */
export function createDigestRounds(parts: DigestRoundsParts): DigestRounds {
  const { random, introduction, session, table } = parts;
  const news: Readonly<Record<Exclude<NewsScope, NewsScope.None>, OwnNews>> = {
    [NewsScope.Own]: createOwnNews(),
    [NewsScope.Group]: createOwnNews(),
    [NewsScope.Fleet]: createOwnNews(),
  };
  const rosters = { zone: createRosterNews(), all: createRosterNews() };
  const ownRounds = new Map<number, OwnState>();
  let sequence = 0;

  /** Returns which counts a peer is sent. */
  const scopeFor = ({ instance, address }: Peer): NewsScope => {
    const { role } = table.tree;
    if (role === FleetRole.Equal) return NewsScope.Own;
    const isInZone = instance?.zone === introduction.zone;
    const isRelay = table.isRelay(address);
    if (isInZone && isRelay) return NewsScope.Own;
    if (role === FleetRole.Member) return NewsScope.None;
    if (isInZone) return NewsScope.Fleet;
    return isRelay ? NewsScope.Group : NewsScope.None;
  };
  /** Returns the round that a delta is based on; 0 if the peer must be sent a full snapshot. */
  const buildsOn = (target: Peer, scope: NewsScope): number => {
    const told = `${scope} ${target.wantsNews}`;
    if (target.told !== told) {
      // Acknowledgements so far were for updates of another scope.
      target.told = told;
      target.toldSince = sequence;
    }
    const { has, toldSince } = target;
    return has < toldSince || has <= sequence - REMEMBERED_ROUNDS ? 0 : has;
  };
  const rosterFor = ({ asks }: Peer, scope: NewsScope, from: number): Roster | undefined => {
    if (table.tree.role === FleetRole.Equal || scope === NewsScope.Own) return undefined;
    if (scope === NewsScope.None && !asks) return undefined;
    return (scope === NewsScope.Group ? rosters.zone : rosters.all).since(from);
  };
  /**
   * Watchers send store changes to the relays, and relays to their zones. A relay that cannot reach
   * the store is sent the changes by all others.
   */
  const feedsFor = ({ address, instance }: Peer, scope: NewsScope): readonly FeedDelta[] => {
    if (instance === undefined) return [];
    const follows = table.isWatcher(address)
      ? instance.reachesStore
      : !table.isWatcher(introduction.peers);
    const isTold = scope === NewsScope.Fleet || (table.isRelay(address) && !follows);
    return isTold ? parts.feedsSince(instance.versions) : [];
  };
  const passedOn = (target: Peer): string[] => {
    if (target.knowsThis && sequence % PASS_ON_EVERY !== 0) return [];
    const known = [...table.peers.values()].filter(({ heardAt }) => heardAt !== NEVER);
    return sample(known, { count: PASSED_ON, random }).map(({ address }) => address);
  };
  const digestFor = (target: Peer, state: InstanceState): Digest => {
    const { session: theirs, newsSequence, knowsThis, wantsNews } = target;
    const scope = scopeFor(target);
    const from = buildsOn(target, scope);
    const isTold = knowsThis && scope !== NewsScope.None && wantsNews;
    const told = isTold ? news[scope].since(from) : undefined;
    const roster = knowsThis ? rosterFor(target, scope, from) : undefined;
    // An instance that addresses this one as a relay by mistake gets one reply per digest.
    if (scope === NewsScope.None) target.asks = false;
    return {
      session,
      sequence,
      ...state,
      heard: theirs === 0 ? undefined : { session: theirs, sequence: newsSequence },
      introduction: knowsThis ? undefined : introduction,
      scope,
      news: told === undefined ? undefined : { ...told, ...parts.moment() },
      wantsNews: parts.sources().follows(target),
      countsReceiver: scope === NewsScope.Fleet && parts.sources().counts(target),
      roster,
      feeds: feedsFor(target, scope),
      known: passedOn(target),
    };
  };
  return {
    begin: (targets) => {
      sequence++;
      const scopes = new Set(targets.map(scopeFor));
      // Runs even without targets, since the quota that may be admitted before the next report
      // depends on it.
      const own = parts.news(NewsScope.Own);
      news[NewsScope.Own].note(own, sequence);
      ownRounds.set(sequence, { ...own, admitted: new Map(own.admitted) });
      for (const round of ownRounds.keys()) {
        if (round <= sequence - KEPT_ROUNDS) ownRounds.delete(round);
      }
      for (const scope of [NewsScope.Group, NewsScope.Fleet] as const) {
        if (scopes.has(scope)) news[scope].note(parts.news(scope), sequence);
      }
      if (table.tree.role === FleetRole.Equal) return;
      // Reports from relays about a zone are not forwarded to other zones.
      const zone = table.heard().filter((one) => one.zone === introduction.zone);
      rosters.zone.note(zone, sequence);
      rosters.all.note(table.live({ onlyFirm: true }), sequence);
    },
    answer: (target) => {
      sequence++;
      return digestFor(target, parts.state());
    },
    digestFor,
    ownAt: (round) => ownRounds.get(round),
  };
}
