import { createDatagramChannels } from "../connection/datagram_channels.ts";
import { openDatagramSocket } from "../connection/datagram_socket.ts";
import { createWorkerConnections } from "../connection/worker_connections.ts";
import { createWorkerPath } from "../connection/worker_path.ts";
import { createWorkerRelay } from "../connection/worker_relay.ts";
import {
  createAccountShares,
  createAnswerPace,
  createAnswerTimes,
  createRepeatBudget,
  createSharedCounts,
  createSharedQuota,
  createFleetTime,
  createUsageLedger,
  createDemandEstimator,
  createWorkerHealth,
  createWorkerLimits,
  createWorkerRooms,
  createWorkerSpeeds,
  sampleAddresses,
  sum,
} from "../decision/index.ts";
import type { DemandLevel, DemandEstimator } from "../decision/index.ts";
import { createRoutedRequests } from "../request/routed_service.ts";
import { parseWorkerStatement } from "../request/index.ts";
import type { RoutedContext } from "../request/index.ts";
import { hashText } from "../version/index.ts";
import type { RoutedService, RouteTable } from "../version/index.ts";
import { createLeaseTask } from "./lease_task.ts";
import { createMixTask } from "./mix_task.ts";
import { createPlannedStop } from "./routed_entry_stop.ts";
import { createFleetSync } from "./fleet_sync.ts";
import { FleetRole } from "./fleet_topology.ts";
import { createInstanceHashes } from "./instance_hashes.ts";
import { createCrashQuarantine } from "./crash_quarantine.ts";
import { createLongPromptWorkers } from "./long_prompt_workers.ts";
import { createRoutedWorkerTable } from "./routed_worker_table.ts";
import type { RoutedEntry, RoutedEntryDependencies } from "./routed_entry_parts.ts";
import { createLoggedBudget } from "./receive_limits.ts";
import { addRoutedGauges } from "./routed_gauges.ts";
import { routedInstanceStatus } from "./routed_instance_status.ts";
import { capacityOf } from "./routed_settings.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import { createRolloutTask } from "./rollout_task.ts";
import { createRolloutView, servedWorkers } from "./rollout_view.ts";
import { createRecordedStreamVersions } from "./recorded_stream_versions.ts";
import { createStoreThrottle } from "./store_throttle.ts";
import { shareServices } from "./share_services.ts";
import { createStoreView } from "./store_view.ts";
import { createStallMonitor } from "./stall_monitor.ts";
import { createUsageTask } from "./usage_task.ts";
import { createWorkerChecks } from "./worker_checks.ts";
import type { WorkerEntry } from "./worker_selection.ts";

/** Maximum number of addresses in a response to a resolve request. */
const MAX_ADDRESSES = 64;
/** Maximum time to live of resolved addresses, in milliseconds: a stopping instance loses its callers about as fast. */
const RESOLVE_TTL = 1_000;
/** Name of the single lease for all platform calls. One lease is enough, and each renewal is a billed call. */
const LEASE_NAME = "platform";
/** Interval between two checks whether the lease can be taken over, in milliseconds. */
const LEASE_POLL_INTERVAL = 500;
/**
 * Time that a successor waits beyond the lease term, in milliseconds. A holder starts no call that could outlast its
 * lease, so only messages in flight have to arrive.
 */
const TAKEOVER_DELAY = 300;
/** Minimum of the longest timeout of all routes, in milliseconds. It applies until there is a configuration. */
const MIN_LONGEST_TIMEOUT = 15_000;
/** Maximum number of worker ids in a log line. */
const MAX_LOGGED_WORKERS = 24;

