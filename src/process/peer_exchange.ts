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
/** The same where the store has changed: a change passes three instances, and each digest to a zone costs one a member. */
const CHANGE_PERIOD = 120;
/** Three digests of half a period each on average, by way of two relays. */
const RELAYED_AGE = 400;
/** Addresses at which nobody is heard and of which nobody tells, to which a digest goes each period besides. */
const TRIED = 3;
/** How long a change of the instances that are there waits for others, in milliseconds. */
const UPDATE_DELAY = 30;

/** Makes the exchange. */
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
  /** Sends what couldn't wait for the next round when it came, but had to for the least time between two. */
  const sendHurried = (): void => {
    hurrying = undefined;
    if (!isClosed() && clock.now() - sentAt >= CHANGE_PERIOD) sendAll();
  };
  const isDue = (): boolean => clock.now() - sentAt >= LEAST_PERIOD;
  /** Who is told in a round. */
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
      parts.onFault("A datagram was no digest.");
      return;
    }
    const peer = table.senderOf(digest);
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
    // One that is new here, or has just come to know of this one, is answered without waiting for a round.
    if (isNew || (peer.knowsThis && !knewThis)) sendDigest(peer, rounds.answer(peer));
    if (heardNews(peer, digest) || changed) updateSoon();
  };
  /** Takes in news and instances; says whether instances are among them. */
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
  /** Many instances come and go at the same moment. */
  const updateSoon = (): void => {
    updating ??= clock.after(UPDATE_DELAY, update);
  };
  /** The instances that are there may have changed. */
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
      // In a large fleet a digest reaches all others by way of the relays only.
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
