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

/** What each of the others is told, round by round. */
export interface DigestRounds {
  /** Begins a round: what is told from now on is as it stands. */
  begin(targets: readonly Peer[]): void;
  /** The digest for an instance in a round of its own, of what stood when the last one began. */
  answer(target: Peer): Digest;
  /** The digest for an instance in this round. */
  digestFor(target: Peer, state: InstanceState): Digest;
  /** What this instance had said of itself in a round; undefined where that is forgotten. */
  ownAt(round: number): OwnState | undefined;
}

/** What the rounds are made with. */
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

/** Addresses passed on with an introduction, and otherwise with one round in so many. */
const PASSED_ON = 8;
const PASS_ON_EVERY = 16;
/** Rounds of this instance's own news that are kept, to be taken out of sums that hold them. */
const KEPT_ROUNDS = 32;

/** Makes rounds of which none has begun. */
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

  /** What an instance is told. */
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
  /** The round after which changes are told; 0 where everything is. */
  const buildsOn = (target: Peer, scope: NewsScope): number => {
    const told = `${scope} ${target.wantsNews}`;
    if (target.told !== told) {
      // What the receiver has heard until now was of something else.
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
   * A watcher tells the relays what changes in the store, and they tell their zones; a relay that has lost its way to
   * the store is told by all others.
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
    // Whoever is no partner is answered once for each of its digests.
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
      // Also where nobody is there to be told: what may be taken until the next telling goes by it.
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
      // What others tell of a zone isn't passed on to the other zones.
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
