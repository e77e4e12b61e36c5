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

function stock(reclaimable: readonly number[], onDemand: readonly number[]): ZoneStock[] {
  return [...SCALING.zonePrices.keys()].map((zone, index) => ({
    zone,
    reclaimable: reclaimable[index] ?? 0,
    onDemand: onDemand[index] ?? 0,
  }));
}

function count(orders: readonly MixOrder[], purchase: Purchase): number {
  return orders
    .filter((order) => order.purchase === purchase)
    .reduce((sum, order) => sum + order.count, 0);
}

test("with all reclaimable workers there, none is bought on demand", () => {
  const view = { scaling: SCALING, stock: stock([3, 3, 3, 3], [1, 1, 1, 1]), needed: 12, inUse: 9 };
  const orders = planMix(view);
  expect(count(orders, Purchase.Reclaimable)).toBe(12);
  expect(count(orders, Purchase.OnDemand)).toBe(0);
});

// A zone's reclaimable workers are all taken back and the market gives none. The callers of the whole service
// would share what is left until the market has workers again.
test("what a reclaim takes is bought on demand until it is there again", () => {
  const view = { scaling: SCALING, stock: stock([3, 3, 0, 0], []), needed: 12, inUse: 12 };
  expect(count(planMix(view), Purchase.OnDemand)).toBe(6);
  const back = { ...view, stock: stock([3, 3, 3, 3], [0, 3, 0, 3]) };
  expect(count(planMix(back), Purchase.OnDemand)).toBe(0);
});

test("no zone is asked for more than its bound", () => {
  const view = { scaling: SCALING, stock: stock([], []), needed: 60, inUse: 60 };
  const orders = planMix(view);
  for (const zone of SCALING.zonePrices.keys()) {
    const here = orders.filter((order) => order.zone === zone);
    expect(here.reduce((sum, order) => sum + order.count, 0)).toBeLessThanOrEqual(10);
  }
});
