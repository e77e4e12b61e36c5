import { randomInt } from "node:crypto";
import type { DatagramSocketOptions, DatagramSocket } from "../connection/datagram_socket.ts";
import type {
  RepeatBudget,
  SharedCounts,
  SharedQuota,
  FleetTime,
  UsageLedger,
  WorkerHealth,
} from "../decision/index.ts";
import type { Clock, FeedChange, FeedDelta, FeedObject, Random } from "../interface/index.ts";
import { admissionPeriodAt } from "./admission_period.ts";
import { createAdmissionSums } from "./admission_sums.ts";
import type { AdmissionReport, ReportTime } from "./admission_sums.ts";
import { createOwnAdmissions } from "./own_admissions.ts";
import { objectTexts } from "./digest_codec.ts";
import { UpdateScope } from "./digest.ts";
import type { Digest, InstanceUpdate, InstanceState, WorkerCounts } from "./digest.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { FleetRole } from "./fleet_topology.ts";
import { createGroupTotals } from "./group_totals.ts";
import type { UpdateSource } from "./update_sources.ts";
import type { InstanceCounts } from "./count_log.ts";
import { incarnationOf } from "./peer.ts";
import type { PeerInstance } from "./peer.ts";
import { createPeerExchange } from "./peer_exchange.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import type { RoutedWorkerTable } from "./routed_worker_table.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RunningTime } from "./running_time.ts";
import { capacityOf } from "./routed_settings.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** Synchronizes counts, quotas and store changes with the other instances through digests. */
export interface FleetSync extends Omit<PeerExchange, "sources"> {
  /** Identifies this process: the instance's name and the session. */
  readonly incarnation: string;
  /** Whether other instances forward store changes to this one. */
  isFed(): boolean;
  /**
   * Returns the worker counts summed over all instances. On a member of a large fleet it returns
   * only this instance's own.
   */
  sums(): ReadonlyMap<number, WorkerCounts>;
  /**
   * Returns the counts of all other instances for one hash, if a relay sends them or the sums
   * contain them.
   */
  sumOf(key: number): WorkerCounts | undefined;
  /**
   * Returns the counts that all other instances last reported for one hash. Unlike the sums, they contain what was counted
   * before this instance started, and they decrease when an instance ends.
   */
  reportedOf(key: number): WorkerCounts | undefined;
}

/** Dependencies of the synchronization. */
export interface FleetSyncParts {
  readonly settings: RoutedSettings;
  readonly clock: Clock;
  readonly runningTime: Pick<RunningTime, "between">;
  readonly random: Random;
  readonly log: RoutedLog;
  readonly feeds: ReadonlyMap<string, FeedFollower>;
  readonly state: () => Omit<InstanceState, "isCurrent" | "versions">;
  readonly time: FleetTime;
  readonly quota: SharedQuota;
  readonly repeats: RepeatBudget;
  readonly ledger: UsageLedger;
  readonly health: WorkerHealth;
  /** Amounts that decisions relate to the whole fleet. The worker table adds them to this instance's own counts. */
  readonly sharedCounts: SharedCounts;
  readonly workerTable: RoutedWorkerTable;
  /** Called with every digest before its update is applied. */
  readonly onDigest: (peer: PeerInstance) => void;
  /** Called with every digest after the store changes in it have been applied. */
  readonly onDigestApplied: (peer: PeerInstance) => void;
  readonly open: (parts: DatagramSocketOptions) => Promise<DatagramSocket>;
}

/**
 * Number of usage windows sent to other instances: those still growing or not reported yet, with a
 * margin for differences between clocks.
 */
const SENT_WINDOWS = 4;
/** Exclusive upper bound of the session number, which has 32 bits. */
const SESSION_RANGE = 2 ** 32;
/** Milliseconds of running time without a digest after which a feeding relay no longer counts: three digests. */
const FEEDER_TIMEOUT = 800;
/**
 * Maximum number of store changes of a kind, and maximum number of bytes in the changes of all kinds,
 * in one digest; half of the maximum datagram size. Remaining changes go into the next digest; a
 * single change that exceeds the limit is fetched.
 */
