import type { Clock } from "../interface/index.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate } from "./digest.ts";
import { FleetRole } from "./fleet_topology.ts";
import type { FleetTopology } from "./fleet_topology.ts";
import { createPeerTotals } from "./peer_totals.ts";
import type { PeerTotals, SummedCounts } from "./peer_totals.ts";
import type { Peer } from "./peer.ts";

/**
 * A selected source of updates. No two sources selected at the same time cover the same instance.
 */
export interface UpdateSource {
  /** Unique id. It also differs from that of an earlier source with the same subject. */
  readonly id: string;
  /** The instances that the updates cover: an incarnation, a zone, or all. */
  readonly subject: string;
  readonly scope: UpdateScope;
}

/** Selects the peers whose updates this instance applies. */
export interface UpdateSources {
  /**
   * Applies a digest's update if its sender is selected. Returns false if the update's base is
   * unknown here, so that a full snapshot is needed.
   */
  receive(peer: Peer, digest: Digest): boolean;
  /** Whether this instance applies the peer's updates, or would apply them if it sent any. */
  accepts(peer: Peer): boolean;
  /** Whether the peer's own counts are applied. */
  includes(peer: Peer): boolean;
  /** Returns the ids of the selected sources. */
  ids(): ReadonlySet<string>;
  /** Returns the session of the relay that sends this instance the counts of all others. */
  relaySession(): number | undefined;
  /** Removes sources that no live peer covers any more. Returns whether there were any. */
  expire(): boolean;
  /** Removes all sources after a change of this instance's role. */
  reset(): void;
}

/** Dependencies of {@linkcode createUpdateSources}. */
export interface UpdateSourcesParts {
  readonly clock: Clock;
  /** This instance's availability zone. */
  readonly zone: string;
  readonly topology: () => FleetTopology;
  readonly peers: () => Iterable<Peer>;
  /** Returns this instance's own counts as of a round; undefined if they are no longer retained. */
  readonly ownCountsAt: (round: number) => SummedCounts | undefined;
  /**
   * Called with each applied update.
   *
   * @param age Milliseconds since the sender started; `update.uptime` is infinite if the update only
   * sets the base for later counts.
   */
  readonly onUpdate: (source: UpdateSource, update: InstanceUpdate, age: number) => void;
}

/** Subject of updates that cover all instances. */
const ALL_INSTANCES = "*";

/**
 * Milliseconds for which sums are kept after their source is lost. Until another relay sends sums,
 * slightly outdated counts are better than none.
 */
const LOST_SUMS_TTL = 2_000;

/** A selected source, and what is needed to apply its updates. */
interface SelectedSource {
  readonly session: number;
  lostAt: number | undefined;
  readonly source: UpdateSource;
  readonly peerTotals: PeerTotals;
}

/**
 * Creates the selection without any sources.
 *
 * The two relays of each zone send the same sums, and each member receives both. Only one of them
 * is used at a time, so that nothing is counted twice. When another relay replaces it, cumulative
 * counts are compared with the new relay's first update, because its sums started at a different
 * time.
 */
