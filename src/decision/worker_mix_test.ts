import fc from "fast-check";
import { expect, test } from "vitest";
import { Purchase } from "../interface/index.ts";
import { planMix } from "./worker_mix.ts";
import type { MixOrder, ZoneStock } from "./worker_mix.ts";

const SCALING = {
  least: 1,
  most: 10,
  startUp: 4_000,
  reclaimablePrice: 0.18,
  zonePrices: new Map([
    ["a", 1],
    ["b", 0.8],
    ["c", 1.25],
    ["d", 0.9],
  ]),
};

interface Stock {
  readonly reclaimable?: readonly number[];
  readonly onDemand?: readonly number[];
  readonly dry?: readonly string[];
}

function stock({ reclaimable = [], onDemand = [], dry = [] }: Stock): ZoneStock[] {
  return [...SCALING.zonePrices.keys()].map((zone, index) => ({
    zone,
    reclaimable: reclaimable[index] ?? 0,
    onDemand: onDemand[index] ?? 0,
    isDry: dry.includes(zone),
  }));
}

function count(orders: readonly MixOrder[], purchase: Purchase): number {
  return orders
    .filter((order) => order.purchase === purchase)
    .reduce((sum, order) => sum + order.count, 0);
}

test("as long as the market gives any, none is bought on demand", () => {
  const view = { scaling: SCALING, stock: stock({ onDemand: [4, 3, 3, 3] }), inUse: undefined };
  const orders = planMix(view);
  expect(count(orders, Purchase.Reclaimable)).toBe(16);
  expect(count(orders, Purchase.OnDemand)).toBe(0);
});

test("what the load needs is there with two zones gone", () => {
  const orders = planMix({ scaling: SCALING, stock: stock({}), inUse: 8 });
  expect(count(orders, Purchase.Reclaimable)).toBe(16);
});

// Two zones' reclaimable workers are taken and the market gives none anywhere. The callers of the whole service
// share what is left until it does again.
test("what the market doesn't give is bought on demand, and given back when it does", () => {
  const dry = ["a", "b", "c", "d"];
  const taken = stock({ reclaimable: [4, 4, 0, 0], dry });
  const orders = planMix({ scaling: SCALING, stock: taken, inUse: 12 });
  expect(count(orders, Purchase.OnDemand)).toBeGreaterThanOrEqual(4);
  const back = stock({ reclaimable: [4, 4, 4, 4], onDemand: [2, 2, 2, 1] });
  expect(count(planMix({ scaling: SCALING, stock: back, inUse: 8 }), Purchase.OnDemand)).toBe(0);
});

// Requests pile up while the market is dry, and the load asks for more workers than the bounds allow. Ordering
// all of a zone's places as reclaimable ones, that don't come, would leave no place for those that do.
test("reclaimable workers that can't be had leave their places to those on demand", () => {
  const taken = stock({ reclaimable: [1, 0, 1, 0], dry: ["a", "b", "c", "d"] });
  const orders = planMix({ scaling: SCALING, stock: taken, inUse: 30 });
  expect(count(orders, Purchase.OnDemand)).toBeGreaterThanOrEqual(30);
});

test("no zone is asked for more than its bound", () => {
  const counts = fc.array(fc.integer({ min: 0, max: 10 }), { minLength: 4, maxLength: 4 });
  const dryZones = fc.subarray(["a", "b", "c", "d"]);
  fc.assert(
    fc.property(counts, counts, dryZones, fc.nat(60), (reclaimable, onDemand, dry, inUse) => {
      const there = stock({ reclaimable, onDemand, dry });
      const orders = planMix({ scaling: SCALING, stock: there, inUse });
      for (const zone of SCALING.zonePrices.keys()) {
        const here = orders.filter((order) => order.zone === zone);
        const sum = here.reduce((total, order) => total + order.count, 0);
        expect(sum).toBeLessThanOrEqual(SCALING.most);
        expect(sum).toBeGreaterThanOrEqual(SCALING.least);
        expect(here.every((order) => order.count >= 0)).toBe(true);
      }
    }),
  );
});
