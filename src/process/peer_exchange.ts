/**
 * Exchange of digests between the entry instances: which instances are live, and the admitted
 * requests, usage and running work of each.
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
import type { DatagramSocketOptions, DatagramSocket } from "../connection/datagram_socket.ts";
import { sample } from "../decision/index.ts";
import { sleep } from "../interface/index.ts";
import type { Clock, FeedDelta, Random, Timer } from "../interface/index.ts";
import { decodeDigest, encodeDigest } from "./digest_codec.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate, InstanceState, Introduction, RosterEntry } from "./digest.ts";
import { createDigestRounds } from "./digest_rounds.ts";
import type { DigestRounds } from "./digest_rounds.ts";
import { createFleetTable } from "./fleet_table.ts";
import { FleetRole } from "./fleet_topology.ts";
import { createUpdateSources } from "./update_sources.ts";
import type { UpdateSourcesParts } from "./update_sources.ts";
import type { InstanceCounts } from "./count_log.ts";
import { incarnationOf, NEVER } from "./peer.ts";
import type { Peer, PeerInstance } from "./peer.ts";
import type { RunningTime } from "./running_time.ts";

/** Exchange of digests between entry instances. */
export interface PeerExchange {
  /**
   * Returns the live instances: those with a recent digest and those that other instances report.
   */
  live(): readonly RosterEntry[];
  /** Returns the live instances that send digests to this one. */
  directPeers(): readonly PeerInstance[];
  /** Returns the ids of the sources whose updates are applied at the moment. */
  sources(): ReadonlySet<string>;
  readonly role: FleetRole;
  /**
   * Average age in milliseconds of other instances' counts if they pass through relays; 0 in a
   * small fleet.
   */
  readonly updateAge: number;
  /**
   * Returns the instances that forward store changes to this one; empty if it must query the store
   * itself.
   */
  feeders(): readonly PeerInstance[];
  /** Returns the addresses of the instances that watch the store. */
  watchers(): readonly string[];
  /**
   * Returns the instances that can hold a lease: all in a small fleet, otherwise the relays that
   * send digests to this instance.
   */
  leaseCandidates(): readonly PeerInstance[];
  /**
   * Number of instances expected to be present, including this one: those that were live within the
   * last half minute.
   */
  readonly members: number;
  /** Whether this instance has just started and has not heard from every address that it knows. */
  readonly isDiscovering: boolean;
  /** Bytes of digests sent since the start. */
  readonly bytesSent: number;
  /** Adds addresses of possible peers. */
  addAddresses(addresses: readonly string[]): void;
  /** Starts a round at once, for a change that can't wait. */
  sendNow(): void;
  /** Reports a change of the store, which is then sent early if this instance is a relay. */
  reportStoreChange(): void;
  /**
   * Reports that a run has started at a worker. After several of these calls a digest is sent
   * early.
   */
  reportRunStart(): void;
  start(): Promise<void>;
  close(): void;
}

/** Dependencies and settings of {@linkcode createPeerExchange}. */
export interface PeerExchangeParts {
  readonly clock: Clock;
  readonly runningTime: Pick<RunningTime, "between">;
  readonly random: Random;
  readonly introduction: Introduction;
  /** Random nonzero number that identifies this process. */
  readonly session: number;
  readonly state: () => InstanceState;
  /** Returns all counts of a scope; called before each round. */
  readonly counts: (scope: UpdateScope) => InstanceCounts;
  /** Returns the estimated current time and the milliseconds since the start. */
  readonly timestamps: () => Pick<InstanceUpdate, "time" | "uptime">;
  /** Returns the store changes that an instance with the given versions (by kind) doesn't have. */
  readonly deltasSince: (versions: ReadonlyMap<string, number>) => readonly FeedDelta[];
  /** Called with every digest, before its update is applied. */
  readonly onDigest: (peer: PeerInstance, digest: Digest) => void;
  readonly onUpdate: UpdateSourcesParts["onUpdate"];
  /**
   * Called when the role has changed. Other instances' counts will be sent again, under other
   * source ids.
   */
  readonly onRoleChange: () => void;
  /** Called when instances have joined or left, or have started or stopped accepting requests. */
  readonly onChange: () => void;
  /** Called with a description when something could not be sent or read. */
  readonly onFault: (detail: string) => void;
  readonly open: (parts: DatagramSocketOptions) => Promise<DatagramSocket>;
}

/** Milliseconds between two digests to the same instance. */
const DIGEST_INTERVAL = 250;
/**
 * Number of started runs after which a digest is sent early, and the minimum milliseconds between
 * two digests. During a burst, a tenth of a second is enough for several instances to select the
 * same worker for long prompts. When few runs start, additional digests would contain nothing new.
 */
const EARLY_DIGEST_RUNS = 3;
const MIN_DIGEST_INTERVAL = 60;
/**
 * Minimum milliseconds between digests sent because of store changes. A change passes through three
 * instances, and each digest to a zone costs one message per member.
 */
