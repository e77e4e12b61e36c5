import { expect, test } from "vitest";
import { createSeededRandom, Purchase, sleep, WorkerState } from "../interface/index.ts";
import type { Engine, LoadReport, Worker } from "../interface/index.ts";
import {
  formatRevision,
  LEASE_TERM,
  leaseKey,
  parseLease,
  REVISION_KEY,
} from "../version/index.ts";
import { MINIMAL_DOCUMENT } from "../version/testing/minimal_revision.ts";
import { createLeaseTask } from "./lease_task.ts";
import type { LeaseTask } from "./lease_task.ts";
import { createOrderTask, ORDER_TIMEOUT } from "./order_task.ts";
import { createStoreThrottle } from "./store_throttle.ts";
import { createMemoryStore, createVirtualClock } from "../standin/memory/index.ts";
import { startControlFleet, writeObject } from "./testing/control_fleet.ts";
import type { ControlFleet, ControlNode } from "./testing/control_fleet.ts";

const SERVICES = ["checking", "ignoring"];

function revisionWith(model: string): string {
  const modelService = (checksFence: boolean): object => ({
    ...MINIMAL_DOCUMENT.services.desk,
    kind: "model",
    checksFence,
    models: [{ name: model, version: "1", weights: 1 }],
  });
  const services = { checking: modelService(true), ignoring: modelService(false) };
  const presets = { day: { about: "", services: {} } };
  const source = { ...MINIMAL_DOCUMENT, services, presets };
  return formatRevision({ source, preset: "day", changes: [] });
}

function workerOf(service: string): Worker {
  return {
    id: `${service}-1`,
    address: "http://127.0.0.1:1",
    service,
    zone: "z0",
    machineClass: "standard",
    purchase: Purchase.Reclaimable,
    state: WorkerState.Live,
  };
}

interface SentOrder {
  readonly by: string;
  readonly service: string;
  readonly fence: number;
  readonly model: string;
  readonly at: number;
}

/**
 * Two workers: one of a service whose servers check fencing tokens, and one of a service whose
 * servers don't.
 */
interface Servers {
  /** Orders as they arrived, including refused ones. */
  readonly orders: readonly SentOrder[];
  loaded(service: string): string;
  engineOf(node: ControlNode, fleet: ControlFleet): Engine;
}

function createServers(): Servers {
  const orders: SentOrder[] = [];
  const loaded = new Map<string, string>();
  const highest = new Map<string, number>();
  const engineOf: Servers["engineOf"] = (node, fleet) => {
    const part: Pick<Engine, "fetchLoad" | "setDesiredState"> = {
      fetchLoad: async (worker) => {
        await sleep(fleet.clock, 1);
        await node.pauseControl.whenRunning();
        const model = loaded.get(worker.service);
        return {
          worker: worker.id,
          loaded: model === undefined ? [] : [model],
        } as unknown as LoadReport;
      },
      setDesiredState: async (worker, { fence, models }) => {
        // An order handed to the network before a pause arrives after the pause.
        await node.pauseControl.whenRunning();
        await sleep(fleet.clock, 1);
        const { service } = worker;
        const model = models[0] ?? "";
        orders.push({ by: node.self.id, service, fence, model, at: fleet.clock.now() });
        if (service === "checking" && fence < (highest.get(service) ?? 0))
          throw new Error("The order has an outdated fencing token.");
        highest.set(service, fence);
        loaded.set(service, model);
      },
    };
    return part as Engine;
  };
  return { orders, engineOf, loaded: (service) => loaded.get(service) ?? "" };
}

interface LeaseFleet {
  readonly fleet: ControlFleet;
  readonly servers: Servers;
  readonly tasks: readonly LeaseTask[];
  readonly holderOf: (service: string) => number;
  readonly close: () => void;
}

