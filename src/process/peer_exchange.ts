/**
 * Digests between the entry instances: who is there, and what each has admitted, counted and running.
 *
 * Digests are datagrams: a connection between two instances can go silent for good without either noticing. Every
 * one says that the sender is there and whether it takes requests, and tells the news: what has changed since the last
 * news that the receiver is known to have. A digest that is lost costs nothing but time, since what isn't acknowledged
 * is told again.
 *
 * The period is a choice between bytes and how well work is spread while much of it comes at once: with news half a
 * second apart, two to four in a hundred of what is asked on a day of bursts were served later or not at all, since
 * several instances chose the same workers meanwhile.
 *
 * @module
 */
import type { DatagramParts, Datagrams } from "../connection/datagrams.ts";
import { sample } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";
import { decodeDigest, encodeDigest } from "./digest_codec.ts";
import type { Digest, InstanceNews, InstanceState, Introduction } from "./digest.ts";
import { createOwnNews } from "./own_news.ts";
import type { OwnState } from "./own_news.ts";

/** Another instance, as it was last heard. */
export interface PeerInstance extends Introduction, InstanceState {
  /** Tells the process from the one before it at the same place. */
  readonly incarnation: string;
  /** The store's version of the last change that it knows, by kind of object. */
  readonly versions: ReadonlyMap<string, number>;
  /** In the clock's milliseconds. */
  readonly heardAt: number;
}

/** Digests between entry instances. */
export interface PeerExchange {
  /** Instances heard lately. */
  live(): readonly PeerInstance[];
  /**
   * Instances that are expected to be there, this one included: heard within half a minute, or named to an instance
   * that has just started.
   */
  readonly members: number;
  /** Bytes of digests sent since the start. */
  readonly bytesSent: number;
  /** Gives addresses of instances to begin with. */
  introduce(addresses: readonly string[]): void;
  /** Sends a digest to all now, since something has changed that can't wait. */
  announce(): void;
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
  readonly news: () => OwnState;
  /** What this instance holds for the time of day, and the milliseconds since its start. */
  readonly moment: () => Pick<InstanceNews, "time" | "age">;
  /** Called with every digest, before `onNews`. */
  readonly onHeard: (peer: PeerInstance) => void;
  readonly onNews: (peer: PeerInstance, news: InstanceNews) => void;
  /** Instances came, went, or began or ceased to take requests. */
  readonly onChange: () => void;
  /** Something couldn't be sent or read. */
  readonly onFault: (detail: string) => void;
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
}

/** Milliseconds between two digests to the same instance, in a fleet of up to {@linkcode FAN_OUT}. */
const PERIOD = 250;
/** Digests sent a period: in a larger fleet each instance is told less often, for the same bytes a second. */
const FAN_OUT = 12;
/**
 * Runs begun after which a digest is sent before its time, and the least milliseconds between two. In a burst, a tenth
 * of a second is enough for several instances to choose the same worker for long prompts; where little begins, more
 * digests would tell nothing.
 */
const HURRY_RUNS = 3;
const LEAST_PERIOD = 60;
/** An instance that wasn't heard for so long is taken to be gone: lost packets alone don't make four gaps. */
const LIVE_TIME = 1_100;
const LIVE_PERIODS = 4.4;
/** An instance silent for so long isn't expected back. */
const MEMBER_TIME = 30_000;
/** After its start an instance expects all that it was given addresses of, for so many milliseconds. */
const EXPECT_TIME = 2_000;
/** Addresses passed on with an introduction, and otherwise with one round in so many. */
const PASSED_ON = 8;
const PASS_ON_EVERY = 16;
const NEVER = -Infinity;

interface Peer {
  readonly address: string;
  heardAt: number;
  isLive: boolean;
  instance: PeerInstance | undefined;
  session: number;
  lastSequence: number;
  /** The last digest with news that came of it. */
  newsSequence: number;
  /** Whether its digests name this session. */
  knowsThis: boolean;
  /** The last round of this instance's news that it has. */
  has: number;
}

