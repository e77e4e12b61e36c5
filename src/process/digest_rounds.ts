import { sample } from "../decision/index.ts";
import type { FeedDelta, Random } from "../interface/index.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate, InstanceState, Introduction, Roster } from "./digest.ts";
import type { FleetTable } from "./fleet_table.ts";
import { FleetRole } from "./fleet_topology.ts";
import type { UpdateSources } from "./update_sources.ts";
import { createCountLog, RETAINED_ROUNDS } from "./count_log.ts";
import type { CountLog, InstanceCounts } from "./count_log.ts";
import { NEVER } from "./peer.ts";
import type { Peer } from "./peer.ts";
import { createRosterLog } from "./roster_log.ts";

/** Builds the digests that this instance sends, round by round. */
export interface DigestRounds {
  /** Starts a round: captures the counts and the roster that its digests contain. */
  begin(targets: readonly Peer[]): void;
  /**
   * Builds an immediate reply to a peer. It takes a new round number but the contents of the last
   * round.
   */
  answer(target: Peer): Digest;
  /** Builds the digest for a peer in the current round. */
  digestFor(target: Peer, state: InstanceState): Digest;
  /**
   * Returns this instance's own counts as of the given round; undefined if they are no longer
   * retained.
   */
  ownCountsAt(round: number): InstanceCounts | undefined;
}

/** Dependencies of {@linkcode createDigestRounds}. */
export interface DigestRoundsParts {
  readonly random: Random;
  readonly introduction: Introduction;
  readonly session: number;
  readonly table: FleetTable;
  readonly sources: () => Pick<UpdateSources, "accepts" | "includes">;
  readonly state: () => InstanceState;
  readonly counts: (scope: UpdateScope) => InstanceCounts;
  readonly timestamps: () => Pick<InstanceUpdate, "time" | "uptime">;
  readonly deltasSince: (versions: ReadonlyMap<string, number>) => readonly FeedDelta[];
}

/**
 * Maximum number of peer addresses to include in a digest. They are included together with an
 * introduction, and otherwise once every `FORWARD_INTERVAL` rounds.
 */
const MAX_FORWARDED_ADDRESSES = 8;
const FORWARD_INTERVAL = 16;
/**
 * Number of rounds for which this instance's own counts are retained, so that they can be
 * subtracted from sums that include them.
 */
const RETAINED_OWN_ROUNDS = 32;

