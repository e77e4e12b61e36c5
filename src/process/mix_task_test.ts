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
    least: 1,
    most: 10,
    startUp: 4_000,
    reclaimablePrice: 0.2,
    zonePrices: new Map(ZONES.map((zone) => [zone, 1])),
  },
};

interface Market {
  readonly orders: (WorkerOrder & { at: number })[];
  workers: RoutedWorker[];
  isDry: boolean;
  inUse: number;
  mayOrder: boolean;
  /** The rest of the workers enters the store. */
  enterAll(): void;
  advance(milliseconds: number): Promise<void>;
  /** The task is told that workers have come or gone. */
  changed(): void;
}

/**
 * A platform whose ordered workers are there a start-up later.
 *
 * @param entered Workers on demand that have entered the store at the start.
 */
function startMarket(entered = 12): Market {
  const clock = createVirtualClock();
  let made = 0;
  const worker = (zone: string, purchase: Purchase): RoutedWorker => ({
    id: `w${made++}`,
    born: 1,
    service: SERVICE.name,
    address: "10.0.0.1:80",
    zone,
    version: "v1",
    slots: 8,
    purchase,
    isLeaving: false,
    leavesIn: undefined,
    coldFor: 0,
  });
  const market: Market = {
    orders: [],
    workers: [],
    isDry: false,
    inUse: 0,
    mayOrder: true,
    enterAll: () => {
      const gone = new Set(all.slice(0, entered));
      market.workers = [...market.workers, ...all.filter((one) => !gone.has(one))];
    },
    advance: (milliseconds) => clock.advance(milliseconds),
    changed: () => task.workersChanged(),
  };
  const all = ZONES.flatMap((zone) => [0, 1, 2].map(() => worker(zone, Purchase.OnDemand)));
  market.workers = all.slice(0, entered);
  const meet = ({ zone, purchase, count }: WorkerOrder): void => {
    const here = market.workers.filter((one) => one.zone === zone && one.purchase === purchase);
    const gone = new Set(here.slice(count));
    market.workers = market.workers.filter((one) => !gone.has(one));
    for (let more = here.length; more < count; more++) market.workers.push(worker(zone, purchase));
  };
  const platform: Platform = {
    orderWorkers: (order): Promise<CallOutcome> => {
      market.orders.push({ ...order, at: clock.now() });
      const there = market.workers.filter(
        (one) => one.zone === order.zone && one.purchase === order.purchase,
      ).length;
      const wantsMore = order.purchase === Purchase.Reclaimable && order.count > there;
      if (market.isDry && wantsMore) return Promise.resolve({ kind: "none-available" });
      clock.after(order.count > there ? 4_000 : 0, () => meet(order));
      return Promise.resolve({ kind: "accepted" });
    },
    reportUsage: () => Promise.resolve({ kind: "accepted" }),
  };
  const task = createMixTask({
    clock,
    platform,
    services: () => [SERVICE],
    workers: () => market.workers,
    inUse: (_service, first) =>
      market.inUse === 0
        ? { now: 0, lately: first, reading: 0, hasBegun: false }
        : { now: market.inUse, lately: market.inUse, reading: market.inUse, hasBegun: true },
    fence: () => (market.mayOrder ? 7 : undefined),
    holder: "e1",
    log: () => undefined,
  });
  task.start();
  return market;
}

function count(market: Market, purchase: Purchase): number {
  return market.workers.filter((worker) => worker.purchase === purchase).length;
}

test("on-demand workers are replaced by reclaimable ones before any load", async () => {
  const market = startMarket();
  await market.advance(10_000);
  expect(count(market, Purchase.OnDemand)).toBe(0);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// A deployment starts, and its workers enter the store within a second. Planned by the first of them, a few would be
// ordered and all the others sent away just before the callers come.
test("nothing is planned before all workers of a start are there", async () => {
  const market = startMarket(3);
  await market.advance(300);
  market.enterAll();
  await market.advance(10_000);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// Entries come to the store one after the other for up to a second and a half, with pauses. A pause isn't the end.
test("a pause between entries isn't taken for the last of them", async () => {
  const market = startMarket(2);
  await market.advance(1_200);
  expect(market.orders).toEqual([]);
  market.enterAll();
  await market.advance(10_000);
  expect(count(market, Purchase.Reclaimable)).toBeGreaterThanOrEqual(12);
});

// A zone is taken and the market gives none. Each half second until workers on demand are ordered is one more of late
// answers four seconds later.
test("what a dry market doesn't give is ordered on demand at once when workers are taken", async () => {
  const market = startMarket();
  market.inUse = 12;
  await market.advance(12_000);
  market.isDry = true;
  market.workers = market.workers.filter(({ zone }) => zone === "a");
  market.changed();
  await market.advance(60);
  const bought = market.orders.filter(
    ({ purchase, count: ordered }) => purchase === Purchase.OnDemand && ordered > 0,
  );
  expect(bought.length).toBeGreaterThan(0);
});

// Two zones' reclaimable workers are taken, and for a while the market gives none anywhere. Orders of workers on
// demand that come and go every half second would be paid for and never serve.
test("in a dry market workers on demand come once and stay until it gives again", async () => {
  const market = startMarket();
  market.inUse = 8;
  await market.advance(12_000);
  market.isDry = true;
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
  market.isDry = false;
  market.inUse = 6;
  await market.advance(20_000);
  expect(count(market, Purchase.OnDemand)).toBe(0);
});

test("without the lease nothing is ordered", async () => {
  const market = startMarket();
  market.mayOrder = false;
  await market.advance(600);
  const before = market.orders.length;
  await market.advance(10_000);
  expect(market.orders.length).toBe(before);
});