const MAX_CHANGES = 128;
const MAX_CHANGE_BYTES = 32_000;
/** Uptime in milliseconds below which all counts of a process are new to the other instances. */
const MAX_NEW_UPTIME = 3_000;
/** Source of the sum of all other instances in the reports to the quota. */
const OTHER_INSTANCES = "others";
/** Maximum number of instances logged by name; above it only their number is logged. */
const MAX_LOGGED_NAMES = 16;

/** Creates the synchronization. Nothing is sent before it is started. */
export function createFleetSync(parts: FleetSyncParts): FleetSync {
  const {
    settings,
    clock,
    runningTime,
    random,
    log,
    feeds,
    time,
    quota,
    ledger,
    health,
    workerTable,
  } = parts;
  const session = randomInt(1, SESSION_RANGE);
  const startedAt = clock.now();
  /** Sums over the instances that this one receives from directly, and over all instances. */
  const totals = { group: createGroupTotals(), fleet: createGroupTotals() };
  const admissions = {
    own: createOwnAdmissions(),
    group: createAdmissionSums(startedAt),
    fleet: createAdmissionSums(startedAt),
  };
  const reportTime = (): ReportTime => {
    const now = clock.now();
    return { now, period: admissionPeriodAt(time.now(now)) };
  };

  const collectOwnCounts = (): InstanceCounts => ({
    admitted: admissions.own.record(quota.createReport(clock.now()), reportTime().period),
    usage: ledger.ownCounts().slice(-SENT_WINDOWS),
    workerCounts: workerTable.ownCounts(),
    leavingWorkers: workerTable.leaving(),
  });
  /** Counts of all other instances as last received from a relay, if this instance is a member. */
  let relayedCounts: ReadonlyMap<number, WorkerCounts> = new Map();
  let lastLogged = "";
  let own: InstanceCounts | undefined;
  const countsOf = (scope: UpdateScope): InstanceCounts => {
    // A round starts with this instance's own counts, so that the sums describe the same moment.
    if (scope === UpdateScope.Own || own === undefined) return (own = collectOwnCounts());
    const admitted = admissions[scope === UpdateScope.Fleet ? "fleet" : "group"].plus(
      own.admitted,
      reportTime(),
    );
    if (scope === UpdateScope.Fleet)
      return { ...own, ...totals.fleet.plus(own), admitted, usage: [] };
    const usage = ledger.groupTotals().slice(-SENT_WINDOWS);
    return { ...own, ...totals.group.plus(own), admitted, usage };
  };
  const receiveAdmissions = (source: UpdateSource, report: AdmissionReport): void => {
    const at = reportTime();
    admissions.fleet.receive(source, report, at);
    quota.receiveReport(OTHER_INSTANCES, { admitted: admissions.fleet.growth(), age: 0 });
    if (exchange.role === FleetRole.Relay && source.scope === UpdateScope.Own)
      admissions.group.receive(source, report, at);
  };
  const onUpdate = (source: UpdateSource, update: InstanceUpdate, age: number): void => {
    const { id, subject, scope } = source;
    const now = clock.now();
    receiveAdmissions(source, { admitted: update.admitted, age });
    workerTable.updateOccupancy(id, update);
    health.receiveCounts(id, update.workerCounts, now);
    parts.sharedCounts.receive(id, update.workerCounts, now);
    workerTable.markLeaving(update.leavingWorkers);
    if (scope === UpdateScope.Group) ledger.mergeGroup(subject, update.usage);
    else ledger.mergeInstance(subject, update.usage);
    if (scope === UpdateScope.Fleet) relayedCounts = update.workerCounts;
    if (exchange.role === FleetRole.Member) return;
    const isNew = update.uptime < MAX_NEW_UPTIME;
    totals.fleet.receive(id, update, isNew);
    if (exchange.role === FleetRole.Relay && scope === UpdateScope.Own)
      totals.group.receive(id, update, isNew);
  };
  const onDigest = (peer: PeerInstance, digest: Digest): void => {
    if (digest.update !== undefined) {
      time.addSample(peer.incarnation, { time: digest.update.time, steady: clock.now() });
    }
    parts.onDigest(peer);
    for (const delta of digest.feedDeltas) feeds.get(delta.kind)?.applyDelta(delta);
    parts.onDigestApplied(peer);
  };
  const deltasSince = (versions: ReadonlyMap<string, number>): FeedDelta[] => {
    const budget = { bytes: MAX_CHANGE_BYTES };
    return [...feeds].flatMap(([kind, feed]) => {
      const known = versions.get(kind) ?? 0;
      const delta =
        known < feed.changedAt ? feed.changesSince(known, createBatchCheck(budget)) : undefined;
      return delta === undefined ? [] : [delta];
    });
  };
  const updateMembers = (): void => {
    const live = exchange.live();
    const count = exchange.members;
    parts.repeats.setMemberCount(count);
    quota.setReachability({
      reachable: live.length + 1,
      members: count,
      reportAge: exchange.updateAge,
    });
    const sources = exchange.sources();
    workerTable.retainInstances(sources);
    health.retainInstances(sources);
    parts.sharedCounts.retainInstances(sources);
    for (const sums of [totals.group, totals.fleet]) sums.retainSources(sources);
    const names = live.map(({ name, ready }) => `${name}${ready ? "" : "-"}`).sort();
    const instances = names.length > MAX_LOGGED_NAMES ? names.length : names.join(" ");
    const line = { expected: count, heard: instances, role: exchange.role };
    const text = JSON.stringify(line);
    if (text !== lastLogged) log.changed("members", line);
    lastLogged = text;
  };
  const exchange = createPeerExchange({
    clock,
    runningTime,
    random,
    session,
    introduction: {
      name: settings.name,
      zone: settings.zone,
      callers: settings.listen.callers,
      peers: settings.listen.peers,
      capacity: capacityOf(settings),
    },
    state: () => {
      const state = parts.state();
      return {
        ...state,
        isCurrent: state.reachesStore || isFed(),
        versions: new Map([...feeds].map(([kind, feed]) => [kind, feed.changedAt])),
      };
    },
    counts: countsOf,
    timestamps: () => ({ time: time.now(clock.now()), uptime: clock.now() - startedAt }),
    deltasSince,
    onDigest,
    onUpdate,
    onRoleChange: () => {
      ledger.forgetPeers();
      for (const sums of [admissions.group, admissions.fleet]) sums.changeSources(clock.now());
    },
    onChange: () => updateMembers(),
    onFault: (detail) => log.fault("digest", { detail }),
    open: parts.open,
  });
  const isFed = (): boolean => {
    const now = clock.now();
    return exchange
      .feeders()
      .some(({ receivedAt }) => runningTime.between(receivedAt, now) <= FEEDER_TIMEOUT);
  };
  return Object.assign(exchange, {
    incarnation: incarnationOf(settings.name, session),
    isFed,
    sums: () => totals.fleet.plus({ workerCounts: workerTable.ownCounts() }).workerCounts,
    reportedOf: (key: number) =>
      exchange.role === FleetRole.Member ? relayedCounts.get(key) : totals.fleet.reportedOf(key),
    sumOf: (key: number) =>
      exchange.role === FleetRole.Member ? relayedCounts.get(key) : totals.fleet.countsOf(key),
  });
}

/**
 * Creates a function that reports whether a further batch of a kind's changes still fits into a
 * digest, and takes its bytes from the budget if it does.
 */
function createBatchCheck(budget: { bytes: number }): (batch: readonly FeedChange[]) => boolean {
  let count = 0;
  return (batch) => {
    let bytes = 0;
    for (const change of batch) bytes += sizeOf(change);
    count += batch.length;
    if (count > MAX_CHANGES || bytes > budget.bytes) return false;
    budget.bytes -= bytes;
    return true;
  };
}

/**
 * Size in bytes by object. A relay sends each change to many instances but computes its size only
 * once.
 */
const sizes = new WeakMap<FeedObject, number>();

function sizeOf({ object, removed }: FeedChange): number {
  if (removed) return Buffer.byteLength(object.name);
  const size = sizes.get(object) ?? measure(object);
  sizes.set(object, size);
  return size;
}

function measure(object: FeedObject): number {
  const { value, status } = objectTexts(object);
  return Buffer.byteLength(object.name) + Buffer.byteLength(value) + Buffer.byteLength(status);
}
