/**
 * Digests between the entry instances: who is there, and what each has admitted, counted and running.
 *
 * Digests are datagrams: a connection between two instances can go silent for good without either noticing. Every
 * one says that the sender is there and whether it takes requests, and tells the news: what has changed since the last
 * news that the receiver is known to have. A digest that is lost costs nothing but time, since what isn't acknowledged
 * is told again.
 *
 * Who tells whom what follows from the fleet's size, see `fleet_tree.ts`.
 *
 * @module
 */
import type { DatagramParts, Datagrams } from "../connection/datagrams.ts";
import { sample } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, FeedDelta, Random, Timer } from "../interface/index.ts";
import { decodeDigest, encodeDigest } from "./digest_codec.ts";
import { NewsScope } from "./digest.ts";
import type {
  Digest,
  InstanceNews,
  InstanceState,
  Introduction,
  Roster,
  RosterEntry,
} from "./digest.ts";
import { createFleetRoster } from "./fleet_roster.ts";
import { FleetRole, planTree } from "./fleet_tree.ts";
import type { FleetTree } from "./fleet_tree.ts";
import { createNewsSources } from "./news_sources.ts";
import type { NewsSource } from "./news_sources.ts";
import { createOwnNews, REMEMBERED_ROUNDS } from "./own_news.ts";
import type { OwnNews, OwnState } from "./own_news.ts";
import { incarnationOf, isHeard, NEVER, unheard } from "./peer.ts";
import type { Peer, PeerInstance } from "./peer.ts";
import { createRosterNews } from "./roster_news.ts";

/** Digests between entry instances. */
export interface PeerExchange {
  /** Instances that are there, heard lately by this one or by those that tell it. */
  live(): readonly RosterEntry[];
  /** Instances that were heard lately without another between. */
  heard(): readonly PeerInstance[];
  /** The ids of those by whose news this instance goes now. */
  sources(): ReadonlySet<string>;
  readonly role: FleetRole;
  /** How old what others have at workers is on average where it passes relays, in milliseconds; 0 among equals. */
  readonly newsAge: number;
  /** The relay that tells this instance of all others, where it is told by one. */
  teller(): PeerInstance | undefined;
  /**
   * Instances that tell this one what changes in the store; none where it has to ask the store itself.
   */
  feeders(): readonly PeerInstance[];
  /** Instances of which duties may be expected: all where all are equal, otherwise the relays that are heard. */
  dutyCandidates(): readonly PeerInstance[];
  /** Instances that are expected to be there, this one included: there within the last half minute. */
  readonly members: number;
  /** Bytes of digests sent since the start. */
  readonly bytesSent: number;
  /** Gives addresses of instances to begin with. */
  introduce(addresses: readonly string[]): void;
  /** Sends a digest to all that are told directly now, since something has changed that can't wait. */
  announce(): void;
  /** Something has changed in the store: those that this instance tells hear of it soon. */
  changed(): void;
  /** Work has begun at a worker; after a few such words a digest is sent before its time. */
  begun(): void;
  start(): Promise<void>;
  close(): void;
}

/** What the exchange is made with. */
export interface PeerExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly introduction: Introduction;
  /** Random and not 0: tells this process from all others. */
  readonly session: number;
  readonly state: () => InstanceState;
  /** All that there is to tell, asked for before each round of news. */
  readonly news: (scope: NewsScope) => OwnState;
  /** What this instance holds for the time of day, and the milliseconds since its start. */
  readonly moment: () => Pick<InstanceNews, "time" | "age">;
  /** Changes of the store's objects that an instance doesn't know that has these versions, by kind. */
  readonly feedsSince: (versions: ReadonlyMap<string, number>) => readonly FeedDelta[];
  /** Called with every digest, before `onNews`. */
  readonly onHeard: (peer: PeerInstance, digest: Digest) => void;
  readonly onNews: (source: NewsSource, news: InstanceNews) => void;
  /** The role has changed: what others have said will be told anew, under other ids. */
  readonly onRole: () => void;
  /** Instances came, went, or began or ceased to take requests. */
  readonly onChange: () => void;
  /** Something couldn't be sent or read. */
  readonly onFault: (detail: string) => void;
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
}

