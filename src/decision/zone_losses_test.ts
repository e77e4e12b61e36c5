import { expect, test } from "vitest";
import { createZoneLosses } from "./zone_losses.ts";

function stock(counts: Readonly<Record<string, number>>): { zone: string; reclaimable: number }[] {
  return Object.entries(counts).map(([zone, reclaimable]) => ({ zone, reclaimable }));
}

// Three zones are reclaimed, 4.6 s and then 1.4 s apart.
test("returns the time between the last two zones that were lost completely", () => {
  const losses = createZoneLosses();
  const observe = (now: number, counts: Readonly<Record<string, number>>): number =>
    losses.observe("model", { stock: stock(counts), now });
  expect(observe(0, { a: 2, b: 2, c: 2 })).toBe(Infinity);
  expect(observe(1_000, { a: 2, b: 2, c: 0 })).toBe(Infinity);
  expect(observe(5_600, { a: 2, b: 0, c: 0 })).toBe(4_600);
  expect(observe(6_000, { a: 2, b: 0, c: 0 })).toBe(4_600);
  expect(observe(7_000, { a: 0, b: 0, c: 0 })).toBe(1_400);
});

test("ignores a crash of some workers and a zone that never had any", () => {
  const losses = createZoneLosses();
  losses.observe("model", { stock: stock({ a: 3, b: 0 }), now: 0 });
  expect(losses.observe("model", { stock: stock({ a: 1, b: 0 }), now: 500 })).toBe(Infinity);
  expect(losses.observe("model", { stock: stock({ a: 0, b: 0 }), now: 900 })).toBe(Infinity);
  expect(losses.observe("other", { stock: stock({ a: 0, b: 0 }), now: 900 })).toBe(Infinity);
});
