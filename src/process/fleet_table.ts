import type { Clock } from "../interface/index.ts";
import type { Digest, Introduction, RosterEntry } from "./digest.ts";
import { createFleetRoster } from "./fleet_roster.ts";
import type { FleetRoster } from "./fleet_roster.ts";
import { FleetRole, planTree } from "./fleet_tree.ts";
import type { FleetTree } from "./fleet_tree.ts";
import { isHeard, NEVER, unheard } from "./peer.ts";
import type { Peer, PeerInstance } from "./peer.ts";

/** The instances of the fleet as this one knows them, and its place among them. */
export interface FleetTable {
  readonly tree: FleetTree;
  /** What others tell of instances. */
  readonly roster: FleetRoster;
  /** All addresses, whether anybody was ever heard there or not. */
  readonly peers: ReadonlyMap<string, Peer>;
  /** Instances expected to be there, this one included. */
  readonly members: number;
  /** Gives addresses to begin with. */
  introduce(addresses: readonly string[]): void;
  /** The process that has sent a digest; undefined where it has to introduce itself first. */
  senderOf(digest: Digest): Peer | undefined;
  ofSession(session: number | undefined): PeerInstance | undefined;
  /** Instances that were heard lately without another between. */
  heard(): PeerInstance[];
  /** All that are there; only those that may be told on where `onlyFirm` is set. */
  live(options?: { onlyFirm: boolean }): RosterEntry[];
  /** Addresses of which nobody tells, and at which nobody was heard, or not for a while. */
  silent(): Peer[];
  isRelay(address: string): boolean;
  isWatcher(address: string): boolean;
  /** Notes who has fallen silent; says whether anything has changed. */
  expire(): boolean;
  /** Finds this instance's place anew; says whether its role has changed. */
  plan(ready: boolean): boolean;
  start(): void;
}

/** An instance silent for so long isn't expected back, in milliseconds. */
const MEMBER_TIME = 30_000;
/** After its start an instance expects all that it was given addresses of, for so many milliseconds. */
const EXPECT_TIME = 2_000;
/**
 * How long after it has fallen silent an instance is looked for at its address, in milliseconds: another process may be
 * back there that knows nobody. Until then it may be there for others, of which this one isn't told yet.
 */
const SILENT_AFTER = 5_000;
/** How long an instance that has fallen silent here is taken to be gone, against the word of others that are gone too. */
const LOST_TIME = 6_000;

/** Makes the table of an instance that knows no other. */
export function createFleetTable(parts: {
  readonly clock: Clock;
  readonly introduction: Introduction;
  readonly session: number;
}): FleetTable {
  const { clock, introduction, session } = parts;
  const self = introduction.peers;
  const peers = new Map<string, Peer>();
  const bySession = new Map<number, Peer>();
  const roster = createFleetRoster();
  /** By address, when an instance was last known to be there. */
  const seenAt = new Map<string, number>();
  let tree: FleetTree = { role: FleetRole.Equal, relays: new Map(), watchers: new Set() };
  let startedAt = NEVER;
  let isStarting = true;
  let members = 1;
  /** The addresses that were there at the last plan. */
  let there: ReadonlySet<string> = new Set();

  const livePeers = (): Peer[] => [...peers.values()].filter(({ isLive }) => isLive);
  const heard = (): PeerInstance[] =>
    livePeers().flatMap(({ instance }) => (instance === undefined ? [] : [instance]));
  const live: FleetTable["live"] = ({ onlyFirm } = { onlyFirm: false }) => {
    const found = new Map(heard().map((one): [string, RosterEntry] => [one.peers, one]));
    const from = clock.now() - LOST_TIME;
    const isLost = (address: string): boolean => (peers.get(address)?.lostAt ?? NEVER) >= from;
    for (const [address, entry] of roster.list({ isLost, onlyFirm })) {
      if (address !== self && !found.has(address)) found.set(address, entry);
    }
    return [...found.values()];
  };
  const introduce = (addresses: readonly string[]): void => {
    const unknown = addresses.filter((address) => address !== self && !peers.has(address));
    for (const address of unknown) peers.set(address, unheard(address));
    if (unknown.length > 0) count();
  };
  const count = (): void => {
    const from = clock.now() - MEMBER_TIME;
    const expected = new Set(live().map((entry) => entry.peers));
    for (const [address, at] of seenAt) {
      if (at >= from) expected.add(address);
      else seenAt.delete(address);
    }
    // Until it has heard them, each of many that start together would take what all may have for its own.
    if (isStarting) for (const address of peers.keys()) expected.add(address);
    members = 1 + expected.size;
  };
  return {
    roster,
    peers,
    get tree() {
      return tree;
    },
    get members() {
      return members;
    },
    introduce,
    senderOf: ({ session: sender, introduction: said }) => {
      if (sender === session) return undefined;
      const known = bySession.get(sender);
      if (known !== undefined || said === undefined) return known;
      if (said.peers === self) return undefined;
      const before = peers.get(said.peers);
      if (before !== undefined) bySession.delete(before.session);
      // Whoever was there before has ended: what it had, and what it knew, is over.
      const peer = { ...unheard(said.peers), isLive: before?.isLive ?? false, session: sender };
      peers.set(said.peers, peer);
      bySession.set(sender, peer);
      return peer;
    },
    ofSession: (one) => (one === undefined ? undefined : bySession.get(one)?.instance),
    heard,
    live,
    silent: () => {
      const from = clock.now() - SILENT_AFTER;
      return [...peers.values()].filter(
        ({ isLive, lostAt, address }) => !isLive && lostAt < from && !there.has(address),
      );
    },
    isRelay: (address) => [...tree.relays.values()].some((relays) => relays.includes(address)),
    isWatcher: (address) => tree.watchers.has(address),
    expire: () => {
      const now = clock.now();
      let changed = false;
      for (const peer of livePeers()) {
        if (isHeard(peer, now)) continue;
        peer.isLive = false;
        peer.lostAt = now;
        // What it had here is forgotten with it: once it is back, everything must be told again.
        peer.newsSequence = 0;
        // Another process may be back at its address that knows nobody, and takes in nothing of whom it doesn't know.
        peer.knowsThis = false;
        changed = true;
      }
      const tellers = new Set(livePeers().map((peer) => peer.session));
      if (roster.keepTellers(tellers, now)) changed = true;
      if (isStarting && now - startedAt > EXPECT_TIME) {
        isStarting = false;
        changed = true;
      }
      if (!changed) count();
      return changed;
    },
    plan: (ready) => {
      const now = clock.now();
      const entries = live();
      const addresses = entries.map((entry) => entry.peers);
      for (const address of [...there, ...addresses]) seenAt.set(address, now);
      there = new Set(addresses);
      introduce(addresses);
      count();
      const { role } = tree;
      tree = planTree({ ...introduction, ready }, entries);
      return tree.role !== role;
    },
    start: () => {
      startedAt = clock.now();
    },
  };
}