/** Milliseconds between two digests to the same instance. */
const PERIOD = 250;
/**
 * Runs begun after which a digest is sent before its time, and the least milliseconds between two. In a burst, a tenth
 * of a second is enough for several instances to choose the same worker for long prompts; where little begins, more
 * digests would tell nothing.
 */
const HURRY_RUNS = 3;
const LEAST_PERIOD = 60;
/** Three digests of half a period each on average, by way of two relays. */
const RELAYED_AGE = 400;
/** An instance silent for so long isn't expected back. */
const MEMBER_TIME = 30_000;
/** After its start an instance expects all that it was given addresses of, for so many milliseconds. */
const EXPECT_TIME = 2_000;
/** Addresses passed on with an introduction, and otherwise with one round in so many. */
const PASSED_ON = 8;
const PASS_ON_EVERY = 16;
/** Addresses at which nobody was ever heard or told of, to which a digest goes each period besides. */
const TRIED = 3;
/** How long an instance that has fallen silent here is taken to be gone, against the word of others that are gone too. */
const LOST_TIME = 6_000;
/** How long a change of the instances that are there waits for others, in milliseconds. */
const UPDATE_DELAY = 30;
/** Rounds of this instance's own news that are kept, to be taken out of sums that hold them. */
const KEPT_ROUNDS = 32;

