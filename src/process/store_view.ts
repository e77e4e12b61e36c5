import type {
  Clock,
  FeedChange,
  FeedObject,
  ObjectFeed,
  Random,
  RolloutEntry,
  RoutedWorker,
} from "../interface/index.ts";
import { RENEWAL_INTERVAL, timeUntilRenewal } from "../decision/index.ts";
import { createRouteTable } from "../version/index.ts";
import type { Routing, RouteTable } from "../version/index.ts";
import type { InstanceState } from "./digest.ts";
import { createFeedFollower } from "./feed_follower.ts";
import type { ChangeArrival, ChangeSource, FeedFollower } from "./feed_follower.ts";
import type { FleetSync } from "./fleet_sync.ts";
import { FleetRole } from "./fleet_topology.ts";
import { createPeerCatchUp } from "./peer_catch_up.ts";
import type { FetchObjects } from "./peer_fetch.ts";
import type { PeerInstance } from "./peer.ts";
import type { StoredKinds } from "./routed_entry_parts.ts";
import type { RoutedLog } from "./routed_log.ts";
import type { RunningTime } from "./running_time.ts";
import { createStoreOutage } from "./store_outage.ts";
import { createWorkerRoster } from "./worker_roster.ts";

/**
 * The configuration and the workers as stored, received from the store itself or from other
 * instances.
 */
export interface StoreView {
  /** Followers by kind of object. */
  readonly feeds: ReadonlyMap<string, FeedFollower>;
  /** Returns the routing configuration in force; undefined before the first. */
  table(): RouteTable | undefined;
  /** Whether any worker has ever been present. */
  readonly hasWorkers: boolean;
  /** Returns the state of the store that this instance reports in its digests. */
  state(): Pick<InstanceState, "reachesStore" | "storeAnsweredAt">;
  /**
   * Must be called with each digest's sender, before and after the store changes in the digest are
   * applied.
   */
  beforeDigest(peer: PeerInstance): void;
  afterDigest(peer: PeerInstance): void;
  start(): void;
  close(): void;
}

/** Dependencies and settings of {@linkcode createStoreView}. */
export interface StoreViewParts {
  readonly clock: Clock;
  readonly runningTime: Pick<RunningTime, "between">;
  readonly random: Random;
  readonly feed: ObjectFeed;
  /** Fetches objects from other instances. */
  readonly fetch: FetchObjects;
  readonly kinds: StoredKinds;
  /** Whether orders that move services to other versions are followed. */
  readonly followsRollouts: boolean;
  readonly log: RoutedLog;
  /**
   * Milliseconds for which other instances keep reporting that the store answers them after its
   * last answer.
   */
  readonly staleAfter: number;
  /** Returns the time that all instances agree on, in milliseconds since 1970. */
  readonly time: () => number;
  /** This instance's address for other instances. */
  readonly self: string;
  readonly fleet: () => Pick<FleetSync, "role" | "isFed" | "reportStoreChange" | "watchers">;
  /** Called when a routing configuration comes into force. */
  readonly onRouting: (routing: Routing) => void;
  /**
   * Called when orders that move services to other versions have changed, with the age of the
   * change in milliseconds; undefined for orders found at the start.
   */
  readonly onRollouts: (entries: readonly RolloutEntry[], age: number | undefined) => void;
  /**
   * Called when the objects of quarantined requests have changed. `isRestored` tells whether the
   * store was restored from a copy, which may have lost some of them.
   */
  readonly onQuarantine: (
    objects: Iterable<FeedObject>,
    options: { readonly isRestored: boolean },
  ) => void;
  /**
   * Whether this instance follows quarantined requests in the store itself. Other instances receive
   * them in digests.
   */
  readonly followsQuarantine: () => boolean;
  /**
   * Called when store changes arrive, with the milliseconds since the first instance received them.
   */
  readonly onArrival: (source: ChangeSource, delay: number) => void;
  /** Called when the workers have changed. */
  readonly onWorkers: (workers: readonly RoutedWorker[]) => void;
}

/** Maximum number of characters of an unusable name in a log line. */
const MAX_LOGGED_NAME = 64;