/** Creates an instance. It does nothing until `start` is called. */
export function createRoutedEntry(
  settings: RoutedSettings,
  dependencies: RoutedEntryDependencies,
): RoutedEntry {
  const { clock, runningTime, random, log, metrics, kinds } = dependencies;
  const startedAt = clock.now();
  const capacity = capacityOf(settings);
  /** The longest time in milliseconds that a route allows. */
  let longestTimeout = MIN_LONGEST_TIMEOUT;

  const health = createWorkerHealth();
  const sharedCounts = createSharedCounts();
  const quota = createSharedQuota(startedAt, {
    duration: settings.quotas?.reserve ?? 0,
    counts: sharedCounts,
    random,
  });
  const pace = createAnswerPace((key) => fleet.reportedOf(key));
  const answerTimes = createAnswerTimes(pace);
  const repeats = createRepeatBudget(settings.repeats);
  const ledger = createUsageLedger();
  const time = createFleetTime({ date: clock.date().getTime(), steady: startedAt });
  const synchronizedNow = (): number => time.now(clock.now());
  const versions =
    settings.rollouts === undefined
      ? undefined
      : createRolloutView({
          clock,
          random,
          limits: settings.rollouts,
          time: synchronizedNow,
          instanceCount: () => fleet.members,
          fleetCountsOf: (key) => fleet.sumOf(key),
          onBegin: (service, version) => metrics.sent(service, version),
          log,
        });
  const path = createWorkerPath({
    clock,
    random,
    connect: dependencies.connect,
    relays: () =>
      fleet
        .live()
        .filter(({ ready }) => ready)
        .map(({ peers }) => peers),
    workers: () => workerTable.workers().filter(({ isLeaving }) => !isLeaving),
    onChange: ({ isCutOff, workers, cause }) =>
      log.changed("worker-path", {
        isCutOff,
        workers: workers.slice(0, MAX_LOGGED_WORKERS).join(" "),
        cause,
      }),
  });
  const received = createLoggedBudget({ log, metrics });
  const connections = createWorkerConnections({
    clock,
    path,
    matching: { idHeader: dependencies.names.requestId, notRunHeader: dependencies.names.notRun },
    report: dependencies.report,
    budget: received,
    whenRead: (send) => runningTime.whenRead(send),
    onHead: (worker, head) =>
      workerTable.recordStatement(worker, parseWorkerStatement(head, dependencies.names)),
  });
  const relay = createWorkerRelay({
    path,
    workerAt: (address) => workerTable.workers().find((worker) => worker.address === address),
    isStopping: () => isStopping(),
    whenRead: (pass) => runningTime.whenRead(pass),
  });
  const instanceCount = (): number => fleet.members;
  const shares = createAccountShares({ counts: sharedCounts, random, instanceCount });
  const quarantine = createCrashQuarantine({
    clock,
    time: synchronizedNow,
    store: dependencies.store,
    duration: settings.quarantine.lasts,
    peerCounts: (key) => fleet.sumOf(key),
    instanceCount,
    canErase: () => lease.held().length > 0,
    log,
  });
  const speeds =
    settings.placement.workerSpeeds === "measured"
      ? createWorkerSpeeds(sharedCounts, {
          onChange: (worker, slowness) =>
            log.changed("worker-speed", { worker, slowness: slowness.toFixed(2) }),
        })
      : undefined;
  const divisionAmongInstances = {
    time: synchronizedNow,
    self: hashText(settings.listen.peers),
    instances: createInstanceHashes({
      clock,
      self: settings.listen.peers,
      otherInstances: () => fleet.live(),
    }),
  };
  const longPrompts = createLongPromptWorkers<WorkerEntry>({
    clock,
    sharedCounts,
    instanceCount,
    isAlone: () => instanceCount() > 1 && fleet.live().length === 0,
    onChange: (change) => log.changed("long-prompt-workers", { ...change }),
  });
  const workerTable = createRoutedWorkerTable({
    clock,
    random,
    zone: settings.zone,
    health,
    instanceCount,
    updateAge: () => fleet.updateAge,
    hasLostPath: (worker) => connections.hasLostPath(worker),
    onBegin: () => fleet.reportRunStart(),
    versions,
    speeds,
    longPrompts,
    extraCounts: () =>
      new Map([
        ...quarantine.counts(),
        ...sharedCounts.ownTotals(clock.now()),
        ...pace.ownTotals(clock.now()),
      ]),
    time: synchronizedNow,
    limits: createWorkerLimits(divisionAmongInstances),
    rooms: createWorkerRooms(divisionAmongInstances),
    onLimit: ({ worker, limit, isOwn }) =>
      log.changed("worker-limit", { worker, limit: limit ?? "none", isOwn }),
    onBrittleness: ({ worker, isBrittle, isOwn }) =>
      log.changed("worker-brittle", { worker, isBrittle, isOwn }),
    onPause: ({ worker, duration }) =>
      log.changed("worker-paused", { worker, duration: Math.round(duration) }),
    onLeaving: ({ worker, isOwn }) => log.changed("worker-leaving", { worker, isOwn }),
  });

  const stop = createPlannedStop({
    clock,
    log,
    grace: settings.grace,
    requestsInProgress: () => requests.inProgress,
    relayedConnections: () => relay.openCount,
    onBegin: () => {
      fleet.sendNow();
      void lease.release();
    },
    endRequests: () => requests.endAll(),
  });
  const isStopping = (): boolean => stop.hasBegun;
  const isReady = (): boolean => table() !== undefined && view.hasWorkers && !isStopping();

  const view = createStoreView({
    clock,
    runningTime,
    random,
    feed: dependencies.feed,
    fetch: dependencies.fetchObjects,
    kinds,
    followsRollouts: versions !== undefined,
    log,
    staleAfter: settings.leaseTerm + LEASE_POLL_INTERVAL,
    time: synchronizedNow,
    self: settings.listen.peers,
    fleet: () => fleet,
    onRouting: (routing) => {
      quota.addAccounts(routing.accounts ?? [], clock.now());
      if (settings.placement.longPrompts === "separated") longPrompts.setRouting(routing);
      const services = new Set(routing.services.map(({ name }) => name));
      pace.retainServices(services);
      answerTimes.retain({ routes: new Set(routing.routes.map(({ name }) => name)), services });
      shares.configure(shareServices(routing), routing.accounts ?? []);
      longestTimeout = Math.max(
        ...routing.routes.map(({ timeout }) => timeout),
        MIN_LONGEST_TIMEOUT,
      );
    },
    onArrival: (source, delay) => metrics.changeReceived(source, delay),
    onQuarantine: (objects, options) => quarantine.setObjects(objects, options),
    followsQuarantine: () =>
      lease.held().length > 0 ||
      quarantine.writtenVersion > (view.feeds.get(kinds.quarantine)?.version ?? 0),
    onRollouts: (entries, age) => versions?.setEntries(entries, age),
    onWorkers: (workers) => {
      versions?.setWorkers(workers);
      streamVersions.setWorkers(workers);
      workerTable.setWorkers(workers);
      connections.retainWorkers(new Set(workers.map(({ id }) => id)));
      mix.workersChanged();
    },
  });
  const table = (): RouteTable | undefined => view.table();
  const datagrams = createDatagramChannels(
    dependencies.openDatagrams ?? openDatagramSocket,
    (bytes) => streamVersions.receive(bytes),
  );
  const streamVersions = createRecordedStreamVersions({
    ...dependencies,
    settings,
    fleet: () => fleet,
    isWriter: () => lease.held().length > 0,
    longestTimeout: () => longestTimeout,
    send: datagrams.sendMarked,
  });
  const fleet = createFleetSync({
    runningTime,
    settings,
    clock,
    random,
    log,
    feeds: view.feeds,
    state: () => ({
      ...view.state(),
      ready: isReady(),
      leaseVersion: lease.versionOf(LEASE_NAME),
      plans: versions?.plans() ?? [],
      limits: workerTable.recentLimitReports(),
      tries: workerTable.recentTryReports(),
      partReports: quarantine.partReports(),
    }),
    time,
    quota,
    repeats,
    ledger,
    health,
    sharedCounts,
    workerTable,
    onDigest: (peer) => {
      lease.observe(LEASE_NAME, peer.leaseVersion);
      view.beforeDigest(peer);
      workerTable.updateLimits(peer.limits);
      workerTable.updateTries(peer.tries);
      quarantine.receivePartReports(peer.partReports);
      versions?.updatePlans(peer.plans);
    },
    onDigestApplied: (peer) => view.afterDigest(peer),
    open: datagrams.open,
  });
  const { incarnation } = fleet;

  /** Whether this instance may hold the lease. Members receive no fleet-wide counts, so they may not. */
  const canHoldLease = (): boolean => fleet.role !== FleetRole.Member;
  const lease = createLeaseTask({
    clock,
    random,
    store: dependencies.store,
    throttle: createStoreThrottle({ clock, random, members: instanceCount }),
    leaseNames: () => [LEASE_NAME],
    members: {
      self: { id: incarnation },
      alive: () => [
        ...(canHoldLease() ? [{ id: incarnation }] : []),
        ...fleet
          .leaseCandidates()
          .filter(({ reachesStore, ready }) => reachesStore && ready)
          .map(({ incarnation: id }) => ({ id })),
      ],
    },
    canHold: () => canHoldLease(),
    storeEra: () => dependencies.store.era,
    maxOrderTime: TAKEOVER_DELAY,
    term: settings.leaseTerm,
    pollInterval: LEASE_POLL_INTERVAL,
    isHeldElsewhere: () => fleet.directPeers().some(({ leaseVersion }) => leaseVersion > 0),
    count: (name) => log.changed(name, {}),
  });
  const demands = new Map<string, DemandEstimator>();
  const workersInUse = (service: RoutedService, first: number): DemandLevel => {
    const { name } = service;
    const { prefillRate = Infinity } = workerTable.timing(service);
    const loads = workerTable.loads(name).map(({ running, unreadTokens }) => ({
      running,
      readingTime: unreadTokens / prefillRate,
    }));
    const demand = demands.get(name) ?? createDemandEstimator();
    demands.set(name, demand);
    return demand.observe(loads, { now: clock.now(), first });
  };
  const usage = createUsageTask({
    clock,
    store: dependencies.store,
    platform: dependencies.platform,
    ledger,
    time: synchronizedNow,
    windowLength: settings.usage.window,
    lateAfter: settings.usage.lateAfter,
    fence: (callTime) => lease.fence(LEASE_NAME, callTime),
    holder: settings.name,
    log: (step, fields) => log.changed(step, fields),
  });
  const rollouts =
    versions === undefined || settings.rollouts === undefined
      ? undefined
      : createRolloutTask({
          clock,
          limits: settings.rollouts,
          view: versions,
          rollouts: dependencies.rollouts,
          store: dependencies.store,
          time: synchronizedNow,
          routes: (service) =>
            (table()?.routing.routes ?? [])
              .filter(({ shares }) => shares.some((share) => share.service === service))
              .map(({ name }) => name),
          fleetCounts: () => fleet.sums(),
          runningRequests: (service) =>
            sum(workerTable.loads(service).map(({ running }) => running)),
          fence: (callTime) => lease.fence(LEASE_NAME, callTime),
          log: (step, fields) => log.changed(step, fields),
        });
  const mix = createMixTask({
    clock,
    platform: dependencies.platform,
    services: () => table()?.routing.services ?? [],
    workers: () => servedWorkers(workerTable.workers(), versions?.served()),
    estimateDemand: (service, first) => workersInUse(service, first),
    fence: (callTime) => lease.fence(LEASE_NAME, callTime),
    holder: settings.name,
    log: (step, fields) => log.changed(step, fields),
  });

  const stalls = createStallMonitor({
    clock,
    onStall: (duration) => log.changed("stalled", { duration: Math.round(duration) }),
  });

  const context: RoutedContext = {
    clock,
    random,
    names: dependencies.names,
    table,
    workerLoads: workerTable,
    connections,
    callerMemory: dependencies.callerMemory,
    received,
    quota,
    shares,
    repeats,
    checks: createWorkerChecks({
      clock,
      tryConnect: (worker) => connections.tryConnect(worker),
      isLeaving: ({ id }) => workerTable.isLeaving(id),
      log,
      onEnded: (_worker, suspects) => quarantine.recordCrash(suspects),
    }),
    quarantine: quarantine.requests,
    partQuarantine: quarantine.parts,
    streamVersions,
    recordStart: (account, at) => {
      if (account === undefined) return;
      ledger.recordRun(account, Math.floor(time.now(at) / settings.usage.window));
    },
    isStopping,
    isClosedToNew: () => stop.isClosedToNew,
    stopTimes: () => stop.times,
    answerTimes,
    logDecision: log.decided,
    metrics,
  };
  const requests = createRoutedRequests(context);
  addRoutedGauges(metrics, {
    requests,
    table,
    fleet,
    quarantine,
    relay,
    path,
    connections,
    workerTable,
    longPrompts,
    shares,
    clock,
  });

  return {
    handle: requests.handle,
    relay: (request, stream, head) => relay.handle(request, stream, head),
    isReady,
    isStopping,
    isClosedToNew: () => stop.isClosedToNew,
    resolve: () => {
      const peers = fleet.live().filter(({ ready }) => ready);
      const own = { callers: settings.listen.callers, capacity };
      const instances = isReady() ? [own, ...peers] : peers;
      return {
        addresses: sampleAddresses(instances, { most: MAX_ADDRESSES, random }),
        life: Math.min(RESOLVE_TTL, settings.resolveLife),
      };
    },
    objects: (kind) => {
      const feed = view.feeds.get(kind);
      return feed === undefined || feed.version === 0
        ? undefined
        : {
            version: feed.version,
            changedAt: feed.changedAt,
            age: feed.age,
            objects: [...feed.objects.values()],
          };
    },
    routing: () => table()?.routing,
    status: () =>
      routedInstanceStatus({
        settings,
        clock,
        time: synchronizedNow,
        isReady,
        isStopping,
        requests,
        table,
        view,
        lease,
        fleet,
        versions,
        rollouts,
        quarantine,
        quota,
        shares,
        workerTable,
      }),
    start: async () => {
      log.changed("starting", { incarnation, zone: settings.zone });
      fleet.addAddresses(settings.seeds);
      runningTime.start();
      await fleet.start();
      view.start();
      lease.start();
      usage.start();
      mix.start();
      quarantine.start();
      streamVersions.start();
      stalls.start();
      rollouts?.start();
    },
    reload: (changed) => {
      fleet.addAddresses(changed.seeds);
      const withCurrentSeeds = { ...changed, seeds: settings.seeds };
      const needsRestart = JSON.stringify(withCurrentSeeds) !== JSON.stringify(settings);
      log.changed("settings-reloaded", { seeds: changed.seeds.join(" "), needsRestart });
    },
    // The process exits when the promise resolves.
    stop: (askedAt = clock.now()) => stop.run(askedAt),
    close: () => {
      for (const part of [fleet, view, lease, usage, mix, quarantine, workerTable]) part.close();
      for (const part of [connections, path, relay, streamVersions, stalls, runningTime])
        part.close();
      rollouts?.close();
    },
  };
}