/** Makes the exchange. */
export function createPeerExchange(parts: PeerExchangeParts): PeerExchange {
  const { clock, random, introduction, session } = parts;
  const peers = new Map<string, Peer>();
  const bySession = new Map<number, Peer>();
  const roster = createFleetRoster();
  /** By address, when an instance was last known to be there. */
  const seenAt = new Map<string, number>();
  const news: Readonly<Record<Exclude<NewsScope, NewsScope.None>, OwnNews>> = {
    [NewsScope.Own]: createOwnNews(),
    [NewsScope.Group]: createOwnNews(),
    [NewsScope.Fleet]: createOwnNews(),
  };
  const rosters = { zone: createRosterNews(), all: createRosterNews() };
  const ownRounds = new Map<number, OwnState>();
  let tree: FleetTree = { role: FleetRole.Equal, relays: new Map(), watchers: new Set() };
  let socket: Datagrams | undefined;
  let sequence = 0;
  let bytesSent = 0;
  let sentAt = NEVER;
  let begun = 0;
  let startedAt = NEVER;
  let isStarting = true;
  let memberCount = 1;
  let lastLive: readonly string[] = [];
  let updating: Timer | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const sources = createNewsSources({
    clock,
    zone: introduction.zone,
    tree: () => tree,
    peers: () => peers.values(),
    ownAt: (round) => ownRounds.get(round),
    onNews: parts.onNews,
  });
  const heardPeers = (): Peer[] => [...peers.values()].filter(({ isLive }) => isLive);
  const heardInstances = (): PeerInstance[] =>
    heardPeers().flatMap(({ instance }) => (instance === undefined ? [] : [instance]));
  const live = (onlyFirm = false): RosterEntry[] => {
    const found = new Map<string, RosterEntry>();
    for (const peer of heardPeers()) {
      if (peer.instance !== undefined) found.set(peer.address, peer.instance);
    }
    const from = clock.now() - LOST_TIME;
    const isLost = (address: string): boolean => (peers.get(address)?.lostAt ?? NEVER) >= from;
    for (const [address, entry] of roster.list({ isLost, onlyFirm })) {
      if (address !== introduction.peers && !found.has(address)) found.set(address, entry);
    }
    return [...found.values()];
  };
  const isRelay = (address: string): boolean =>
    [...tree.relays.values()].some((relays) => relays.includes(address));
  /** What an instance is told. */
  const scopeFor = ({ instance, address }: Peer): NewsScope => {
    if (tree.role === FleetRole.Equal) return NewsScope.Own;
    const isInZone = instance?.zone === introduction.zone;
    if (isInZone && isRelay(address)) return NewsScope.Own;
    if (tree.role === FleetRole.Member) return NewsScope.None;
    if (isInZone) return NewsScope.Fleet;
    return isRelay(address) ? NewsScope.Group : NewsScope.None;
  };
  const introduce = (addresses: readonly string[]): void => {
    for (const address of addresses) {
      if (address !== introduction.peers && !peers.has(address))
        peers.set(address, unheard(address));
    }
    memberCount = countMembers();
  };
  /** Begins a round: what is told from now on is as it stands. */
  const note = (targets: readonly Peer[]): void => {
    sequence++;
    sentAt = clock.now();
    begun = 0;
    const scopes = new Set(targets.map(scopeFor));
    // Also where nobody is there to be told: what may be taken until the next telling goes by it.
    const own = parts.news(NewsScope.Own);
    news[NewsScope.Own].note(own, sequence);
    ownRounds.set(sequence, { ...own, admitted: new Map(own.admitted) });
    ownRounds.delete(sequence - KEPT_ROUNDS);
    if (scopes.has(NewsScope.Group)) {
      news[NewsScope.Group].note(parts.news(NewsScope.Group), sequence);
      rosters.zone.note(zoneEntries(), sequence);
    }
    if (scopes.has(NewsScope.Fleet))
      news[NewsScope.Fleet].note(parts.news(NewsScope.Fleet), sequence);
    if (tree.role !== FleetRole.Equal) rosters.all.note(live(true), sequence);
  };
  /** The instances of this one's zone that it hears itself: what others tell of them isn't passed on. */
  const zoneEntries = (): RosterEntry[] =>
    heardInstances().filter(({ zone }) => zone === introduction.zone);
  const send = (targets: readonly Peer[]): void => {
    note(targets);
    const state = parts.state();
    for (const target of targets) sendTo(target, state);
  };
  const sendTo = (target: Peer, state: InstanceState): void => {
    const { session: theirs, newsSequence, knowsThis } = target;
    const scope = scopeFor(target);
    const from = buildsOn(target, scope);
    const told = scope !== NewsScope.None && target.wantsNews ? news[scope].since(from) : undefined;
    const bytes = encodeDigest({
      session,
      sequence,
      ...state,
      heard: theirs === 0 ? undefined : { session: theirs, sequence: newsSequence },
      introduction: knowsThis ? undefined : introduction,
      scope,
      news: !knowsThis || told === undefined ? undefined : { ...told, ...parts.moment() },
      wantsNews: sources.follows(target),
      countsReceiver: scope === NewsScope.Fleet && sources.counts(target),
      roster: knowsThis ? rosterFor(target, scope, from) : undefined,
      feeds: feedsFor(target, scope),
      known: passedOn(target),
    });
    socket?.send(bytes, target.address);
    bytesSent += bytes.length;
    // Whoever is no partner is answered once for each of its digests.
    if (scope === NewsScope.None) target.asks = false;
  };
  /**
   * A watcher tells the relays what changes in the store, and they tell their zones; a relay that has lost its way to
   * the store is told by all others.
   */
  const feedsFor = ({ address, instance }: Peer, scope: NewsScope): readonly FeedDelta[] => {
    if (instance === undefined) return [];
    const follows = isWatcher(address) ? instance.reachesStore : !isWatcher(introduction.peers);
    const isTold = scope === NewsScope.Fleet || (isRelay(address) && !follows);
    return isTold ? parts.feedsSince(instance.versions) : [];
  };
  const isWatcher = (address: string): boolean => tree.watchers.has(address);
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
    if (tree.role === FleetRole.Equal || scope === NewsScope.Own) return undefined;
    if (scope === NewsScope.None && !asks) return undefined;
    return (scope === NewsScope.Group ? rosters.zone : rosters.all).since(from);
  };
  /** Answers a process that is new here, or that has just come to know of this one, without waiting for a round. */
  const answer = (peer: Peer): void => {
    sequence++;
    sendTo(peer, parts.state());
  };
  const passedOn = (target: Peer): string[] => {
    if (target.knowsThis && sequence % PASS_ON_EVERY !== 0) return [];
    const known = [...peers.values()].filter(({ heardAt }) => heardAt !== NEVER);
    return sample(known, { count: PASSED_ON, random }).map(({ address }) => address);
  };
  const receive = (bytes: Uint8Array): void => {
    const digest = decodeDigest(bytes);
    if (digest === undefined) {
      parts.onFault("A datagram was no digest.");
      return;
    }
    const peer = senderOf(digest);
    // A process that is known here before it has introduced itself will do so: it isn't told that it is known.
    if (peer === undefined || digest.sequence <= peer.lastSequence) return;
    const isNew = peer.heardAt === NEVER;
    const knewThis = peer.knowsThis;
    takeIn(peer, digest);
    const before = peer.instance;
    const instance = instanceOf(peer, digest);
    if (instance === undefined) return;
    peer.instance = instance;
    const changed = !peer.isLive || before?.ready !== digest.ready;
    peer.isLive = true;
    parts.onHeard(instance, digest);
    if (isNew || (peer.knowsThis && !knewThis)) answer(peer);
    if (heardNews(peer, digest) || changed) updateSoon();
  };
  /** Takes in news and instances; says whether instances are among them. */
  const heardNews = (peer: Peer, digest: Digest): boolean => {
    const { roster: told, news: said } = digest;
    if (told === undefined && said === undefined) return false;
    const isWhole = said?.isWhole ?? told?.isWhole ?? false;
    if (!isWhole && peer.newsSequence === 0) return false;
    if (told !== undefined)
      roster.told({ session: peer.session, isFirm: digest.scope !== NewsScope.None }, told);
    peer.newsSequence = sources.heard(peer, digest) ? digest.sequence : 0;
    return told !== undefined && (told.isWhole || told.there.length + told.gone.length > 0);
  };
  const takeIn = (peer: Peer, digest: Digest): void => {
    peer.lastSequence = digest.sequence;
    peer.heardAt = clock.now();
    peer.asks = digest.scope !== NewsScope.None;
    peer.wantsNews = digest.wantsNews;
    if (peer.scope !== digest.scope) {
      peer.scope = digest.scope;
      peer.newsSequence = 0;
      roster.forget(peer.session);
    }
    acknowledge(peer, digest);
    introduce(digest.known);
  };
  const senderOf = ({ session: sender, introduction: said }: Digest): Peer | undefined => {
    if (sender === session) return undefined;
    const known = bySession.get(sender);
    if (known !== undefined || said === undefined) return known;
    if (said.peers === introduction.peers) return undefined;
    const before = peers.get(said.peers);
    if (before !== undefined) bySession.delete(before.session);
    // Whoever was there before has ended: what it had, and what it knew, is over.
    const peer = { ...unheard(said.peers), isLive: before?.isLive ?? false, session: sender };
    peers.set(said.peers, peer);
    bySession.set(sender, peer);
    return peer;
  };
  const instanceOf = (peer: Peer, digest: Digest): PeerInstance | undefined => {
    const said = digest.introduction ?? peer.instance;
    if (said === undefined) return undefined;
    const { name, zone, callers, peers: address, capacity } = said;
    const { ready, reachesStore, isCurrent, versions, leaseVersion, storeReturned } = digest;
    return {
      ...{ name, zone, callers, peers: address, capacity },
      ...{ ready, reachesStore, isCurrent, versions, leaseVersion, storeReturned },
      session: digest.session,
      incarnation: incarnationOf(name, digest.session),
      heardAt: peer.heardAt,
    };
  };
  const acknowledge = (peer: Peer, { heard }: Digest): void => {
    peer.knowsThis = heard?.session === session;
    peer.has = peer.knowsThis ? (heard?.sequence ?? 0) : 0;
  };
  /** Who is told in a round. */
  const targets = (): Peer[] => {
    const all = [...peers.values()];
    if (tree.role === FleetRole.Equal) return all;
    const isTold = ({ address, instance, isLive, asks }: Peer): boolean => {
      if (isLive && asks) return true;
      if (!isRelay(address)) return false;
      return (
        tree.role === FleetRole.Relay || instance?.zone === introduction.zone || isOwn(address)
      );
    };
    const there = new Set(lastLive);
    const silent = all.filter(({ heardAt, address }) => heardAt === NEVER && !there.has(address));
    return [...all.filter(isTold), ...sample(silent, { count: TRIED, random })];
  };
  const isOwn = (address: string): boolean =>
    tree.relays.get(introduction.zone)?.includes(address) === true;
  const hurry = (): void => {
    begun++;
    // In a large fleet a digest reaches all others by way of the relays only.
    const isWorthIt = begun >= HURRY_RUNS && tree.role === FleetRole.Equal;
    if (isWorthIt && clock.now() - sentAt >= LEAST_PERIOD) send(targets());
  };
  /** Many instances come and go at the same moment. */
  const updateSoon = (): void => {
    updating ??= clock.after(UPDATE_DELAY, update);
  };
  /** The instances that are there may have changed. */
  const update = (): void => {
    updating?.close();
    updating = undefined;
    if (isClosed()) return;
    const entries = live();
    const now = clock.now();
    const addresses = entries.map((entry) => entry.peers);
    for (const address of [...lastLive, ...addresses]) seenAt.set(address, now);
    lastLive = addresses;
    introduce(addresses);
    memberCount = countMembers();
    const { role } = tree;
    tree = planTree({ ...introduction, ready: parts.state().ready }, entries);
    if (tree.role !== role) {
      sources.restart();
      parts.onRole();
    }
    sources.expire();
    parts.onChange();
  };
  const expire = (): void => {
    const now = clock.now();
    let changed = false;
    for (const peer of peers.values()) {
      if (!peer.isLive || isHeard(peer, now)) continue;
      peer.isLive = false;
      peer.lostAt = now;
      // What it had here is forgotten with it: once it is back, everything must be told again.
      peer.newsSequence = 0;
      changed = true;
    }
    if (roster.keepTellers(new Set(heardPeers().map((peer) => peer.session)), now)) changed = true;
    if (isStarting && now - startedAt > EXPECT_TIME) {
      isStarting = false;
      changed = true;
    }
    if (sources.expire()) changed = true;
    if (changed) update();
    else memberCount = countMembers();
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      expire();
      if (clock.now() - sentAt >= PERIOD / 2) send(targets());
      await sleep(clock, PERIOD * (0.9 + 0.2 * random.next()));
    }
  };
  const countMembers = (): number => {
    const from = clock.now() - MEMBER_TIME;
    const there = new Set(live().map((entry) => entry.peers));
    for (const [address, at] of seenAt) {
      if (at >= from) there.add(address);
      else seenAt.delete(address);
    }
    // Until it has heard them, each of many that start together would take what all may have for its own.
    if (isStarting) for (const address of peers.keys()) there.add(address);
    return 1 + there.size;
  };
  return {
    live: () => live(),
    heard: heardInstances,
    sources: () => sources.ids(),
    get role() {
      return tree.role;
    },
    get newsAge() {
      return tree.role === FleetRole.Equal ? 0 : RELAYED_AGE;
    },
    teller: () => {
      const teller = sources.teller();
      return teller === undefined ? undefined : bySession.get(teller)?.instance;
    },
    feeders: () => {
      if (tree.role === FleetRole.Equal || isWatcher(introduction.peers)) return [];
      if (tree.role === FleetRole.Relay)
        return heardInstances().filter((one) => isWatcher(one.peers) && one.reachesStore);
      const teller = sources.teller();
      const feeder = teller === undefined ? undefined : bySession.get(teller)?.instance;
      return feeder?.isCurrent === true ? [feeder] : [];
    },
    dutyCandidates: () =>
      heardInstances().filter(
        (instance) => tree.role === FleetRole.Equal || isRelay(instance.peers),
      ),
    get members() {
      return memberCount;
    },
    get bytesSent() {
      return bytesSent;
    },
    introduce,
    begun: hurry,
    announce: () => send(targets()),
    changed: () => {
      if (tree.role === FleetRole.Relay && clock.now() - sentAt >= LEAST_PERIOD) send(targets());
    },
    start: async () => {
      const { onFault } = parts;
      startedAt = clock.now();
      socket = await parts.open({ address: introduction.peers, onMessage: receive, onFault });
      parts.onChange();
      void run();
    },
    close: () => {
      closed = true;
      updating?.close();
      socket?.close();
      socket = undefined;
    },
  };
}