/** Creates the builder. No round has started yet. */
export function createDigestRounds(parts: DigestRoundsParts): DigestRounds {
  const { random, introduction, session, table } = parts;
  const countLogs: Readonly<Record<Exclude<UpdateScope, UpdateScope.None>, CountLog>> = {
    [UpdateScope.Own]: createCountLog(),
    [UpdateScope.Group]: createCountLog(),
    [UpdateScope.Fleet]: createCountLog(),
  };
  const rosterLogs = { zone: createRosterLog(), all: createRosterLog() };
  const ownCountsByRound = new Map<number, InstanceCounts>();
  let sequence = 0;

  /** Returns which counts a peer is sent. */
  const scopeFor = ({ instance, address }: Peer): UpdateScope => {
    const { role } = table.topology;
    if (role === FleetRole.Mesh) return UpdateScope.Own;
    const isInZone = instance?.zone === introduction.zone;
    const isRelay = table.isRelay(address);
    if (isInZone && isRelay) return UpdateScope.Own;
    if (role === FleetRole.Member) return UpdateScope.None;
    if (isInZone) return UpdateScope.Fleet;
    return isRelay ? UpdateScope.Group : UpdateScope.None;
  };
  /** Returns the round that a delta is based on; 0 if the peer must be sent a full snapshot. */
  const baseRoundOf = (target: Peer, scope: UpdateScope): number => {
    const kind = `${scope} ${target.wantsUpdate}`;
    if (target.updateKind !== kind) {
      // Acknowledgements so far were for updates of another scope.
      target.updateKind = kind;
      target.updateKindSince = sequence;
    }
    const { acknowledgedRound, updateKindSince } = target;
    return acknowledgedRound < updateKindSince || acknowledgedRound <= sequence - RETAINED_ROUNDS
      ? 0
      : acknowledgedRound;
  };
  const rosterFor = (
    { expectsDigest }: Peer,
    scope: UpdateScope,
    from: number,
  ): Roster | undefined => {
    if (table.topology.role === FleetRole.Mesh || scope === UpdateScope.Own) return undefined;
    if (scope === UpdateScope.None && !expectsDigest) return undefined;
    return (scope === UpdateScope.Group ? rosterLogs.zone : rosterLogs.all).since(from);
  };
  /**
   * Watchers send store changes to the relays, and relays to their zones. A watcher that cannot
   * reach the store is sent the changes by every instance that sends it digests.
   */
  const deltasFor = ({ address, instance }: Peer, scope: UpdateScope): readonly FeedDelta[] => {
    if (instance === undefined) return [];
    const hasOtherSource = table.isWatcher(address)
      ? instance.reachesStore
      : !table.isWatcher(introduction.peers);
    const canSendDeltas =
      scope === UpdateScope.Fleet || (table.isRelay(address) && !hasOtherSource);
    return canSendDeltas ? parts.deltasSince(instance.versions) : [];
  };
  const addressesFor = (target: Peer): string[] => {
    if (target.acknowledgesSession && sequence % FORWARD_INTERVAL !== 0) return [];
    const known = [...table.peers.values()].filter(({ receivedAt }) => receivedAt !== NEVER);
    return sample(known, { count: MAX_FORWARDED_ADDRESSES, random }).map(({ address }) => address);
  };
  const digestFor = (target: Peer, state: InstanceState): Digest => {
    const { session: peerSession, updateSequence, acknowledgesSession, wantsUpdate } = target;
    const scope = scopeFor(target);
    const from = baseRoundOf(target, scope);
    const canSendUpdate = acknowledgesSession && scope !== UpdateScope.None && wantsUpdate;
    const update = canSendUpdate ? countLogs[scope].since(from) : undefined;
    const roster = acknowledgesSession ? rosterFor(target, scope, from) : undefined;
    // An instance that addresses this one as a relay by mistake gets one reply per digest.
    if (scope === UpdateScope.None) target.expectsDigest = false;
    return {
      session,
      sequence,
      ...state,
      acknowledged:
        peerSession === 0 ? undefined : { session: peerSession, sequence: updateSequence },
      introduction: acknowledgesSession ? undefined : introduction,
      scope,
      update: update === undefined ? undefined : { ...update, ...parts.timestamps() },
      wantsUpdate: parts.sources().accepts(target),
      includesReceiver: scope === UpdateScope.Fleet && parts.sources().includes(target),
      roster,
      feedDeltas: deltasFor(target, scope),
      knownAddresses: addressesFor(target),
    };
  };
  return {
    begin: (targets) => {
      sequence++;
      const scopes = new Set(targets.map(scopeFor));
      // Runs even without targets, since the quota that may be admitted before the next report
      // depends on it.
      const own = parts.counts(UpdateScope.Own);
      countLogs[UpdateScope.Own].record(own, sequence);
      ownCountsByRound.set(sequence, { ...own, admitted: new Map(own.admitted) });
      for (const round of ownCountsByRound.keys()) {
        if (round <= sequence - RETAINED_OWN_ROUNDS) ownCountsByRound.delete(round);
      }
      for (const scope of [UpdateScope.Group, UpdateScope.Fleet] as const) {
        if (scopes.has(scope)) countLogs[scope].record(parts.counts(scope), sequence);
      }
      if (table.topology.role === FleetRole.Mesh) return;
      // Reports from relays about a zone are not forwarded to other zones.
      const zone = table.directPeers().filter((one) => one.zone === introduction.zone);
      rosterLogs.zone.record(zone, sequence);
      rosterLogs.all.record(table.live({ onlyAuthoritative: true }), sequence);
    },
    answer: (target) => {
      sequence++;
      return digestFor(target, parts.state());
    },
    digestFor,
    ownCountsAt: (round) => ownCountsByRound.get(round),
  };
}
