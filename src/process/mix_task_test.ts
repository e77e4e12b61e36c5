import { expect, test } from "vitest";
import { Purchase } from "../interface/index.ts";
import type { CallOutcome, Platform, RoutedWorker, WorkerOrder } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import type { RoutedService } from "../version/index.ts";
import { createMixTask } from "./mix_task.ts";

const ZONES = ["a", "b", "c", "d"];
const SERVICE: RoutedService = {
  name: "model",
  maxConnections: 100,
  engine: undefined,
  scaling: {
    minWorkers: 1,
    maxWorkers: 10,
    startUp: 4_000,
    reclaimablePrice: 0.2,
    zonePrices: new Map(ZONES.map((zone) => [zone, 1])),
  },
};

interface Market {
  readonly orders: (WorkerOrder & { at: number })[];
  workers: RoutedWorker[];
  isExhausted: boolean;
  inUse: number;
  holdsLease: boolean;
  /** Registers the remaining workers. */
  registerAll(): void;
  advance(milliseconds: number): Promise<void>;
  /** Notifies the task that workers were added or removed. */
  notifyChanged(): void;
}

/**
 * Starts the task with a fake platform whose ordered workers are ready after the start-up time.
 *
 * @param registeredCount Number of on-demand workers registered at the start.
 */
function startMarket(registeredCount = 12): Market {
  const clock = createVirtualClock();
  let created = 0;
  const worker = (zone: string, purchase: Purchase): RoutedWorker => ({
    id: `w${created++}`,
    startedAt: 1,
    service: SERVICE.name,
    address: "10.0.0.1:80",
    zone,
    version: "v1",
    slots: 8,
    purchase,
    isLeaving: false,
    leavesIn: undefined,
    warmupLeft: 0,
  });
  const market: Market = {
    orders: [],
    workers: [],
    isExhausted: false,
    inUse: 0,
    holdsLease: true,
    registerAll: () => {
      const registered = new Set(all.slice(0, registeredCount));
      market.workers = [...market.workers, ...all.filter((one) => !registered.has(one))];
    },
    advance: (milliseconds) => clock.advance(milliseconds),
    notifyChanged: () => task.workersChanged(),
  };
  const all = ZONES.flatMap((zone) => [0, 1, 2].map(() => worker(zone, Purchase.OnDemand)));
  market.workers = all.slice(0, registeredCount);
  const fulfill = ({ zone, purchase, count }: WorkerOrder): void => {
    const present = market.workers.filter((one) => one.zone === zone && one.purchase === purchase);
    const removed = new Set(present.slice(count));
    market.workers = market.workers.filter((one) => !removed.has(one));
    for (let index = present.length; index < count; index++)
      market.workers.push(worker(zone, purchase));
  };
  const platform: Platform = {
    orderWorkers: (order): Promise<CallOutcome> => {
      market.orders.push({ ...order, at: clock.now() });
      const readyCount = market.workers.filter(
        (one) => one.zone === order.zone && one.purchase === order.purchase,
      ).length;
      const wantsMore = order.purchase === Purchase.Reclaimable && order.count > readyCount;
      if (market.isExhausted && wantsMore) return Promise.resolve({ kind: "none-available" });
      clock.after(order.count > readyCount ? 4_000 : 0, () => fulfill(order));
      return Promise.resolve({ kind: "accepted" });
    },
    reportUsage: () => Promise.resolve({ kind: "accepted" }),
  };
  const task = createMixTask({
    clock,
    platform,
    services: () => [SERVICE],
    workers: () => market.workers,
    estimateDemand: (_service, first) =>
      market.inUse === 0
        ? { current: 0, smoothed: first, smoothedPrefill: 0, hasLoad: false }
        : {
            current: market.inUse,
            smoothed: market.inUse,
            smoothedPrefill: market.inUse,
            hasLoad: true,
          },
    fence: () => (market.holdsLease ? 7 : undefined),
    holder: "e1",
    log: () => undefined,
  });
  task.start();
  return market;
}

function count(market: Market, purchase: Purchase): number {
  return market.workers.filter((worker) => worker.purchase === purchase).length;
}

test("replaces on-demand workers by reclaimable ones before any load", async () => {
  const market = startMarket();
  await market.advance(10_000);
  expect(count(market, Purchase.OnDemand)).toBe(0);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// When a deployment starts, its workers register within a second. A plan based on the first of them would order a few
// and release all others just before callers arrive.
test("plans nothing before all workers of a starting deployment have registered", async () => {
  const market = startMarket(3);
  await market.advance(300);
  market.registerAll();
  await market.advance(10_000);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// Workers register one after another for up to 1.5 s, with pauses. A plan made during a pause would see only some.
test("does not mistake a pause between registrations for the last one", async () => {
  const market = startMarket(2);
  await market.advance(1_200);
  expect(market.orders).toEqual([]);
  market.registerAll();
  await market.advance(10_000);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// A zone is reclaimed and the market has no capacity. Each half second of delay until on-demand workers are ordered
// causes another half second of late answers four seconds later.
test("orders on-demand workers immediately if a reclaimed zone can't be replaced by reclaimable ones", async () => {
  const market = startMarket();
  market.inUse = 12;
  await market.advance(12_000);
  market.isExhausted = true;
  market.workers = market.workers.filter(({ zone }) => zone === "a");
  market.notifyChanged();
  await market.advance(60);
  const bought = market.orders.filter(
    ({ purchase, count: ordered }) => purchase === Purchase.OnDemand && ordered > 0,
  );
  expect(bought.length).toBeGreaterThan(0);
});

// The reclaimable workers of two zones are reclaimed, and for a while no zone's market has capacity. On-demand orders
// that rise and fall every half second would be paid for without ever serving.
test("keeps on-demand workers until the market has capacity again", async () => {
  const market = startMarket();
  market.inUse = 8;
  await market.advance(12_000);
  market.isExhausted = true;
  market.inUse = 10;
  market.workers = market.workers.filter(({ zone }) => zone === "a" || zone === "b");
  const before = market.orders.length;
  await market.advance(12_000);
  const bought = market.orders
    .slice(before)
    .filter(({ purchase }) => purchase === Purchase.OnDemand);
  expect(count(market, Purchase.OnDemand)).toBeGreaterThan(0);
  const lowered = ZONES.filter((zone) => {
    const counts = bought.filter((order) => order.zone === zone).map((order) => order.count);
    return counts.some((one, index) => one < (counts[index - 1] ?? 0));
  });
  expect(lowered).toEqual([]);
  market.isExhausted = false;
  market.inUse = 6;
  await market.advance(20_000);
  expect(count(market, Purchase.OnDemand)).toBe(0);
});

test("orders nothing without the lease", async () => {
  const market = startMarket();
  market.holdsLease = false;
  await market.advance(600);
  const before = market.orders.length;
  await market.advance(10_000);
  expect(market.orders.length).toBe(before);
});
