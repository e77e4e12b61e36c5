import {
  createCrashEvidence,
  createPartEvidence,
  createWorkerLimits,
  createWorkerRooms,
  createRepeatBudget,
  createSharedCounts,
  createSharedQuota,
  createFleetTime,
  createUsageLedger,
  createWorkerHealth,
  RENEWAL_INTERVAL,
  timeUntilRenewal,
} from "../../decision/index.ts";
import type {
  CrashEvidence,
  PartEvidence,
  SharedCounts,
  SharedQuota,
  UsageLedger,
} from "../../decision/index.ts";
import { createSeededRandom, Purchase, sleep } from "../../interface/index.ts";
import type { RoutedWorker } from "../../interface/index.ts";
import type { WorkerRun, CandidateWorker } from "../../request/index.ts";
import { createVirtualClock } from "../../standin/memory/index.ts";
import { hashText, QuotaUnit } from "../../version/index.ts";
import type { RoutedService } from "../../version/index.ts";
import { createRunningTime } from "../running_time.ts";
import { createFleetSync } from "../fleet_sync.ts";
import type { FleetSync } from "../fleet_sync.ts";
import { FleetRole } from "../fleet_topology.ts";
import { createInstanceHashes } from "../instance_hashes.ts";
import { createRoutedWorkerTable } from "../routed_worker_table.ts";
import type { RoutedWorkerTable } from "../routed_worker_table.ts";
import { createRoutedLog } from "../routed_log.ts";
import { createPeerCatchUp } from "../peer_catch_up.ts";
import { createFeedFollower } from "../feed_follower.ts";
import type { FeedFollower } from "../feed_follower.ts";
import { createMemoryFeed } from "./memory_feed.ts";
import type { MemoryFeed } from "./memory_feed.ts";
import { createDatagramNetwork } from "./datagram_network.ts";
import type { DatagramNetwork } from "./datagram_network.ts";

/** The only service of the fleet's workers. */
export const FLEET_SERVICE = "desk";
/** Kind of the store's objects. */
const KIND = "workers";
/** Number of the usage window to which all runs are assigned. */
export const FLEET_WINDOW = 7;
const QUOTA = { unit: QuotaUnit.Tokens, unstatedTokens: 0, perSecond: 1_000, burst: 1e9 };
/**
 * Milliseconds that an instance takes to send all its objects, and that a fetch waits for an
 * instance that doesn't answer.
 */
const FETCH_TIME = 15;
const FETCH_TIMEOUT = 1_000;
const REPEATS = { ratio: 0.2, slack: 50, window: 10_000 };

/** An instance with the components that its updates come from and go to. */
export interface SyncMember {
  readonly zone: string;
  readonly sync: FleetSync;
  readonly workerTable: RoutedWorkerTable;
  readonly ledger: UsageLedger;
  readonly quota: SharedQuota;
  /** Known requests that crash workers. */
  readonly evidence: CrashEvidence;
  /** Known parts of prompts that crash workers. */
  readonly partEvidence: PartEvidence;
  /** Recent amounts of all instances. */
  readonly sharedCounts: SharedCounts;
  /** The instance's view of the store. */
  readonly feed: FeedFollower;
  /** Address for other instances. */
  readonly address: string;
  /** Whether the instance runs. Setting this does not stop it. */
  isLive: boolean;
  /** Whether the instance answers fetches from other instances. */
  canAnswerFetches: boolean;
}

/**
 * Instances that exchange digests, with a store of one kind of objects but without callers and
 * workers.
 */
export interface SyncFleet {
  readonly store: MemoryFeed;
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly network: DatagramNetwork;
  readonly members: SyncMember[];
  readonly workers: readonly RoutedWorker[];
  /** Starts a run for the account at the worker with the given index. */
  begin(member: SyncMember, run: { worker: number; account: string }): WorkerRun;
  /** Whether the instance would admit another request of the account. */
  canAdmit(member: SyncMember, account: string): boolean;
  /** Ends the instance without notice and starts a new process in its place. */
  restart(member: SyncMember): Promise<SyncMember>;
  close(): void;
}

/** Size of a fleet. */
export interface SyncFleetSize {
  readonly instances: number;
  readonly workers: number;
  readonly accounts: readonly string[];
  readonly seed?: number;
  /** Milliseconds within which the instances start; 0 if it is absent. */
  readonly startTime?: number;
}