async function startLeases(count: number): Promise<LeaseFleet> {
  const fleet = await startControlFleet({ count, zones: count, revision: revisionWith("a") });
  const servers = createServers();
  const workers = SERVICES.map(workerOf);
  await fleet.clock.advance(5_000);
  const started = fleet.nodes.map((node, index) => {
    const parts = {
      ...node,
      throttle: node.configuration.throttle,
      leaseNames: () => SERVICES,
      clock: node.pauseControl.clock,
      random: createSeededRandom(index + 50),
      store: fleet.store.connect(() => node.pauseControl.whenRunning()),
      maxOrderTime: ORDER_TIMEOUT,
      count: () => undefined,
    };
    const leases = createLeaseTask(parts);
    const view = {
      list: () => workers,
      find: () => undefined,
      onChange: () => ({ close: () => undefined }),
    };
    const engine = servers.engineOf(node, fleet);
    const orders = createOrderTask({ ...parts, leases, engine, workers: view });
    leases.start();
    orders.start();
    return { leases, orders };
  });
  await fleet.clock.advance(10_000);
  return {
    fleet,
    servers,
    tasks: started.map(({ leases }) => leases),
    holderOf: (service) => started.findIndex(({ leases }) => leases.held().includes(service)),
    close: () => {
      for (const { leases, orders } of started) {
        leases.close();
        orders.close();
      }
      fleet.close();
    },
  };
}

test("each service has one holder, which orders the configured models", async () => {
  const { servers, tasks, close } = await startLeases(4);
  for (const service of SERVICES) {
    expect(tasks.filter((task) => task.held().includes(service))).toHaveLength(1);
    expect(servers.loaded(service)).toBe("a");
    // Orders are level-triggered: a state that already matches is not ordered again.
    expect(servers.orders.filter((order) => order.service === service)).toHaveLength(1);
  }
  close();
});

test.each(SERVICES)(
  "a holder paused past its lease sends the %s servers no outdated order after it resumes",
  async (service) => {
    // The holder is paused for a minute, for example because its machine swaps. Another instance
    // takes over and the models change. After resuming, the old holder still assumes that it holds
    // the lease; if it loaded the old models again, requests would be answered by the wrong model.
    const { fleet, servers, holderOf, tasks, close } = await startLeases(4);
    const before = holderOf(service);
    const paused = fleet.nodes[before];
    paused?.pauseControl.pause();
    await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("b") });
    await fleet.clock.advance(60_000);
    expect(servers.loaded(service)).toBe("b");
    const orders = servers.orders.length;
    paused?.pauseControl.resume();
    expect(tasks[before]?.fence(service, ORDER_TIMEOUT)).toBeUndefined();
    await fleet.clock.advance(30_000);
    expect(servers.orders.slice(orders)).toEqual([]);
    expect(servers.loaded(service)).toBe("b");
    close();
  },
);

test.each(SERVICES)(
  "an order in progress while its sender is paused has no lasting effect on the %s servers",
  async (service) => {
    // The order was sent before the pause and arrives a minute later. A server that checks fencing
    // tokens refuses it. One that doesn't executes it, and the next load report causes a
    // correction.
    const { fleet, servers, holderOf, close } = await startLeases(4);
    const node = fleet.nodes[holderOf(service)];
    if (node === undefined) throw new Error("No instance holds the lease.");
    const stale = servers.engineOf(node, fleet);
    node.pauseControl.pause();
    const late = stale.setDesiredState(workerOf(service), {
      fence: 1,
      models: ["a"],
      role: "serve",
    });
    const ended = late.then(
      () => "obeyed",
      () => "refused",
    );
    await writeObject(fleet, { key: REVISION_KEY, value: revisionWith("b") });
    await fleet.clock.advance(60_000);
    node.pauseControl.resume();
    await fleet.clock.advance(10);
    expect(await ended).toBe(service === "checking" ? "refused" : "obeyed");
    await fleet.clock.advance(15_000);
    expect(servers.loaded(service)).toBe("b");
    close();
  },
);