/** Creates a view without any objects. */
export function createStoreView(parts: StoreViewParts): StoreView {
  const { clock, random, kinds, log, fleet } = parts;
  let table: RouteTable | undefined;
  let workers: readonly RoutedWorker[] = [];
  let hasWorkers = false;

  const reportChanges = (
    { kind, changedAt }: Pick<FeedFollower, "kind" | "changedAt">,
    changes: readonly FeedChange[],
    { source, age, isFirst, isRestored }: ChangeArrival,
  ): void => {
    fleet().reportStoreChange();
    if (isRestored) log.changed("store-restored", { kind, way: source, store: changedAt });
    // Objects found at the start or after a restore may be arbitrarily old.
    const delay = isFirst || isRestored ? undefined : Math.round(age);
    log.changed("store-changed", {
      kind,
      way: source,
      late: delay,
      changes: changes.length,
      store: changedAt,
    });
    if (delay !== undefined) parts.onArrival(source, delay);
  };
  const watchTimeout = (kind: string): number =>
    timeUntilRenewal(
      {
        watchers: fleet().watchers(),
        self: parts.self,
        position: [...feeds.keys()].indexOf(kind) / feeds.size,
        interval:
          fleet().role === FleetRole.Mesh ? RENEWAL_INTERVAL.mesh : RENEWAL_INTERVAL.relayed,
      },
      { time: parts.time(), random },
    );
  /** Follows a kind of objects. `name` is the kind's name in the log. */
  const follow = (
    { kind, name }: { kind: string; name: string },
    options: {
      readonly apply: (changes: readonly FeedChange[], arrival: ChangeArrival) => void;
      readonly isNeeded?: () => boolean;
    },
  ): FeedFollower => {
    const isQueryNeeded = options.isNeeded ?? (() => !fleet().isFed());
    const follower: FeedFollower = createFeedFollower({
      kind,
      clock,
      random,
      feed: parts.feed,
      isNeeded: () => isQueryNeeded() || catchUp.isBehind(kind),
      watchTimeout: () => watchTimeout(kind),
      limitsOf: (object) => kinds.limitsOf(kind, object),
      onUnusableName: (unusable) =>
        log.changed("object-name-unusable", {
          kind: name,
          begins: unusable.slice(0, MAX_LOGGED_NAME),
          length: unusable.length,
        }),
      onChange: (changes, arrival) => {
        options.apply(changes, arrival);
        reportChanges(follower, changes, arrival);
      },
      onAnswer: () => outage.recordAnswer(),
      onReachabilityChange: (reached, detail) => {
        const answeredAt = outage.answeredAt ?? clock.now();
        const silence = Math.round(clock.now() - answeredAt);
        log.changed("store-reached", { kind: name, reached, detail, silence });
      },
    });
    return follower;
  };
  const routingFeed: FeedFollower = follow(
    { kind: kinds.routing.kind, name: "routing" },
    {
      apply: () => applyRouting(routingFeed.objects.get(kinds.routing.name)),
    },
  );
  const workerFeed: FeedFollower = follow(
    { kind: kinds.workers, name: "workers" },
    {
      apply: (changes, { isRestored }) => {
        if (isRestored) roster.applyRestore(changes);
        else roster.applyChanges(changes);
        applyWorkers();
      },
    },
  );
  const rolloutFeed: FeedFollower = follow(
    { kind: kinds.rollouts, name: "rollouts" },
    { apply: (_changes, arrival) => applyRollouts(arrival) },
  );
  const quarantineFeed: FeedFollower = follow(
    { kind: kinds.quarantine, name: "quarantine" },
    {
      isNeeded: parts.followsQuarantine,
      apply: (_changes, { isRestored }) =>
        parts.onQuarantine(quarantineFeed.objects.values(), { isRestored }),
    },
  );
  const feeds = new Map([
    [kinds.routing.kind, routingFeed],
    [kinds.workers, workerFeed],
    [kinds.quarantine, quarantineFeed],
    ...(parts.followsRollouts ? [[kinds.rollouts, rolloutFeed] as const] : []),
  ]);
  const outage = createStoreOutage({
    clock,
    runningTime: parts.runningTime,
    onEnd: (at) => {
      log.changed("store-returned", {});
      roster.storeReturned(at);
    },
  });
  const roster = createWorkerRoster({
    clock,
    decode: kinds.readWorker,
    onChange: () => applyWorkers(),
    onUnreadable: (worker, excess) => log.changed("worker-entry-unreadable", { worker, excess }),
  });
  const catchUp = createPeerCatchUp({
    clock,
    random,
    role: () => fleet().role,
    feeds,
    log,
    fetch: parts.fetch,
  });

  const applyRouting = (object: FeedObject | undefined): void => {
    if (object === undefined) return;
    try {
      const routing = kinds.readRouting(object.value);
      // Versions only increase: a routing that an instance has applied is never reverted.
      if (routing.version <= (table?.routing.version ?? -1)) return;
      table = createRouteTable(routing);
      parts.onRouting(routing);
      const { version, routes } = routing;
      log.changed("routing", { version, routes: routes.length, store: object.version });
    } catch (error) {
      log.fault("routing-unreadable", { store: object.version, detail: String(error) });
    }
  };
  const applyRollouts = ({ age, isFirst }: ChangeArrival): void => {
    const entries = [...rolloutFeed.objects.values()].flatMap((object) => {
      const entry = kinds.readRollout(object);
      if (entry === undefined) log.fault("rollout-unreadable", { service: object.name });
      return entry === undefined ? [] : [entry];
    });
    parts.onRollouts(entries, isFirst ? undefined : age);
  };
  const applyWorkers = (): void => {
    const previous = workers;
    workers = roster.list();
    hasWorkers ||= workers.length > 0;
    parts.onWorkers(workers);
    logWorkers(previous, workers);
  };
  const logWorkers = (
    previous: readonly RoutedWorker[],
    current: readonly RoutedWorker[],
  ): void => {
    const removed = new Map(previous.map((worker) => [worker.id, worker]));
    for (const worker of current) {
      const known = removed.get(worker.id);
      removed.delete(worker.id);
      if (known !== undefined && isSameState(known, worker)) continue;
      const { id, ...rest } = worker;
      const { startedAt, service, version, zone, purchase, isLeaving, leavesIn } = rest;
      log.changed("worker", {
        worker: id,
        startedAt,
        service,
        version,
        zone,
        purchase,
        isLeaving,
        leavesIn,
      });
    }
    for (const worker of removed.keys()) log.changed("worker-gone", { worker });
  };
  /**
   * Whether the store answers this instance. A pending watch gives no information about the
   * connection, so in a small fleet only the time since the last answer counts. The watchers of a
   * large fleet must detect a loss sooner, by the first failed call.
   */
  const reachesStore = (): boolean =>
    (fleet().role === FleetRole.Mesh || workerFeed.isStoreAnswering) &&
    clock.now() - (workerFeed.answeredAt ?? -Infinity) < parts.staleAfter;
  const storeAnsweredAt = (): number => {
    const { answeredAt } = outage;
    return answeredAt === undefined ? 0 : Math.round(parts.time() - (clock.now() - answeredAt));
  };
  return {
    feeds,
    table: () => table,
    get hasWorkers() {
      return hasWorkers;
    },
    state: () => ({ reachesStore: reachesStore(), storeAnsweredAt: storeAnsweredAt() }),
    beforeDigest: ({ storeAnsweredAt: at }) => {
      if (at > 0) outage.recordPeerAnswer(clock.now() - (parts.time() - at));
    },
    afterDigest: (peer) => catchUp.receive(peer),
    start: () => {
      for (const feed of feeds.values()) feed.start();
    },
    close: () => {
      for (const feed of feeds.values()) feed.close();
    },
  };
}

/** Whether two entries of a worker describe the same process in the same state. */
function isSameState(a: RoutedWorker, b: RoutedWorker): boolean {
  return a.startedAt === b.startedAt && a.version === b.version && a.isLeaving === b.isLeaving;
}