export function createUpdateSources(parts: UpdateSourcesParts): UpdateSources {
  const { zone, topology } = parts;
  const selected = new Map<string, SelectedSource>();
  let selections = 0;
  let hasBeenReset = false;

  /**
   * Returns which instances a peer's updates cover; undefined if this instance must not apply them.
   */
  const subjectOf = ({ scope, instance }: Peer): string | undefined => {
    if (instance === undefined) return undefined;
    const { role } = topology();
    const isInZone = instance.zone === zone;
    const { Own, Group, Fleet } = UpdateScope;
    if (scope === Own && (role === FleetRole.Mesh || (role === FleetRole.Relay && isInZone)))
      return instance.incarnation;
    if (scope === Group && role === FleetRole.Relay && !isInZone) return instance.zone;
    return scope === Fleet && role === FleetRole.Member && isInZone ? ALL_INSTANCES : undefined;
  };
  const rank = ({ address, instance }: Peer): number => {
    const relays = topology().relays.get(instance?.zone ?? "") ?? [];
    const position = relays.indexOf(address);
    // A relay that doesn't receive store changes is the last choice.
    const penalty = instance?.isCurrent === true ? 0 : relays.length + 1;
    return (position < 0 ? relays.length : position) + penalty;
  };
  const isBetter = (a: Peer, b: Peer): boolean =>
    rank(a) < rank(b) || (rank(a) === rank(b) && a.address < b.address);
  const isSelected = (peer: Peer, subject: string): boolean => {
    if (peer.scope === UpdateScope.Own) return true;
    for (const other of parts.peers()) {
      if (other === peer || !other.isLive || other.scope !== peer.scope) continue;
      if (subjectOf(other) === subject && isBetter(other, peer)) return false;
    }
    return true;
  };
  const select = (peer: Peer, subject: string): SelectedSource => {
    selections++;
    const id =
      peer.scope === UpdateScope.Own && !hasBeenReset
        ? subject
        : `${subject}/${peer.session.toString(16)}/${selections}`;
    const source = { id, subject, scope: peer.scope };
    const found = {
      session: peer.session,
      lostAt: undefined,
      source,
      peerTotals: createPeerTotals(),
    };
    selected.set(subject, found);
    return found;
  };
  const subtractOwn = (
    { peerTotals }: SelectedSource,
    update: InstanceUpdate,
    digest: Digest,
  ): InstanceUpdate | undefined => {
    const own = digest.includesReceiver
      ? parts.ownCountsAt(digest.acknowledged?.sequence ?? 0)
      : undefined;
    if (digest.includesReceiver && own === undefined) return undefined;
    return { ...update, ...peerTotals.update(update, own), isSnapshot: true };
  };
  return {
    receive: (peer, digest) => {
      const { update } = digest;
      const subject = subjectOf(peer);
      if (update === undefined || subject === undefined || !isSelected(peer, subject)) return true;
      const before = selected.get(subject);
      const isSame = before?.session === peer.session;
      // A delta cannot be applied without its base. A full snapshot will be sent on request.
      if (!isSame && !update.isSnapshot) return false;
      const current = isSame ? before : select(peer, subject);
      // The first update after a change of source or role only sets the base for later counts, even
      // if its sender has just started.
      const isFresh = isSame || (before === undefined && !hasBeenReset);
      const uptime = isFresh ? update.uptime : Infinity;
      const applied =
        digest.scope === UpdateScope.Fleet ? subtractOwn(current, update, digest) : update;
      if (applied === undefined) return false;
      parts.onUpdate(current.source, { ...applied, uptime }, update.uptime);
      return true;
    },
    accepts: (peer) => {
      const subject = subjectOf(peer);
      return subject === undefined ? peer.scope === UpdateScope.None : isSelected(peer, subject);
    },
    includes: ({ instance, session }) =>
      selected.get(instance?.incarnation ?? "")?.session === session,
    ids: () => new Set([...selected.values()].map(({ source }) => source.id)),
    relaySession: () => selected.get(ALL_INSTANCES)?.session,
    expire: () => {
      const coveredSubjects = new Set<string>();
      for (const peer of parts.peers()) {
        const subject = peer.isLive ? subjectOf(peer) : undefined;
        if (subject !== undefined) coveredSubjects.add(subject);
      }
      const now = parts.clock.now();
      let changed = false;
      for (const [subject, entry] of selected) {
        entry.lostAt = coveredSubjects.has(subject) ? undefined : (entry.lostAt ?? now);
        const ttl = entry.source.scope === UpdateScope.Own ? 0 : LOST_SUMS_TTL;
        if (entry.lostAt === undefined || now - entry.lostAt < ttl) continue;
        selected.delete(subject);
        changed = true;
      }
      return changed;
    },
    reset: () => {
      hasBeenReset = true;
      selected.clear();
      for (const peer of parts.peers()) peer.updateSequence = 0;
    },
  };
}