test("a successor sends its first order only after the previous holder's orders have timed out", async () => {
  // The holder fails without notice, and its last order may still be on its way to a server that
  // ignores fencing tokens. The successor's first order must not be followed by it.
  const { fleet, tasks, holderOf, close } = await startLeases(4);
  const before = holderOf("ignoring");
  const others = tasks.filter((_, index) => index !== before);
  const until = async (predicate: (task: LeaseTask) => boolean): Promise<number> => {
    while (!others.some(predicate)) await fleet.clock.advance(50);
    return fleet.clock.now();
  };
  const pausedAt = fleet.clock.now();
  fleet.nodes[before]?.pauseControl.pause();
  const takenAt = await until((task) => task.held().includes("ignoring"));
  // An instance without the lease reads it only while it is the preferred one, which the successor
  // becomes after the pause. From its first read on, it waits for the whole term; the bound is a
  // quarter of the term lower.
  expect(takenAt - pausedAt).toBeGreaterThanOrEqual(7_500);
  const orderedAt = await until((task) => task.fence("ignoring", ORDER_TIMEOUT) !== undefined);
  expect(orderedAt - takenAt).toBeGreaterThanOrEqual(ORDER_TIMEOUT - 50);
  close();
});

test("renewals with lost responses never cause a second holder", async () => {
  const { fleet, servers, tasks, close } = await startLeases(3);
  for (let round = 0; round < 10; round++) {
    fleet.store.dropResponses(2);
    await fleet.clock.advance(3_000);
    for (const service of SERVICES) {
      expect(tasks.filter((task) => task.fence(service, 0) !== undefined).length).toBeLessThan(2);
    }
  }
  await fleet.clock.advance(30_000);
  expect(
    SERVICES.map((service) => tasks.filter((task) => task.held().includes(service)).length),
  ).toEqual([1, 1]);
  expect(servers.orders).toHaveLength(2);
  close();
});

test("a returned lease is acquired by another instance within seconds", async () => {
  const { fleet, tasks, holderOf, close } = await startLeases(3);
  const before = holderOf("checking");
  fleet.nodes[before]?.members.leave();
  const released = tasks[before]?.release();
  await fleet.clock.advance(4_000);
  await released;
  expect(holderOf("checking")).not.toBe(before);
  expect(holderOf("checking")).toBeGreaterThanOrEqual(0);
  close();
});

test("instances that stop in turn pass the lease on at most once per term", async () => {
  // All instances are restarted one after another. If the second holder returned the lease right
  // after acquiring it, the first one's machine could hold it again within a term. A platform that
  // doesn't check fencing tokens would then receive alternating orders from two holders.
  const { fleet, tasks, holderOf, close } = await startLeases(3);
  const stop = async (index: number): Promise<void> => {
    fleet.nodes[index]?.members.leave();
    void tasks[index]?.release();
    await fleet.clock.advance(10);
  };
  const waitFor = async (isTrue: () => boolean): Promise<number> => {
    for (let waited = 0; !isTrue() && waited < 20_000; waited += 10) await fleet.clock.advance(10);
    return fleet.clock.now();
  };
  const first = holderOf("checking");
  await stop(first);
  const takenAt = await waitFor(() => holderOf("checking") >= 0 && holderOf("checking") !== first);
  const second = holderOf("checking");
  await stop(second);
  const isThird = (): boolean => ![-1, first, second].includes(holderOf("checking"));
  expect((await waitFor(isThird)) - takenAt).toBeGreaterThanOrEqual(LEASE_TERM - 10);
  expect(isThird()).toBe(true);
  close();
});

// The holder stops responding, its lease expires, and another instance acquires it but is restarted
// right afterwards. If it returned the lease, the first holder could hold it again within a term of
// its last order, and a platform that doesn't check fencing tokens would receive alternating
// orders from both.
test("a lease acquired after expiry is not passed on within a term", async () => {
  const { fleet, tasks, holderOf, close } = await startLeases(3);
  const first = holderOf("checking");
  fleet.nodes[first]?.pauseControl.pause();
  const isOther = (): boolean => ![-1, first].includes(holderOf("checking"));
  while (!isOther()) await fleet.clock.advance(10);
  const takenAt = fleet.clock.now();
  const second = holderOf("checking");
  fleet.nodes[first]?.pauseControl.resume();
  fleet.nodes[second]?.members.leave();
  void tasks[second]?.release();
  const isPassedOn = (): boolean => ![-1, second].includes(holderOf("checking"));
  while (!isPassedOn()) await fleet.clock.advance(10);
  expect(fleet.clock.now() - takenAt).toBeGreaterThanOrEqual(LEASE_TERM - 10);
  close();
});

