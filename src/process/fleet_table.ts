import type { Clock } from "../interface/index.ts";
import type { Digest, Introduction, RosterEntry } from "./digest.ts";
import { createFleetRoster } from "./fleet_roster.ts";
import type { FleetRoster } from "./fleet_roster.ts";
import { FleetRole, planTopology } from "./fleet_topology.ts";
import type { FleetTopology } from "./fleet_topology.ts";
import { isResponding, NEVER, createPeer } from "./peer.ts";
import type { Peer, PeerInstance } from "./peer.ts";
import type { RunningTime } from "./running_time.ts";

/** The peers known to this instance, and its role in the fleet's topology. */
export interface FleetTable {
  readonly topology: FleetTopology;
  /** Instances as reported by other instances. */
  readonly roster: FleetRoster;
  /** All known addresses, whether or not a digest has arrived from them. */
  readonly peers: ReadonlyMap<string, Peer>;
  /** Number of instances expected to be present, including this one. */
  readonly members: number;
  /** Whether this instance has just started and has not heard from every address that it knows. */
  readonly isDiscovering: boolean;
  /** Adds addresses of possible peers. */
  addAddresses(addresses: readonly string[]): void;
  /**
   * Returns the peer that sent a digest, creating it if the digest contains an introduction;
   * undefined if it must introduce itself first.
   */
  senderOf(digest: Digest): Peer | undefined;
  findBySession(session: number | undefined): PeerInstance | undefined;
  /** Returns the live peers that send digests to this instance. */
  directPeers(): PeerInstance[];
  /**
   * Returns all live instances, or only those that may be forwarded if `onlyAuthoritative` is set.
   */
  live(options?: { onlyAuthoritative: boolean }): RosterEntry[];
  /** Returns addresses that no instance reports and from which nothing has arrived for a while. */
  silent(): Peer[];
  isRelay(address: string): boolean;
  isWatcher(address: string): boolean;
  /** Marks silent peers as lost. Returns whether anything has changed. */
  expire(): boolean;
  /** Recomputes the topology. Returns whether this instance's role has changed. */
  plan(ready: boolean): boolean;
  start(): void;
}

/** Milliseconds after which a silent instance is no longer expected to return. */
const MEMBER_TIMEOUT = 30_000;
/**
 * Milliseconds after the start during which this instance expects an instance at every known
 * address.
 */
const STARTUP_TIME = 2_000;
/**
 * Milliseconds after which digests are sent to a silent address again, since a new process without
 * any peers may have started there. Before that, another instance may still report it as live.
 */
const SILENT_RETRY_DELAY = 5_000;
/**
 * Milliseconds for which an instance that this one has lost is treated as failed even if lost
 * reporters still list it.
 */
const LOST_TTL = 6_000;