/** Makes the exchange. */
export function createPeerExchange(parts: PeerExchangeParts): PeerExchange {
  const { clock, random, introduction, session } = parts;
  const peers = new Map<string, Peer>();
  const bySession = new Map<number, Peer>();
  const own = createOwnNews();
  let socket: Datagrams | undefined;
  let sequence = 0;
  let bytesSent = 0;
  let sentAt = NEVER;
  let begun = 0;
  let startedAt = NEVER;
  let isStarting = true;
  let closed = false;
  const isClosed = (): boolean => closed;

  const rounds = (): number => Math.max(1, peers.size / FAN_OUT);
  const liveTime = (): number => Math.max(LIVE_TIME, LIVE_PERIODS * PERIOD * rounds());
  const introduce = (addresses: readonly string[]): void => {
    for (const address of addresses) {
      if (address !== introduction.peers && !peers.has(address))
        peers.set(address, unheard(address));
    }
  };
  const send = (targets: readonly Peer[]): void => {
    sequence++;
    sentAt = clock.now();
    begun = 0;
    // Also where nobody is there to be told: what may be taken until the next telling goes by it.
    own.note(parts.news(), sequence);
    const state = parts.state();
    for (const target of targets) sendTo(target, state);
  };
  const sendTo = (target: Peer, state: InstanceState): void => {
    const { session: theirs, newsSequence, knowsThis, has } = target;
    const news = knowsThis ? own.since(has) : undefined;
    const bytes = encodeDigest({
      session,
      sequence,
      ...state,
      heard: theirs === 0 ? undefined : { session: theirs, sequence: newsSequence },
      introduction: knowsThis ? undefined : introduction,
      news: news === undefined ? undefined : { ...news, ...parts.moment() },
      known: passedOn(target),
    });
    socket?.send(bytes, target.address);
    bytesSent += bytes.length;
  };
  /** Answers a process that is new here, or that has just come to know of this one, without waiting for a round. */
  const answer = (peer: Peer): void => {
    sequence++;
    sendTo(peer, parts.state());
  };
  const passedOn = (target: Peer): string[] => {
    if (target.knowsThis && sequence % PASS_ON_EVERY !== 0) return [];
    const live = [...peers.values()].filter(({ heardAt }) => heardAt !== NEVER);
    return sample(live, { count: PASSED_ON, random }).map(({ address }) => address);
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
    peer.lastSequence = digest.sequence;
    peer.heardAt = clock.now();
    acknowledge(peer, digest);
    introduce(digest.known);
    const before = peer.instance;
    const instance = instanceOf(peer, digest);
    if (instance === undefined) return;
    peer.instance = instance;
    const changed = !peer.isLive || before?.ready !== digest.ready;
    peer.isLive = true;
    parts.onHeard(instance);
    if (isNew || (peer.knowsThis && !knewThis)) answer(peer);
    const { news } = digest;
    // Changes alone say nothing where what they build on was forgotten; everything will be told on request.
    if (news !== undefined && (news.isWhole || peer.newsSequence > 0)) {
      peer.newsSequence = digest.sequence;
      parts.onNews(instance, news);
    }
    if (changed) parts.onChange();
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
    const { ready, reachesStore, leaseVersion, news } = digest;
    return {
      name: said.name,
      zone: said.zone,
      callers: said.callers,
      peers: said.peers,
      ready,
      reachesStore,
      leaseVersion,
      incarnation: incarnationOf(said.name, digest.session),
      versions: new Map([...(peer.instance?.versions ?? []), ...(news?.versions ?? [])]),
      heardAt: peer.heardAt,
    };
  };
  const acknowledge = (peer: Peer, { heard }: Digest): void => {
    peer.knowsThis = heard?.session === session;
    peer.has = peer.knowsThis ? (heard?.sequence ?? 0) : 0;
  };
  const someone = (): Peer[] => sample([...peers.values()], { count: FAN_OUT, random });
  const hurry = (): void => {
    begun++;
    // In a large fleet a digest reaches few of the others, and its cost would grow with all that begins.
    const isWorthIt = begun >= HURRY_RUNS && peers.size <= FAN_OUT;
    if (isWorthIt && clock.now() - sentAt >= LEAST_PERIOD) send(someone());
  };
  const expire = (): void => {
    const now = clock.now();
    let changed = false;
    for (const peer of peers.values()) {
      if (!peer.isLive || peer.heardAt >= now - liveTime()) continue;
      peer.isLive = false;
      // What it had here is forgotten with it: once it is back, everything must be told again.
      peer.newsSequence = 0;
      changed = true;
    }
    if (isStarting && now - startedAt > EXPECT_TIME) {
      isStarting = false;
      changed = true;
    }
    if (changed) parts.onChange();
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      expire();
      if (clock.now() - sentAt >= PERIOD / 2) send(someone());
      await sleep(clock, PERIOD * (0.9 + 0.2 * random.next()));
    }
  };
  return {
    live: () =>
      [...peers.values()].flatMap(({ isLive, instance }) =>
        isLive && instance !== undefined ? [instance] : [],
      ),
    get members() {
      const from = clock.now() - MEMBER_TIME;
      // Until it has heard them, each of many that start together would take what all may have for its own.
      const isExpected = ({ heardAt }: Peer): boolean => heardAt >= from || isStarting;
      return 1 + [...peers.values()].filter(isExpected).length;
    },
    get bytesSent() {
      return bytesSent;
    },
    introduce,
    begun: hurry,
    announce: () => send([...peers.values()]),
    start: async () => {
      const { onFault } = parts;
      startedAt = clock.now();
      socket = await parts.open({ address: introduction.peers, onMessage: receive, onFault });
      parts.onChange();
      void run();
    },
    close: () => {
      closed = true;
      socket?.close();
      socket = undefined;
    },
  };
}

/** Names a process among all that run under the instance's name. */
export function incarnationOf(name: string, session: number): string {
  return `${name}/${session.toString(16).padStart(8, "0")}`;
}

function unheard(address: string): Peer {
  return {
    address,
    heardAt: NEVER,
    isLive: false,
    instance: undefined,
    session: 0,
    lastSequence: 0,
    newsSequence: 0,
    knowsThis: false,
    has: 0,
  };
}
