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

/** What an instance tells the others and takes in of them. */
export interface FleetNews extends Omit<PeerExchange, "sources"> {
  /** Names this process. */
  readonly incarnation: string;
  /** Whether others tell this instance what changes in the store. */
  isFed(): boolean;
  /**
   * What all instances have at workers and have counted, added up; at a member of a large fleet only its own.
   */
  sums(): ReadonlyMap<number, WorkerUse>;
  /** What all others have of one hash, where a relay tells this instance or `sums` holds it. */
  sumOf(key: number): WorkerUse | undefined;
}

/** What it is made with. */
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
  /** Called with every digest, before its news are taken in. */
  readonly onHeard: (peer: PeerInstance) => void;
  /** Called with every digest, after what it tells of the store was taken in. */
  readonly onTold: (peer: PeerInstance) => void;
  readonly open: (parts: DatagramParts) => Promise<Datagrams>;
}

/** Windows whose counts are told to the others: those that still grow or aren't reported, and what clocks differ by. */
const TOLD_WINDOWS = 4;
/** Processes are told apart by a number of 32 bits. */
const GREATEST_SESSION = 2 ** 32;
/** How long the relay that feeds this instance may be silent, in milliseconds: three of its digests. */
const FED_TIME = 800;
/**
 * Changes of the store's objects, and characters of JSON, that one digest tells, far below the greatest datagram. The
 * next digest tells what is left; a single change of the store beyond them is fetched.
 */
const MOST_CHANGES = 128;
const MOST_CHANGE_TEXT = 24_000;
/** A process that has run for no longer hasn't counted anything that the others know, in milliseconds. */
const NEW_AGE = 3_000;
/** Up to so many instances are named in the log's line; of more their number is. */
const LOGGED_NAMES = 16;

/** Makes what an instance tells the others and takes in of them; nothing is sent before it is started. */
export function createFleetNews(parts: FleetNewsParts): FleetNews {
  const { settings, clock, random, log, feeds, time, quota, ledger, health, board } = parts;
  const session = randomInt(1, GREATEST_SESSION);
  const startedAt = clock.now();
  /** The sums over the instances that this one hears itself, and over all. */
  const totals = { group: createGroupTotals(), fleet: createGroupTotals() };

  const ownState = (): OwnState => ({
    admitted: quota.tell(clock.now()),
    usage: ledger.own().slice(-TOLD_WINDOWS),
    use: board.use(),
    leaving: board.leaving(),
  });
  /** What a relay told last of all others, where this instance is a member. */
  let told: ReadonlyMap<number, WorkerUse> = new Map();
  let logged = "";
  let own: OwnState | undefined;
  const newsOf = (scope: NewsScope): OwnState => {
    // A round begins with this instance's own: the sums are of the same moment.
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

/** Makes what says whether further changes fit into a digest beside those before them. */
function createRoom(): (group: readonly FeedChange[]) => boolean {
  let count = 0;
  let characters = 0;
  return (group) => {
    count += group.length;
    for (const { object, removed } of group) if (!removed) characters += sizeOf(object);
    return count <= MOST_CHANGES && characters <= MOST_CHANGE_TEXT;
  };
}

/** Each relay tells a change to many instances: its size is found once. */
const sizes = new WeakMap<FeedObject, number>();

function sizeOf(object: FeedObject): number {
  const size = sizes.get(object) ?? objectText(object).length;
  sizes.set(object, size);
  return size;
}