/** Starts instances in four availability zones. Each is given the addresses of the first two. */
export async function startSyncFleet(size: SyncFleetSize): Promise<SyncFleet> {
  const clock = createVirtualClock();
  const random = createSeededRandom(size.seed ?? 1);
  const network = createDatagramNetwork(clock, random);
  const workers = Array.from({ length: size.workers }, (_, index) => workerAt(index));
  const store = createMemoryFeed(clock);
  const members: SyncMember[] = [];
  const { startTime = 0 } = size;
  const environment = { clock, random, network, store, members };
  const start = async ({ workerTable, quota, sync, feed }: SyncMember): Promise<void> => {
    workerTable.setWorkers(workers);
    const accounts = size.accounts.map((name) => ({ name, quota: QUOTA }));
    quota.addAccounts(accounts, clock.now());
    sync.addAddresses([addressAt(0), addressAt(1)]);
    await sync.start();
    feed.start();
  };
  for (let index = 0; index < size.instances; index++) {
    members.push(startMember(index, environment));
  }
  for (const member of members) {
    if (startTime > 0) await clock.advance(startTime / size.instances);
    await start(member);
  }
  // A run starts the same way whatever the load, so one list of candidates serves all instances.
  const candidates: readonly CandidateWorker[] = members[0]?.workerTable.candidates(SERVICE) ?? [];
  return {
    clock,
    network,
    store,
    members,
    workers,
    begin: ({ workerTable, ledger, quota }, { worker, account }) => {
      const found = candidates[worker];
      if (found === undefined) throw new Error(`There is no worker ${worker}.`);
      ledger.recordRun(account, FLEET_WINDOW);
      quota.take({ account, quota: QUOTA, size: 100, now: clock.now() });
      return workerTable.begin(found, { prefillTokens: 640, route: "desk" });
    },
    canAdmit: ({ quota }, account) =>
      quota.take({ account, quota: QUOTA, size: 0, now: clock.now() }) === 0,
    restart: async (member) => {
      member.isLive = false;
      member.sync.close();
      member.feed.close();
      const index = members.indexOf(member);
      const restarted = startMember(index, environment);
      members[index] = restarted;
      await start(restarted);
      return restarted;
    },
    close: () => {
      for (const { sync, feed } of members) {
        sync.close();
        feed.close();
      }
    },
  };
}

/** Milliseconds between two checks of the instances' objects, and the maximum time of checking. */
const CHECK_INTERVAL = 20;
const MAX_CHECK_TIME = 6_000;
/** Size of an object's value in characters, similar to a worker's entry. */
const OBJECT_SIZE = 240;

/** Starts a fleet for tests of store changes and waits until its instances are connected. */
export async function startChangeFleet(instances: number, seed = 1): Promise<SyncFleet> {
  const fleet = await startSyncFleet({ instances, workers: 4, accounts: [], seed });
  await fleet.clock.advance(4_000);
  return fleet;
}

/** Writes objects and returns the milliseconds until all given instances have the last one. */
export async function measurePropagation(
  { clock, store, members }: SyncFleet,
  objects: readonly string[],
  among: readonly SyncMember[] = members,
): Promise<number> {
  for (const name of objects) store.put(name, `${name} ${"x".repeat(OBJECT_SIZE)}`);
  const last = objects.at(-1) ?? "";
  const startedAt = clock.now();
  while (clock.now() - startedAt < MAX_CHECK_TIME) {
    if (among.every(({ feed }) => feed.objects.has(last))) break;
    await clock.advance(CHECK_INTERVAL);
  }
  return clock.now() - startedAt;
}

const SERVICE: RoutedService = {
  name: FLEET_SERVICE,
  maxConnections: 1_000,
  engine: undefined,
  scaling: undefined,
};

function addressAt(index: number): string {
  return `10.0.${index >> 8}.${index & 255}:9`;
}

function workerAt(index: number): RoutedWorker {
  return {
    id: `w-${index}`,
    startedAt: 1,
    service: FLEET_SERVICE,
    address: `10.9.${index >> 8}.${index & 255}:80`,
    zone: "z0",
    version: "v1",
    slots: 48,
    purchase: Purchase.OnDemand,
    isLeaving: false,
    leavesIn: undefined,
    warmupLeft: 0,
  };
}