/** Creates a table without peers. */
export function createFleetTable(parts: {
  readonly clock: Clock;
  readonly runningTime: Pick<RunningTime, "between">;
  readonly introduction: Introduction;
  readonly session: number;
}): FleetTable {
  const { clock, runningTime, introduction, session } = parts;
  const self = introduction.peers;
  const peers = new Map<string, Peer>();
  const bySession = new Map<number, Peer>();
  const roster = createFleetRoster();
  /** When an instance was last known to be live, by address. */
  const lastLiveAt = new Map<string, number>();
  let topology: FleetTopology = { role: FleetRole.Mesh, relays: new Map(), watchers: new Set() };
  let startedAt = NEVER;
  let isStarting = true;
  let members = 1;
  /** Addresses that were live at the last plan. */
  let liveAddresses: ReadonlySet<string> = new Set();

  const livePeers = (): Peer[] => [...peers.values()].filter(({ isLive }) => isLive);
  const directPeers = (): PeerInstance[] =>
    livePeers().flatMap(({ instance }) => (instance === undefined ? [] : [instance]));
  const live: FleetTable["live"] = ({ onlyAuthoritative } = { onlyAuthoritative: false }) => {
    const found = new Map(directPeers().map((one): [string, RosterEntry] => [one.peers, one]));
    const from = clock.now() - LOST_TTL;
    const isLost = (address: string): boolean => (peers.get(address)?.lostAt ?? NEVER) >= from;
    for (const [address, entry] of roster.list({ isLost, onlyAuthoritative })) {
      if (address !== self && !found.has(address)) found.set(address, entry);
    }
    return [...found.values()];
  };
  const addAddresses = (addresses: readonly string[]): void => {
    const unknown = addresses.filter((address) => address !== self && !peers.has(address));
    for (const address of unknown) peers.set(address, createPeer(address));
    if (unknown.length > 0) updateMemberCount();
  };
  const updateMemberCount = (): void => {
    const from = clock.now() - MEMBER_TIMEOUT;
    const expected = new Set(live().map((entry) => entry.peers));
    for (const [address, at] of lastLiveAt) {
      if (at >= from) expected.add(address);
      else lastLiveAt.delete(address);
    }
    // Instances that start together would otherwise each use a quota meant for all of them until
    // the first digests arrive.
    if (isStarting) for (const address of peers.keys()) expected.add(address);
    members = 1 + expected.size;
  };
  return {
    roster,
    peers,
    get topology() {
      return topology;
    },
    get members() {
      return members;
    },
    get isDiscovering() {
      return isStarting && [...peers.values()].some(({ receivedAt }) => receivedAt === NEVER);
    },
    addAddresses,
    senderOf: ({ session: sender, introduction: received }) => {
      if (sender === session) return undefined;
      const known = bySession.get(sender);
      if (known !== undefined || received === undefined) return known;
      if (received.peers === self) return undefined;
      const before = peers.get(received.peers);
      if (before !== undefined) bySession.delete(before.session);
      // The previous process at this address has ended. Its counts and acknowledgements no longer
      // apply.
      const peer = {
        ...createPeer(received.peers),
        isLive: before?.isLive ?? false,
        session: sender,
      };
      peers.set(received.peers, peer);
      bySession.set(sender, peer);
      return peer;
    },
    findBySession: (one) => (one === undefined ? undefined : bySession.get(one)?.instance),
    directPeers,
    live,
    silent: () => {
      const from = clock.now() - SILENT_RETRY_DELAY;
      return [...peers.values()].filter(
        ({ isLive, lostAt, address }) => !isLive && lostAt < from && !liveAddresses.has(address),
      );
    },
    isRelay: (address) => [...topology.relays.values()].some((relays) => relays.includes(address)),
    isWatcher: (address) => topology.watchers.has(address),
    expire: () => {
      const now = clock.now();
      let changed = false;
      for (const peer of livePeers()) {
        if (isResponding(peer, { now, runningTime })) continue;
        peer.isLive = false;
        peer.lostAt = now;
        // The local copy of its counts is discarded, so the peer must send a full snapshot when it
        // returns.
        peer.updateSequence = 0;
        // A new process at the address has no state for this instance and would ignore its updates
        // without an introduction.
        peer.acknowledgesSession = false;
        changed = true;
      }
      const reporters = new Set(livePeers().map((peer) => peer.session));
      if (roster.retainReporters(reporters, now)) changed = true;
      if (isStarting && now - startedAt > STARTUP_TIME) {
        isStarting = false;
        changed = true;
      }
      if (!changed) updateMemberCount();
      return changed;
    },
    plan: (ready) => {
      const now = clock.now();
      const entries = live();
      const addresses = entries.map((entry) => entry.peers);
      for (const address of [...liveAddresses, ...addresses]) lastLiveAt.set(address, now);
      liveAddresses = new Set(addresses);
      addAddresses(addresses);
      updateMemberCount();
      const { role } = topology;
      topology = planTopology({ ...introduction, ready }, entries);
      return topology.role !== role;
    },
    start: () => {
      startedAt = clock.now();
    },
  };
}
