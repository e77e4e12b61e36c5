import fc from "fast-check";
import { expect, test } from "vitest";
import { Purchase } from "../interface/index.ts";
import { estimateInitialDemand, planMix } from "./worker_mix.ts";
import type { MixOrder, ZoneStock } from "./worker_mix.ts";

const SCALING = {
  minWorkers: 1,
  maxWorkers: 10,
  startUp: 4_000,
  reclaimablePrice: 0.18,
  zonePrices: new Map([
    ["a", 1],
    ["b", 0.8],
    ["c", 1.25],
    ["d", 0.9],
  ]),
};

interface StockCounts {
  readonly reclaimable?: readonly number[];
  readonly ordered?: readonly number[];
  readonly exhausted?: readonly string[];
}

function createStock({ reclaimable = [], ordered = [], exhausted = [] }: StockCounts): ZoneStock[] {
  return [...SCALING.zonePrices.keys()].map((zone, index) => ({
    zone,
    reclaimable: reclaimable[index] ?? 0,
    ordered: ordered[index] ?? 0,
    isExhausted: exhausted.includes(zone),
  }));
}

const ALL_ZONES = ["a", "b", "c", "d"];

function plan(
  existing: StockCounts,
  options: { inUse: number; heldOnDemand?: number; lossInterval?: number },
): MixOrder[] {
  const { inUse, heldOnDemand = 0, lossInterval = Infinity } = options;
  const level = { current: inUse, smoothed: inUse, smoothedPrefill: inUse, hasLoad: true };
  return [
    ...planMix({
      scaling: SCALING,
      stock: createStock(existing),
      demand: level,
      heldOnDemand,
      lossInterval,
    }).orders,
  ];
}

function countWorkers(orders: readonly MixOrder[], purchase: Purchase): number {
  return orders
    .filter((order) => order.purchase === purchase)
    .reduce((sum, order) => sum + order.count, 0);
}

test("before any load, orders reclaimable workers by the existing ones and none on demand", () => {
  const smoothed = estimateInitialDemand(SCALING, { reclaimable: 0, onDemand: 13 });
  const demand = { current: 0, smoothed, smoothedPrefill: 0, hasLoad: false };
  const existing = createStock({ ordered: [4, 3, 3, 3] });
  const orders = [
    ...planMix({
      scaling: SCALING,
      stock: existing,
      demand,
      heldOnDemand: 0,
      lossInterval: Infinity,
    }).orders,
  ];
  expect(countWorkers(orders, Purchase.Reclaimable)).toBe(12);
  expect(countWorkers(orders, Purchase.OnDemand)).toBe(0);
});

test("orders enough reclaimable workers to lose two zones", () => {
  expect(countWorkers(plan({}, { inUse: 8 }), Purchase.Reclaimable)).toBe(16);
});

// Two zones' reclaimable workers are reclaimed and the market has none anywhere. The callers of the
// whole service share the remaining workers until it does.
test("buys missing workers on demand while the market is empty, and returns them afterwards", () => {
  const reclaimed = { reclaimable: [4, 4, 0, 0], exhausted: ALL_ZONES };
  expect(countWorkers(plan(reclaimed, { inUse: 12 }), Purchase.OnDemand)).toBeGreaterThanOrEqual(4);
  const recovered = { reclaimable: [4, 4, 4, 4], ordered: [2, 2, 2, 1] };
  expect(countWorkers(plan(recovered, { inUse: 8, heldOnDemand: 7 }), Purchase.OnDemand)).toBe(0);
});

// Requests queue while the market is empty, and the load requires more workers than the limits
// allow. Reserving all of a zone's places for unavailable reclaimable workers would leave none for
// on-demand ones.
test("gives places of unavailable reclaimable workers to on-demand ones", () => {
  const orders = plan({ reclaimable: [1, 0, 1, 0], exhausted: ALL_ZONES }, { inUse: 30 });
  expect(countWorkers(orders, Purchase.OnDemand)).toBeGreaterThanOrEqual(30);
  // Each zone still orders one reclaimable worker more than it has.
  const reclaimableOrders = orders.filter(({ purchase }) => purchase === Purchase.Reclaimable);
  expect(reclaimableOrders.map((order) => order.count)).toEqual([2, 1, 2, 1]);
});

// The load falls for a moment while the market is empty. Workers that were returned would have to
// start again.
test("keeps on-demand workers in place while they were wanted recently", () => {
  const existing = { reclaimable: [2, 2, 0, 0], ordered: [1, 3, 2, 2], exhausted: ALL_ZONES };
  const orders = plan(existing, { inUse: 6, heldOnDemand: 8 });
  const kept = orders.filter(({ purchase }) => purchase === Purchase.OnDemand);
  expect(kept.map((order) => order.count)).toEqual([1, 3, 2, 2]);
});

// Zones are reclaimed one after another within two seconds, and the market has no workers. A worker
// takes four seconds to start, so orders placed after the last loss would leave the service without
// workers for that time.
test("orders replacements before further zones are reclaimed in a fast wave", () => {
  const existing = { reclaimable: [3, 3, 0, 0], exhausted: ALL_ZONES };
  const slow = countWorkers(plan(existing, { inUse: 6, lossInterval: 20_000 }), Purchase.OnDemand);
  const fast = countWorkers(plan(existing, { inUse: 6, lossInterval: 1_400 }), Purchase.OnDemand);
  expect(slow).toBeGreaterThanOrEqual(3);
  expect(fast).toBeGreaterThanOrEqual(6);
});

// The market has workers again, and reclaimable ones return one by one. Keeping all on-demand
// workers until the last one is back would cost twice.
test("replaces an on-demand worker with each returning reclaimable one", () => {
  const existing = { reclaimable: [2, 2, 1, 0], ordered: [2, 2, 2, 2] };
  expect(countWorkers(plan(existing, { inUse: 8, heldOnDemand: 8 }), Purchase.OnDemand)).toBe(3);
});

test("keeps the orders of each zone within its limits", () => {
  const counts = fc.array(fc.integer({ min: 0, max: 10 }), { minLength: 4, maxLength: 4 });
  fc.assert(
    fc.property(
      fc.record({ reclaimable: counts, ordered: counts, exhausted: fc.subarray(ALL_ZONES) }),
      fc.nat(60),
      fc.nat(40),
      (existing, inUse, heldOnDemand) => {
        const orders = plan(existing, { inUse, heldOnDemand });
        for (const zone of SCALING.zonePrices.keys()) {
          const here = orders.filter((order) => order.zone === zone);
          const sum = here.reduce((total, order) => total + order.count, 0);
          expect(sum).toBeLessThanOrEqual(SCALING.maxWorkers);
          expect(sum).toBeGreaterThanOrEqual(SCALING.minWorkers);
          expect(here.every((order) => order.count >= 0)).toBe(true);
        }
      },
    ),
  );
});
