import { sleep } from "../interface/index.ts";
import type { Clock, Random } from "../interface/index.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { FleetRole } from "./fleet_tree.ts";
import type { PeerInstance } from "./peer.ts";
import type { FetchedObjects } from "./peer_fetch.ts";
import type { RoutedLog } from "./routed_log.ts";

/** Fetches from other instances what the store or their digests should have told this one. */
export interface PeerCatchUp {
  /** A peer's digest was heard, and what it told of the store was taken in. */
  heard(peer: PeerInstance): void;
  /** Whether this instance has known for a while that changes of the kind are missing here, and got them from nobody. */
  isBehind(kind: string): boolean;
}

/** What catching up is made with. */
export interface PeerCatchUpParts {
  readonly clock: Clock;
  readonly random: Random;
  /** What this instance is to the others. */
  readonly role: () => FleetRole;
  /** By kind of object. */
  readonly feeds: ReadonlyMap<string, FeedFollower>;
  readonly log: RoutedLog;
  /** Fetches all objects of a kind from the instance at an address; rejects where it doesn't answer in time. */
  readonly fetch: (peer: string, kind: string) => Promise<FetchedObjects>;
}

/** How long a change that a peer knows is awaited from the store before it is fetched from the peer. */
const FETCH_AFTER = 350;
/**
 * Milliseconds over which the instances spread that a relay tells of a change and can't tell whole: it would have to
 * serve its whole zone at the same moment.
 */
const FETCH_SPREAD = 120;
/** A peer that hasn't sent its objects after so many milliseconds may be frozen: another one is asked beside it. */
const ASK_ANOTHER_AFTER = 250;

/** An instance that knows for so many milliseconds that it misses something asks the store itself. */
const BEHIND_AFTER = 550;

/** What is missing of one kind, and who was asked for it. */
interface Missing {
  /** The latest version that a peer is known to have. */
  version: number;
  since: number;
  /** The peers that were asked and haven't answered, and when the last one was. */
  readonly asked: Set<string>;
  askedAt: number;
}

/**
 * Makes what fetches. Whoever watches the store hears of a change there first and fetches only what it waits for in
 * vain; whoever is told by digests knows with the digest that something is missing in it, and fetches at once.
 */
export function createPeerCatchUp(parts: PeerCatchUpParts): PeerCatchUp {
  const { clock, random, role, feeds, log } = parts;
  const missing = new Map<string, Missing>();

  const delay = (feed: FeedFollower): number => {
    if (feed.version === 0) return 0;
    return role() === FleetRole.Equal ? FETCH_AFTER : random.next() * FETCH_SPREAD;
  };
  const ask = async (peer: PeerInstance, kind: string, feed: FeedFollower): Promise<void> => {
    const theirs = peer.versions.get(kind) ?? 0;
    await sleep(clock, delay(feed));
    if (theirs <= feed.version) return;
    try {
      const found = await parts.fetch(peer.peers, kind);
      log.changed("fetched-from-peer", { kind, peer: peer.name, version: found.version });
      feed.adopt(found);
    } catch (error) {
      log.fault("fetch-failed", { kind, peer: peer.name, detail: String(error) });
    }
  };
  /** What is missing here that the peer has; undefined where it has nothing more. */
  const missingAgainst = (
    peer: PeerInstance,
    kind: string,
    feed: FeedFollower,
  ): Missing | undefined => {
    const version = peer.versions.get(kind) ?? 0;
    if (version <= feed.version) return undefined;
    const known = missing.get(kind);
    const isNew = known === undefined || known.version <= feed.version;
    const found = {
      version: Math.max(version, known?.version ?? 0),
      since: isNew ? clock.now() : known.since,
      asked: known?.asked ?? new Set<string>(),
      askedAt: known?.askedAt ?? -Infinity,
    };
    missing.set(kind, found);
    return found;
  };
  const catchUp = async (peer: PeerInstance, kind: string, feed: FeedFollower): Promise<void> => {
    const found = missingAgainst(peer, kind, feed);
    if (found === undefined) return;
    const { asked } = found;
    const now = clock.now();
    const isAnotherDue = asked.size === 0 || now - found.askedAt >= ASK_ANOTHER_AFTER;
    if (asked.has(peer.peers) || !isAnotherDue) return;
    asked.add(peer.peers);
    found.askedAt = now;
    await ask(peer, kind, feed);
    asked.delete(peer.peers);
  };
  return {
    heard: (peer) => {
      for (const [kind, feed] of feeds) void catchUp(peer, kind, feed);
    },
    isBehind: (kind) => {
      const found = missing.get(kind);
      if (found === undefined || found.version <= (feeds.get(kind)?.version ?? 0)) return false;
      return clock.now() - found.since >= BEHIND_AFTER;
    },
  };
}
