/**
 * Exchange of digests between the entry instances: which instances are live, and what each has
 * admitted, counted and running.
 *
 * Digests are sent as datagrams, because a connection between two instances can go silent
 * permanently without either end noticing. Every digest reports that the sender is live and whether
 * it accepts requests. It also contains an update: the changes since the last update that the
 * receiver acknowledged. A lost digest only causes a delay, since unacknowledged changes are sent
 * again.
 *
 * `fleet_topology.ts` determines which instances exchange updates, depending on the size of the
 * fleet.
 *
 * @module
 */
import type { DatagramParts, Datagrams } from "../connection/datagrams.ts";
import { sample } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, FeedDelta, Random, Timer } from "../interface/index.ts";
import { decodeDigest, encodeDigest } from "./digest_codec.ts";
import { NewsScope } from "./digest.ts";
import type { Digest, InstanceNews, InstanceState, Introduction, RosterEntry } from "./digest.ts";
import { createDigestRounds } from "./digest_rounds.ts";
import type { DigestRounds } from "./digest_rounds.ts";
import { createFleetTable } from "./fleet_table.ts";
import { FleetRole } from "./fleet_tree.ts";
import { createNewsSources } from "./news_sources.ts";
import type { NewsSource } from "./news_sources.ts";
import type { OwnState } from "./own_news.ts";
import { incarnationOf, NEVER } from "./peer.ts";
import type { Peer, PeerInstance } from "./peer.ts";

/** Exchange of digests between entry instances. */
export interface PeerExchange {
  /**
   * Returns the live instances: those with a recent digest and those that other instances report.
   */
  live(): readonly RosterEntry[];
  /** Returns the live instances that send digests to this one. */
  heard(): readonly PeerInstance[];
  /** Returns the ids of the sources whose updates are applied at the moment. */
  sources(): ReadonlySet<string>;
  readonly role: FleetRole;
  /**
   * Average age in milliseconds of other instances' counts if they pass through relays; 0 in a
   * small fleet.
   */
  readonly newsAge: number;
  /**
   * Returns the instances that forward store changes to this one; empty if it must query the store
   * itself.
   */
  feeders(): readonly PeerInstance[];
  /**
   * Returns the instances that can hold a lease: all in a small fleet, otherwise the relays that
   * send digests to this instance.
   */
  dutyCandidates(): readonly PeerInstance[];
  /**
   * Number of instances expected to be present, including this one: those that were live within the
   * last half minute.
   */
  readonly members: number;
  /** Bytes of digests sent since the start. */
  readonly bytesSent: number;
  /** Adds addresses of possible peers. */
  introduce(addresses: readonly string[]): void;
  /** Sends a digest to all direct peers at once, for a change that can't wait. */
  announce(): void;
  /** Reports a change of the store, which is then sent early if this instance is a relay. */
  changed(): void;
  /**
   * Reports that a run has started at a worker. After several of these calls a digest is sent
   * early.
   */
  begun(): void;
  start(): Promise<void>;
  close(): void;
}

/** Dependencies and settings of {@linkcode createPeerExchange}. */
export interface PeerExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly introduction: Introduction;
  /** Random nonzero number that identifies this process. */
  readonly session: number;
  readonly state: () => InstanceState;
  /** Returns all counts of a scope; called before each round. */
  readonly news: (scope: NewsScope) => OwnState;
  /** Returns the estimated current time and the milliseconds since the start. */
  readonly moment: () => Pick<InstanceNews, "time" | "age">;
  /** Returns the store changes that an instance with the given versions (by kind) doesn't have. */
  readonly feedsSince: (versions: ReadonlyMap<string, number>) => readonly FeedDelta[];
  /** Called with every digest, before its update is applied. */
  readonly onHeard: (peer: PeerInstance, digest: Digest) => void;
  readonly onNews: (source: NewsSource, news: InstanceNews) => void;
  /**
   * Called when the role has changed. Other instances' counts will be sent again, under other
   * source ids.
   */
  readonly onRole: () => void;
  /** Called when instances have come or gone, or have started or stopped accepting requests. */
  readonly onChange: () => void;
  /** Called with a description when something could not be sent or read. */
  readonly onFault: (detail: string) => void;
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
}

