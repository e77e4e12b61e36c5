import { randomInt } from "node:crypto";
import type { DatagramParts, Datagrams } from "../connection/datagrams.ts";
import type {
  RepeatAllowance,
  SharedQuota,
  TrueTime,
  UsageLedger,
  WorkerHealth,
} from "../decision/index.ts";
import type { Clock, FeedChange, FeedDelta, FeedObject, Random } from "../interface/index.ts";
import { objectText } from "./digest_codec.ts";
import { NewsScope } from "./digest.ts";
import type { Digest, InstanceNews, InstanceState, WorkerUse } from "./digest.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { FleetRole } from "./fleet_tree.ts";
import { createGroupTotals } from "./group_totals.ts";
import type { NewsSource } from "./news_sources.ts";
import type { OwnState } from "./own_news.ts";
import { incarnationOf } from "./peer.ts";
import type { PeerInstance } from "./peer.ts";
import { createPeerExchange } from "./peer_exchange.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import type { RoutedBoard } from "./routed_board.ts";
import type { RoutedLog } from "./routed_log.ts";
import { capacityOf } from "./routed_settings.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** Synchronizes counts, quotas and store changes with the other instances through digests. */
export interface FleetNews extends Omit<PeerExchange, "sources"> {
  /** Identifies this process: the instance's name and the session. */
  readonly incarnation: string;
  /** Whether other instances forward store changes to this one. */
  isFed(): boolean;
  /**
   * Returns the worker counts summed over all instances. On a member of a large fleet it returns
   * only this instance's own.
   */
  sums(): ReadonlyMap<number, WorkerUse>;
  /**
   * Returns the counts of all other instances for one hash, if a relay sends them or the sums
   * contain them.
   */
  sumOf(key: number): WorkerUse | undefined;
}

/** Dependencies of the synchronization. */
export interface FleetNewsParts {
  readonly settings: RoutedSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: RoutedLog;
  readonly feeds: ReadonlyMap<string, FeedFollower>;
  readonly state: () => Omit<InstanceState, "isCurrent" | "versions">;
  readonly time: TrueTime;
  readonly quota: SharedQuota;
  readonly repeats: RepeatAllowance;
  readonly ledger: UsageLedger;
  readonly health: WorkerHealth;
  readonly board: RoutedBoard;
  /** Called with every digest before its update is applied. */
  readonly onHeard: (peer: PeerInstance) => void;
  /** Called with every digest after the store changes in it have been applied. */
  readonly onTold: (peer: PeerInstance) => void;
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
}

/**
 * Number of usage windows sent to other instances: those still growing or not reported yet, with a
 * margin for differences between clocks.
 */
const TOLD_WINDOWS = 4;
/** Exclusive upper bound of the session number, which has 32 bits. */
const GREATEST_SESSION = 2 ** 32;
/** Milliseconds without a digest after which a feeding relay no longer counts: three digests. */
const FED_TIME = 800;
/**
 * Maximum number of store changes, and of JSON characters in them, in one digest; far below the
 * maximum datagram size. Remaining changes go into the next digest; a single change that exceeds
 * the limit is fetched.
 */
const MOST_CHANGES = 128;
const MOST_CHANGE_TEXT = 24_000;
/** Uptime in milliseconds below which a process cannot have counts that the others already know. */
const NEW_AGE = 3_000;
/** Maximum number of instances logged by name; above it only their number is logged. */
const LOGGED_NAMES = 16;