const MIN_CHANGE_INTERVAL = 120;
/**
 * Average age of relayed counts in milliseconds. They arrive with the third digest, through two
 * relays, and wait half a period for each digest on average.
 */
const RELAYED_UPDATE_AGE = 400;
/** Number of silent, unreported addresses that are also sent a digest in each period. */
const RETRIED_ADDRESSES = 3;
/** Milliseconds for which changes of the live instances are batched. */
const TOPOLOGY_DELAY = 30;

/** Creates the exchange. */
export function createPeerExchange(parts: PeerExchangeParts): PeerExchange {
  const { clock, runningTime, random, introduction, session } = parts;
  const table = createFleetTable({ clock, runningTime, introduction, session });
  const rounds: DigestRounds = createDigestRounds({
    ...parts,
    table,
    sources: () => sources,
  });
  const sources = createUpdateSources({
    clock,
    zone: introduction.zone,
    topology: () => table.topology,
    peers: () => table.peers.values(),
    ownCountsAt: (round) => rounds.ownCountsAt(round),
    onUpdate: parts.onUpdate,
  });
  let socket: DatagramSocket | undefined;
  let bytesSent = 0;
  let sentAt = NEVER;
  let startedRuns = 0;
  let topologyTimer: Timer | undefined;
  let earlyTimer: Timer | undefined;
  let closed = false;
  const isClosed = (): boolean => closed;

  const sendDigest = (target: Peer, digest: Digest): void => {
    const bytes = encodeDigest(digest);
    socket?.send(bytes, target.address);
    bytesSent += bytes.length;
  };
  const sendAll = (): void => {
    const receivers = targets();
    rounds.begin(receivers);
    sentAt = clock.now();
    startedRuns = 0;
    const state = parts.state();
    for (const target of receivers) sendDigest(target, rounds.digestFor(target, state));
  };
  /** Sends the changes that were delayed by the minimum interval. */
  const sendDelayed = (): void => {
    earlyTimer = undefined;
    if (!isClosed() && clock.now() - sentAt >= MIN_CHANGE_INTERVAL) sendAll();
  };
  const canSend = (): boolean => clock.now() - sentAt >= MIN_DIGEST_INTERVAL;
  /** Returns the receivers of a round. */
  const targets = (): Peer[] => {
    const all = [...table.peers.values()];
    if (table.topology.role === FleetRole.Mesh) return all;
    const ownRelays = table.topology.relays.get(introduction.zone) ?? [];
    const isPartner = ({ address }: Peer): boolean =>
      table.topology.role === FleetRole.Relay
        ? table.isRelay(address)
        : ownRelays.includes(address);
    return [
      ...all.filter((peer) => (peer.isLive && peer.expectsDigest) || isPartner(peer)),
      ...sample(table.silent(), { count: RETRIED_ADDRESSES, random }),
    ];
  };
  const receive = (bytes: Uint8Array, source: string): void => {
    const digest = decodeDigest(bytes);
    if (digest === undefined) {
      parts.onFault("A received datagram is not a valid digest.");
      return;
    }
    const peer = table.senderOf(digest);
    if (peer === undefined) introduceTo(source, digest);
    if (peer === undefined || digest.sequence <= peer.lastSequence) return;
    const isNew = peer.receivedAt === NEVER;
    const acknowledgedSession = peer.acknowledgesSession;
    recordDigest(peer, digest);
    const before = peer.instance;
    const instance = instanceOf(peer, digest);
    if (instance === undefined) return;
    peer.instance = instance;
    const changed = !peer.isLive || before?.ready !== digest.ready;
    peer.isLive = true;
    parts.onDigest(instance, digest);
    // A new peer, or one that has just acknowledged this instance, gets a reply at once.
    if (isNew || (peer.acknowledgesSession && !acknowledgedSession))
      sendDigest(peer, rounds.answer(peer));
    if (applyUpdate(peer, digest) || changed) scheduleTopologyUpdate();
  };
  /**
   * Replies to a digest of an unknown process without an introduction: the process knows an earlier
   * one at this address. As the reply doesn't acknowledge it, its next digest contains one.
   */
  const introduceTo = (source: string, { session: sender, introduction: known }: Digest): void => {
    if (sender === session || known !== undefined) return;
    table.addAddresses([source]);
    const peer = table.peers.get(source);
    if (peer !== undefined) sendDigest(peer, rounds.answer(peer));
  };
  /** Applies the update and the roster of a digest. Returns whether the roster has changed. */
  const applyUpdate = (peer: Peer, digest: Digest): boolean => {
    const { roster, update: counts } = digest;
    if (roster === undefined && counts === undefined) return false;
    const isSnapshot = counts?.isSnapshot ?? roster?.isSnapshot ?? false;
    if (!isSnapshot && peer.updateSequence === 0) return false;
    if (roster !== undefined) {
      const isAuthoritative = digest.scope !== UpdateScope.None;
      table.roster.receive({ session: peer.session, isAuthoritative }, roster);
    }
    peer.updateSequence = sources.receive(peer, digest) ? digest.sequence : 0;
    return (
      roster !== undefined &&
      (roster.isSnapshot || roster.live.length + roster.removedSessions.length > 0)
    );
  };
  const recordDigest = (peer: Peer, digest: Digest): void => {
    peer.lastSequence = digest.sequence;
    peer.receivedAt = clock.now();
    peer.expectsDigest = digest.scope !== UpdateScope.None;
    peer.wantsUpdate = digest.wantsUpdate;
    if (peer.scope !== digest.scope) {
      peer.scope = digest.scope;
      peer.updateSequence = 0;
      table.roster.forget(peer.session);
    }
    peer.acknowledgesSession = digest.acknowledged?.session === session;
    peer.acknowledgedRound = peer.acknowledgesSession ? (digest.acknowledged?.sequence ?? 0) : 0;
    table.addAddresses(digest.knownAddresses);
  };
  const instanceOf = (peer: Peer, digest: Digest): PeerInstance | undefined => {
    const knownIntroduction = digest.introduction ?? peer.instance;
    if (knownIntroduction === undefined) return undefined;
    const { name, zone, callers, peers, capacity } = knownIntroduction;
    const { ready, reachesStore, isCurrent, versions, leaseVersion, storeAnsweredAt } = digest;
    const { plans, limits, tries, partReports } = digest;
    return {
      ...{ name, zone, callers, peers, capacity },
      ...{
        ready,
        reachesStore,
        isCurrent,
        versions,
        leaseVersion,
        storeAnsweredAt,
        plans,
        limits,
        tries,
        partReports,
      },
      session: digest.session,
      incarnation: incarnationOf(name, digest.session),
      receivedAt: peer.receivedAt,
    };
  };
  /** Batches changes, since many instances can come and go at the same time. */
  const scheduleTopologyUpdate = (): void => {
    topologyTimer ??= clock.after(TOPOLOGY_DELAY, updateTopology);
  };
  /** Recomputes the topology from the live instances. */
  const updateTopology = (): void => {
    topologyTimer?.close();
    topologyTimer = undefined;
    if (isClosed()) return;
    if (table.plan(parts.state().ready)) {
      sources.reset();
      parts.onRoleChange();
    }
    sources.expire();
    parts.onChange();
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      const hasLostSource = sources.expire();
      if (table.expire() || hasLostSource) updateTopology();
      if (clock.now() - sentAt >= DIGEST_INTERVAL / 2) sendAll();
      await sleep(clock, DIGEST_INTERVAL * (0.9 + 0.2 * random.next()));
    }
  };
  const currentRelay = (): PeerInstance | undefined => table.findBySession(sources.relaySession());
  return {
    live: () => table.live(),
    directPeers: () => table.directPeers(),
    sources: () => sources.ids(),
    get role() {
      return table.topology.role;
    },
    get updateAge() {
      return table.topology.role === FleetRole.Mesh ? 0 : RELAYED_UPDATE_AGE;
    },
    feeders: () => {
      const { role } = table.topology;
      if (role === FleetRole.Mesh || table.isWatcher(introduction.peers)) return [];
      if (role === FleetRole.Relay) {
        return table.directPeers().filter((one) => table.isWatcher(one.peers) && one.reachesStore);
      }
      const feeder = currentRelay();
      return feeder?.isCurrent === true ? [feeder] : [];
    },
    watchers: () => {
      const { role, watchers } = table.topology;
      if (role !== FleetRole.Mesh) return [...watchers];
      return [introduction.peers, ...table.live().map(({ peers }) => peers)];
    },
    leaseCandidates: () =>
      table
        .directPeers()
        .filter(({ peers }) => table.topology.role === FleetRole.Mesh || table.isRelay(peers)),
    get members() {
      return table.members;
    },
    get isDiscovering() {
      return table.isDiscovering;
    },
    get bytesSent() {
      return bytesSent;
    },
    addAddresses: (addresses) => table.addAddresses(addresses),
    reportRunStart: () => {
      startedRuns++;
      // In a large fleet, a digest reaches the others only through relays, so sending it early
      // gains little.
      const isUseful = startedRuns >= EARLY_DIGEST_RUNS && table.topology.role === FleetRole.Mesh;
      if (isUseful && canSend()) sendAll();
    },
    sendNow: sendAll,
    reportStoreChange: () => {
      if (table.topology.role !== FleetRole.Relay || isClosed()) return;
      const remaining = sentAt + MIN_CHANGE_INTERVAL - clock.now();
      if (remaining <= 0) sendAll();
      else earlyTimer ??= clock.after(remaining, sendDelayed);
    },
    start: async () => {
      const { onFault } = parts;
      table.start();
      socket = await parts.open({
        address: introduction.peers,
        onMessage: receive,
        onError: onFault,
      });
      parts.onChange();
      void run();
    },
    close: () => {
      closed = true;
      topologyTimer?.close();
      earlyTimer?.close();
      socket?.close();
      socket = undefined;
    },
  };
}