// An order to a slow platform is in progress when its sender receives a stop signal. If the lease
// were free at once, the next holder's order could arrive first, and the older order would take
// effect last.
test("a lease is returned only after all orders of its holder have timed out", async () => {
  const { fleet, tasks, holderOf, close } = await startLeases(3);
  const first = holderOf("checking");
  expect(tasks[first]?.fence("checking", ORDER_TIMEOUT)).toBeDefined();
  const orderedAt = fleet.clock.now();
  fleet.nodes[first]?.members.leave();
  void tasks[first]?.release();
  const isPassedOn = (): boolean => ![-1, first].includes(holderOf("checking"));
  while (!isPassedOn()) await fleet.clock.advance(10);
  expect(fleet.clock.now() - orderedAt).toBeGreaterThanOrEqual(ORDER_TIMEOUT);
  expect(tasks[first]?.fence("checking", 0)).toBeUndefined();
  close();
});

// The holder fails. While it reported holding the lease, the others had no reason to read it from
// the store. If a successor counted the term only from its first read, two terms would pass without
// an instance that orders workers or reports usage.
test("a lease is taken over one term after its last reported renewal", async () => {
  const fleet = await startControlFleet({
    count: 3,
    zones: 3,
    revision: revisionWith("a"),
  });
  let dead = -1;
  const { clock, nodes, store } = fleet;
  const tasks: LeaseTask[] = nodes.map((node, index) =>
    createLeaseTask({
      ...node,
      throttle: node.configuration.throttle,
      leaseNames: () => ["duty"],
      clock: node.pauseControl.clock,
      random: createSeededRandom(index + 50),
      store: store.connect(() => node.pauseControl.whenRunning()),
      maxOrderTime: 300,
      pollInterval: 500,
      isHeldElsewhere: () =>
        tasks.some((task, other) => ![index, dead].includes(other) && task.versionOf("duty") > 0),
      count: () => undefined,
    }),
  );
  for (const task of tasks) task.start();
  const holder = (): number =>
    tasks.findIndex((task, index) => index !== dead && task.versionOf("duty") > 0);
  const pass = async (): Promise<void> => {
    await clock.advance(100);
    const version = tasks[holder()]?.versionOf("duty") ?? 0;
    for (const [index, task] of tasks.entries())
      if (index !== holder()) task.observe("duty", version);
  };
  while (clock.now() < 30_000) await pass();
  dead = holder();
  nodes[dead]?.pauseControl.pause();
  nodes[dead]?.members.leave();
  const diedAt = clock.now();
  while (holder() < 0) await pass();
  expect(clock.now() - diedAt).toBeGreaterThan(LEASE_TERM / 2);
  expect(clock.now() - diedAt).toBeLessThan(LEASE_TERM + 1_500);
  for (const task of tasks) task.close();
  fleet.close();
});

// In a large fleet, only relays receive the counts of all instances. An instance that is no longer
// a relay would report the usage of its own zone as that of all zones.
test("a holder that must not hold the lease any more returns it at once", async () => {
  const clock = createVirtualClock();
  const store = createMemoryStore(clock).connect();
  let mayHold = true;
  const random = createSeededRandom(1);
  const task = createLeaseTask({
    clock,
    random,
    store,
    throttle: createStoreThrottle({ clock, random, members: () => 1 }),
    leaseNames: () => ["duty"],
    members: { self: { id: "a" }, alive: () => (mayHold ? [{ id: "a" }] : [{ id: "b" }]) },
    maxOrderTime: 300,
    term: 3_000,
    pollInterval: 500,
    canHold: () => mayHold,
    count: () => undefined,
  });
  task.start();
  await clock.advance(6_000);
  expect(task.held()).toEqual(["duty"]);
  mayHold = false;
  await clock.advance(1_500);
  expect(task.held()).toEqual([]);
  const pendingRead = store.get(leaseKey("duty"));
  await clock.advance(10);
  const found = await pendingRead;
  expect(found.kind === "found" ? parseLease(1, found.object.value)?.holder : found.kind).toBe("");
  task.close();
});