function startMember(
  index: number,
  environment: Pick<SyncFleet, "clock" | "network" | "store" | "members"> & {
    random: ReturnType<typeof createSeededRandom>;
  },
): SyncMember {
  const { clock, random, network, store, members } = environment;
  const name = `e${index}`;
  const zone = `z${index % 4}`;
  const address = addressAt(index);
  const health = createWorkerHealth();
  const sharedCounts = createSharedCounts();
  const quota = createSharedQuota(clock.now(), { duration: 0, counts: sharedCounts, random });
  const ledger = createUsageLedger();
  const evidence = createCrashEvidence((key) => sync.sumOf(key));
  const partEvidence = createPartEvidence(() => clock.now());
  const divisionAmongInstances = {
    time: () => clock.now(),
    self: hashText(address),
    instances: createInstanceHashes({ clock, self: address, otherInstances: () => sync.live() }),
  };
  const workerTable = createRoutedWorkerTable({
    clock,
    random,
    zone,
    health,
    instanceCount: () => 1,
    updateAge: () => 0,
    onBegin: () => sync.reportRunStart(),
    extraCounts: () =>
      new Map([...evidence.counts(clock.now()), ...sharedCounts.ownTotals(clock.now())]),
    time: () => clock.now(),
    limits: createWorkerLimits(divisionAmongInstances),
    rooms: createWorkerRooms(divisionAmongInstances),
  });
  const feed: FeedFollower = createFeedFollower({
    kind: KIND,
    clock,
    random,
    feed: store.of(name),
    isNeeded: () => !sync.isFed() || catchUp.isBehind(KIND),
    watchTimeout: () => {
      const { mesh, relayed } = RENEWAL_INTERVAL;
      const interval = sync.role === FleetRole.Mesh ? mesh : relayed;
      const watch = { watchers: sync.watchers(), self: address, position: 0, interval };
      return timeUntilRenewal(watch, { time: clock.now(), random });
    },
    onAnswer: () => undefined,
    onChange: () => sync.reportStoreChange(),
    onReachabilityChange: () => undefined,
  });
  const log = createRoutedLog({ instance: name, clock, write: () => undefined });
  const feeds = new Map([[KIND, feed]]);
  const catchUp = createPeerCatchUp({
    clock,
    random,
    role: () => sync.role,
    feeds,
    log,
    fetch: async (peer) => {
      await sleep(clock, FETCH_TIME);
      const found = members.find((one) => one.address === peer);
      if (found?.isLive === true && found.canAnswerFetches) {
        const { objects, version, changedAt, age } = found.feed;
        return { objects: [...objects.values()], version, changedAt, age };
      }
      await sleep(clock, FETCH_TIMEOUT);
      throw new Error(`${peer} doesn't answer.`);
    },
  });
  const sync: FleetSync = createFleetSync({
    runningTime: createRunningTime(clock),
    settings: {
      name,
      zone,
      region: "region",
      listen: { callers: address, ready: address, resolve: address, peers: address },
      seeds: [],
      platform: { store: address, cloud: address },
      resolveLife: 1_000,
      grace: 1_000,
      repeats: REPEATS,
      usage: { window: 5_000, lateAfter: 5_000 },
      leaseTerm: 3_000,
      quarantine: { lasts: 60_000 },
      placement: { workerSpeeds: "equal", longPrompts: "together" },
      processor: { share: 1, cores: 1 },
      machine: { memory: 350_000_000, descriptors: 4_200 },
    },
    clock,
    random,
    log,
    feeds,
    state: () => ({
      ready: true,
      reachesStore: feed.isStoreAnswering,
      leaseVersion: 0,
      storeAnsweredAt: 0,
      plans: [],
      limits: workerTable.recentLimitReports(),
      tries: workerTable.recentTryReports(),
      partReports: partEvidence.recentReports(),
    }),
    time: createFleetTime({ date: clock.now(), steady: clock.now() }),
    quota,
    repeats: createRepeatBudget(REPEATS),
    ledger,
    health,
    sharedCounts,
    workerTable,
    onDigest: (peer) => {
      workerTable.updateLimits(peer.limits);
      workerTable.updateTries(peer.tries);
      for (const report of peer.partReports) partEvidence.receiveReport(report);
    },
    onDigestApplied: (peer) => catchUp.receive(peer),
    open: network.open,
  });
  const parts = { zone, sync, feed, address, workerTable, ledger, quota, sharedCounts };
  return { ...parts, evidence, partEvidence, isLive: true, canAnswerFetches: true };
}