/** Milliseconds between two digests to the same instance. */
const PERIOD = 250;
/**
 * Number of started runs after which a digest is sent early, and the minimum milliseconds between
 * two digests. During a burst, a tenth of a second is enough for several instances to select the
 * same worker for long prompts. When few runs start, additional digests would contain nothing new.
 */
const HURRY_RUNS = 3;
const LEAST_PERIOD = 60;
/**
 * Minimum milliseconds between digests sent because of store changes. A change passes through three
 * instances, and each digest to a zone costs one message per member.
 */
const CHANGE_PERIOD = 120;
/**
 * Average age of relayed counts in milliseconds: three digests of half a period each on average,
 * through two relays.
 */
const RELAYED_AGE = 400;
/** Number of silent, unreported addresses that are also sent a digest in each period. */
const TRIED = 3;
/** Milliseconds for which changes of the live instances are batched. */
const UPDATE_DELAY = 30;

/** Creates the exchange. */
export function createPeerExchange(parts: PeerExchangeParts): PeerExchange {
  const { clock, random, introduction, session } = parts;
  const table = createFleetTable({ clock, introduction, session });
  const rounds: DigestRounds = createDigestRounds({
    ...parts,
    table,
    sources: () => sources,
  });
  const sources = createNewsSources({
    clock,
    zone: introduction.zone,
    tree: () => table.tree,
    peers: () => table.peers.values(),
    ownAt: (round) => rounds.ownAt(round),
    onNews: parts.onNews,
  });
  let socket: Datagrams | undefined;
  let bytesSent = 0;
  let sentAt = NEVER;
  let begun = 0;
  let updating: Timer | undefined;
  let hurrying: Timer | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const sendDigest = (target: Peer, digest: Digest): void => {
    const bytes = encodeDigest(digest);
    socket?.send(bytes, target.address);
    bytesSent += bytes.length;
  };
  const sendAll = (): void => {
    const told = targets();
    rounds.begin(told);
    sentAt = clock.now();
    begun = 0;
    const state = parts.state();
    for (const target of told) sendDigest(target, rounds.digestFor(target, state));
  };
  /** Sends the changes that were delayed by the minimum interval. */
  const sendHurried = (): void => {
    hurrying = undefined;
    if (!isClosed() && clock.now() - sentAt >= CHANGE_PERIOD) sendAll();
  };
  const isDue = (): boolean => clock.now() - sentAt >= LEAST_PERIOD;
  /** Returns the receivers of a round. */
  const targets = (): Peer[] => {
    const all = [...table.peers.values()];
    if (table.tree.role === FleetRole.Equal) return all;
    const own = table.tree.relays.get(introduction.zone) ?? [];
    const isPartner = ({ address }: Peer): boolean =>
      table.tree.role === FleetRole.Relay ? table.isRelay(address) : own.includes(address);
    return [
      ...all.filter((peer) => (peer.isLive && peer.asks) || isPartner(peer)),
      ...sample(table.silent(), { count: TRIED, random }),
    ];
  };
  const receive = (bytes: Uint8Array): void => {
    const digest = decodeDigest(bytes);
    if (digest === undefined) {
      parts.onFault("A received datagram is not a valid digest.");
      return;
    }
    const peer = table.senderOf(digest);
    // A process that isn't known here yet is asked for its introduction by not being acknowledged.
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
    // A new peer, or one that has just acknowledged this instance, gets a reply at once.
    if (isNew || (peer.knowsThis && !knewThis)) sendDigest(peer, rounds.answer(peer));
    if (heardNews(peer, digest) || changed) updateSoon();
  };
  /** Applies the update and the roster of a digest. Returns whether the roster has changed. */
  const heardNews = (peer: Peer, digest: Digest): boolean => {
    const { roster: told, news: said } = digest;
    if (told === undefined && said === undefined) return false;
    const isWhole = said?.isWhole ?? told?.isWhole ?? false;
    if (!isWhole && peer.newsSequence === 0) return false;
    if (told !== undefined) {
      const isFirm = digest.scope !== NewsScope.None;
      table.roster.told({ session: peer.session, isFirm }, told);
    }
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
      table.roster.forget(peer.session);
    }
    peer.knowsThis = digest.heard?.session === session;
    peer.has = peer.knowsThis ? (digest.heard?.sequence ?? 0) : 0;
    table.introduce(digest.known);
  };
  const instanceOf = (peer: Peer, digest: Digest): PeerInstance | undefined => {
    const said = digest.introduction ?? peer.instance;
    if (said === undefined) return undefined;
    const { name, zone, callers, peers, capacity } = said;
    const { ready, reachesStore, isCurrent, versions, leaseVersion, storeReturned } = digest;
    const { plans, limits } = digest;
    return {
      ...{ name, zone, callers, peers, capacity },
      ...{ ready, reachesStore, isCurrent, versions, leaseVersion, storeReturned, plans, limits },
      session: digest.session,
      incarnation: incarnationOf(name, digest.session),
      heardAt: peer.heardAt,
    };
  };
  /** Batches changes, since many instances can come and go at the same time. */
  const updateSoon = (): void => {
    updating ??= clock.after(UPDATE_DELAY, update);
  };
  /** Recomputes the topology from the live instances. */
  const update = (): void => {
    updating?.close();
    updating = undefined;
    if (isClosed()) return;
    if (table.plan(parts.state().ready)) {
      sources.restart();
      parts.onRole();
    }
    sources.expire();
    parts.onChange();
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      const hasLostSource = sources.expire();
      if (table.expire() || hasLostSource) update();
      if (clock.now() - sentAt >= PERIOD / 2) sendAll();
      await sleep(clock, PERIOD * (0.9 + 0.2 * random.next()));
    }
  };
  const teller = (): PeerInstance | undefined => table.ofSession(sources.teller());
  return {
    live: () => table.live(),
    heard: () => table.heard(),
    sources: () => sources.ids(),
    get role() {
      return table.tree.role;
    },
    get newsAge() {
      return table.tree.role === FleetRole.Equal ? 0 : RELAYED_AGE;
    },
    feeders: () => {
      const { role } = table.tree;
      if (role === FleetRole.Equal || table.isWatcher(introduction.peers)) return [];
      if (role === FleetRole.Relay) {
        return table.heard().filter((one) => table.isWatcher(one.peers) && one.reachesStore);
      }
      const feeder = teller();
      return feeder?.isCurrent === true ? [feeder] : [];
    },
    dutyCandidates: () =>
      table
        .heard()
        .filter(({ peers }) => table.tree.role === FleetRole.Equal || table.isRelay(peers)),
    get members() {
      return table.members;
    },
    get bytesSent() {
      return bytesSent;
    },
    introduce: (addresses) => table.introduce(addresses),
    begun: () => {
      begun++;
      // In a large fleet, a digest reaches the others only through relays, so sending it early
      // gains little.
      const isWorthIt = begun >= HURRY_RUNS && table.tree.role === FleetRole.Equal;
      if (isWorthIt && isDue()) sendAll();
    },
    announce: sendAll,
    changed: () => {
      if (table.tree.role !== FleetRole.Relay || isClosed()) return;
      const left = sentAt + CHANGE_PERIOD - clock.now();
      if (left <= 0) sendAll();
      else hurrying ??= clock.after(left, sendHurried);
    },
    start: async () => {
      const { onFault } = parts;
      table.start();
      socket = await parts.open({ address: introduction.peers, onMessage: receive, onFault });
      parts.onChange();
      void run();
    },
    close: () => {
      closed = true;
      updating?.close();
      hurrying?.close();
      socket?.close();
      socket = undefined;
    },
  };
}