/** Creates the synchronization. Nothing is sent before it is started. */
export function createFleetNews(parts: FleetNewsParts): FleetNews {
  const { settings, clock, random, log, feeds, time, quota, ledger, health, board } = parts;
  const session = randomInt(1, GREATEST_SESSION);
  const startedAt = clock.now();
  /** Sums over the instances that this one receives from directly, and over all instances. */
  const totals = { group: createGroupTotals(), fleet: createGroupTotals() };

  const ownState = (): OwnState => ({
    admitted: quota.tell(clock.now()),
    usage: ledger.own().slice(-TOLD_WINDOWS),
    use: board.use(),
    leaving: board.leaving(),
  });
  /** Counts of all other instances as last received from a relay, if this instance is a member. */
  let told: ReadonlyMap<number, WorkerUse> = new Map();
  let logged = "";
  let own: OwnState | undefined;
  const newsOf = (scope: NewsScope): OwnState => {
    // A round starts with this instance's own counts, so that the sums describe the same moment.
    if (scope === NewsScope.Own || own === undefined) return (own = ownState());
    if (scope === NewsScope.Fleet) return { ...own, ...totals.fleet.with(own), usage: [] };
    const usage = ledger.group().slice(-TOLD_WINDOWS);
    return { ...own, ...totals.group.with(own), usage };
  };
  const onNews = ({ id, subject, scope }: NewsSource, news: InstanceNews): void => {
    const now = clock.now();
    quota.heard(id, { admitted: news.admitted, age: news.age });
    board.heard(id, news);
    health.heard(id, news.use, now);
    board.heardLeaving(news.leaving);
    if (scope === NewsScope.Group) ledger.heardGroup(subject, news.usage);
    else ledger.heard(subject, news.usage);
    if (scope === NewsScope.Fleet) told = news.use;
    if (exchange.role === FleetRole.Member) return;
    const isNew = news.age < NEW_AGE;
    totals.fleet.heard(id, news, isNew);
    if (exchange.role === FleetRole.Relay && scope === NewsScope.Own)
      totals.group.heard(id, news, isNew);
  };
  const onHeard = (peer: PeerInstance, digest: Digest): void => {
    if (digest.news !== undefined) {
      time.heard(peer.incarnation, { time: digest.news.time, steady: clock.now() });
    }
    parts.onHeard(peer);
    for (const delta of digest.feeds) feeds.get(delta.kind)?.adoptChanges(delta);
    parts.onTold(peer);
  };
  const feedsSince = (versions: ReadonlyMap<string, number>): FeedDelta[] =>
    [...feeds].flatMap(([kind, feed]) => {
      const known = versions.get(kind) ?? 0;
      const delta = known < feed.changedAt ? feed.changesSince(known, createRoom()) : undefined;
      return delta === undefined ? [] : [delta];
    });
  const onMembers = (): void => {
    const live = exchange.live();
    const count = exchange.members;
    parts.repeats.setMembers(count);
    quota.setReach({ heard: live.length + 1, members: count });
    const sources = exchange.sources();
    board.keepInstances(sources);
    health.keepInstances(sources);
    for (const sums of [totals.group, totals.fleet]) sums.keepSources(sources);
    const names = live.map(({ name, ready }) => `${name}${ready ? "" : "-"}`).sort();
    const heard = names.length > LOGGED_NAMES ? names.length : names.join(" ");
    const line = { expected: count, heard, role: exchange.role };
    const text = JSON.stringify(line);
    if (text !== logged) log.changed("members", line);
    logged = text;
  };
  const exchange = createPeerExchange({
    clock,
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
    news: newsOf,
    moment: () => ({ time: time.now(clock.now()), age: clock.now() - startedAt }),
    feedsSince,
    onHeard,
    onNews,
    onRole: () => ledger.forgetOthers(),
    onChange: () => onMembers(),
    onFault: (detail) => log.fault("digest", { detail }),
    open: parts.open,
  });
  const isFed = (): boolean => {
    const from = clock.now() - FED_TIME;
    return exchange.feeders().some(({ heardAt }) => heardAt >= from);
  };
  return Object.assign(exchange, {
    incarnation: incarnationOf(settings.name, session),
    isFed,
    sums: () => totals.fleet.with({ admitted: new Map(), use: board.use() }).use,
    sumOf: (key: number) =>
      exchange.role === FleetRole.Member ? told.get(key) : totals.fleet.useOf(key),
  });
}

/** Creates a function that reports whether a further batch of changes still fits into a digest. */
function createRoom(): (group: readonly FeedChange[]) => boolean {
  let count = 0;
  let characters = 0;
  return (group) => {
    count += group.length;
    for (const { object, removed } of group) if (!removed) characters += sizeOf(object);
    return count <= MOST_CHANGES && characters <= MOST_CHANGE_TEXT;
  };
}

/**
 * Size in characters by object. A relay sends each change to many instances but computes its size
 * only once.
 */
const sizes = new WeakMap<FeedObject, number>();

function sizeOf(object: FeedObject): number {
  const size = sizes.get(object) ?? objectText(object).length;
  sizes.set(object, size);
  return size;
}
