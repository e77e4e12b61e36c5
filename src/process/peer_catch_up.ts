import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { FleetRole } from "./fleet_topology.ts";
import type { PeerInstance } from "./peer.ts";
import type { FetchObjects } from "./peer_fetch.ts";
import type { RoutedLog } from "./routed_log.ts";

/**
 * Fetches from peers the store changes that neither the store nor a digest has delivered in time.
 */
export interface PeerCatchUp {
  /** Called with a peer's digest after the store changes in it have been applied. */
  receive(peer: PeerInstance): void;
  /** Whether changes of the kind have been missing here for some time and no peer has sent them. */
  isBehind(kind: string): boolean;
}

/** Dependencies of {@linkcode createPeerCatchUp}. */
export interface PeerCatchUpParts {
  readonly clock: Clock;
  readonly random: Random;
  /** Returns this instance's role. */
  readonly role: () => FleetRole;
  /** Followers by kind of object. */
  readonly feeds: ReadonlyMap<string, FeedFollower>;
  readonly log: RoutedLog;
  readonly fetch: FetchObjects;
}

/** Milliseconds to wait for the store to deliver a change before it is fetched from a peer. */
const FETCH_DELAY = 350;
/**
 * Upper bound in milliseconds of the random delay before a fetch in a large fleet. If a relay
 * reports a change that doesn't fit into its digests, its whole zone would otherwise fetch from it
 * at the same moment.
 */
const FETCH_JITTER = 120;
/** Milliseconds after which a second peer is asked, because the first one may be frozen. */
const NEXT_PEER_DELAY = 250;

/** Milliseconds after which an instance that still misses changes queries the store itself. */
const BEHIND_TIMEOUT = 550;

/** Missing changes of one kind, and the fetches in progress. */
interface MissingChanges {
  /** The highest version that a peer has reported. */
  version: number;
  since: number;
  /** Addresses of the peers with a pending fetch, and when the last fetch started. */
  readonly pendingPeers: Set<string>;
  lastFetchAt: number;
}

/**
 * Creates the component. An instance of a small fleet usually receives changes from the store
 * first, so it waits before it fetches. An instance of a large fleet detects a missing change as
 * soon as a digest reports a newer version, and fetches it after a short random delay.
 */
export function createPeerCatchUp(parts: PeerCatchUpParts): PeerCatchUp {
  const { clock, random, role, feeds, log } = parts;
  const missing = new Map<string, MissingChanges>();

  const delay = (feed: FeedFollower): number => {
    if (feed.version === 0) return 0;
    return role() === FleetRole.Mesh ? FETCH_DELAY : random.next() * FETCH_JITTER;
  };
  const fetchFrom = async (peer: PeerInstance, kind: string, feed: FeedFollower): Promise<void> => {
    const peerVersion = peer.versions.get(kind) ?? 0;
    await sleep(clock, delay(feed));
    if (peerVersion <= feed.version) return;
    try {
      const found = await parts.fetch(peer.peers, kind);
      log.changed("fetched-from-peer", { kind, peer: peer.name, version: found.version });
      feed.applyList(found);
    } catch (error) {
      log.fault("fetch-failed", { kind, peer: peer.name, detail: String(error) });
    }
  };
  /**
   * Records and returns what this instance lacks compared to a peer; undefined if it lacks nothing.
   */
  const recordMissing = (
    peer: PeerInstance,
    kind: string,
    feed: FeedFollower,
  ): MissingChanges | undefined => {
    const version = peer.versions.get(kind) ?? 0;
    if (version <= feed.version) return undefined;
    const known = missing.get(kind);
    const isNew = known === undefined || known.version <= feed.version;
    const found = {
      version: Math.max(version, known?.version ?? 0),
      since: isNew ? clock.now() : known.since,
      pendingPeers: known?.pendingPeers ?? new Set<string>(),
      lastFetchAt: known?.lastFetchAt ?? -Infinity,
    };
    missing.set(kind, found);
    return found;
  };
  const catchUp = async (peer: PeerInstance, kind: string, feed: FeedFollower): Promise<void> => {
    const found = recordMissing(peer, kind, feed);
    if (found === undefined) return;
    const { pendingPeers } = found;
    const now = clock.now();
    const canFetch = pendingPeers.size === 0 || now - found.lastFetchAt >= NEXT_PEER_DELAY;
    if (pendingPeers.has(peer.peers) || !canFetch) return;
    pendingPeers.add(peer.peers);
    found.lastFetchAt = now;
    await fetchFrom(peer, kind, feed);
    pendingPeers.delete(peer.peers);
  };
  return {
    receive: (peer) => {
      for (const [kind, feed] of feeds) void catchUp(peer, kind, feed);
    },
    isBehind: (kind) => {
      const found = missing.get(kind);
      if (found === undefined || found.version <= (feeds.get(kind)?.version ?? 0)) return false;
      return clock.now() - found.since >= BEHIND_TIMEOUT;
    },
  };
}
