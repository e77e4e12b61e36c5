import fc from "fast-check";
import { expect, test } from "vitest";
import { NO_USE } from "./digest.ts";
import type { WorkerUse } from "./digest.ts";
import { createGroupTotals } from "./group_totals.ts";
import type { GroupCounts } from "./group_totals.ts";

const NOTHING: GroupCounts = { admitted: new Map(), use: new Map() };

function use(running: number, runs = running): WorkerUse {
  return { ...NO_USE, running, runs };
}

function news(
  said: Record<number, WorkerUse>,
  more: { admitted?: number; isWhole?: boolean } = {},
): GroupCounts & { isWhole: boolean } {
  const { admitted = 0, isWhole = false } = more;
  return {
    isWhole,
    admitted: new Map([["club", admitted]]),
    use: new Map(Object.entries(said).map(([worker, one]) => [Number(worker), one])),
  };
}

test("what the sources have is added up, with what the instance has itself", () => {
  const totals = createGroupTotals();
  totals.heard("a", news({ 1: use(2) }, { admitted: 10 }), true);
  totals.heard("b", news({ 1: use(1), 2: use(4) }, { admitted: 5 }), true);
  const own = news({ 2: use(1) }, { admitted: 1 });
  const { admitted, use: sums } = totals.with(own);
  expect(admitted.get("club")).toBe(16);
  expect(sums.get(1)?.running).toBe(3);
  expect(sums.get(2)?.running).toBe(5);
});

// An instance ends. What it had at workers has ended, but what it admitted counts on: others take the growth of the sum
// for what happened since, and a sum that falls would let an account have it twice.
test("what a source counted up outlives it, and what it had doesn't", () => {
  const totals = createGroupTotals();
  totals.heard("a", news({ 1: use(2) }, { admitted: 10 }), true);
  totals.heard("b", news({ 1: use(1) }, { admitted: 5 }), true);
  totals.keepSources(new Set(["b"]));
  const { admitted, use: sums } = totals.with(NOTHING);
  expect(admitted.get("club")).toBe(15);
  expect(sums.get(1)?.running).toBe(1);
});

// A relay that is new hears instances that have run for hours. If all that they ever admitted came into its sum at once,
// the other zones would take it for a burst and refuse every account.
test("what a source counted before it was heard doesn't count", () => {
  const totals = createGroupTotals();
  totals.heard("a", news({ 1: use(2, 900) }, { admitted: 1_000_000, isWhole: true }), false);
  totals.heard("a", news({ 1: use(3, 902) }, { admitted: 1_000_100 }), false);
  const { admitted, use: sums } = totals.with(NOTHING);
  expect(admitted.get("club")).toBe(100);
  expect(sums.get(1)).toEqual({ ...NO_USE, running: 3, runs: 2 });
});

test("a worker that nobody names any more is forgotten", () => {
  const totals = createGroupTotals();
  totals.heard("a", news({ 1: use(2), 2: use(1) }, { isWhole: true }), true);
  totals.heard("a", news({ 2: use(1) }, { isWhole: true }), true);
  expect([...totals.with(NOTHING).use.keys()]).toEqual([2]);
});

test("sums are those of what the sources said last, in whatever order it came", () => {
  const step = fc.record({
    source: fc.constantFrom("a", "b", "c"),
    worker: fc.integer({ min: 1, max: 3 }),
    running: fc.nat(5),
    isWhole: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const totals = createGroupTotals();
      const last = new Map<string, Map<number, number>>();
      for (const { source, worker, running, isWhole } of steps) {
        const known = isWhole ? new Map<number, number>() : (last.get(source) ?? new Map());
        last.set(source, known.set(worker, running) as Map<number, number>);
        totals.heard(source, news({ [worker]: use(running, 1) }, { isWhole }), true);
      }
      const { use: sums } = totals.with(NOTHING);
      for (const worker of [1, 2, 3]) {
        const expected = [...last.values()].reduce((sum, one) => sum + (one.get(worker) ?? 0), 0);
        expect(sums.get(worker)?.running ?? 0).toBe(expected);
      }
    }),
  );
});
