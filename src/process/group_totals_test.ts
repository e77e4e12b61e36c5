import fc from "fast-check";
import { expect, test } from "vitest";
import { NO_WORKER_COUNTS } from "./digest.ts";
import type { WorkerCounts } from "./digest.ts";
import { createGroupTotals } from "./group_totals.ts";
import type { GroupCounts } from "./group_totals.ts";

const NOTHING: GroupCounts = { workerCounts: new Map() };

function countsOf(running: number, runs = running): WorkerCounts {
  return { ...NO_WORKER_COUNTS, running, runs };
}

function updateOf(
  counts: Record<number, WorkerCounts>,
  options: { isSnapshot?: boolean } = {},
): GroupCounts & { isSnapshot: boolean } {
  const { isSnapshot = false } = options;
  return {
    isSnapshot,
    workerCounts: new Map(Object.entries(counts).map(([worker, one]) => [Number(worker), one])),
  };
}

test("sums include all sources and the instance's own counts", () => {
  const totals = createGroupTotals();
  totals.receive("a", updateOf({ 1: countsOf(2) }), true);
  totals.receive("b", updateOf({ 1: countsOf(1), 2: countsOf(4) }), true);
  const own = updateOf({ 2: countsOf(1) });
  const { workerCounts: sums } = totals.plus(own);
  expect(sums.get(1)?.running).toBe(3);
  expect(sums.get(2)?.running).toBe(5);
});

// When an instance ends, its running work ends too, but its ended runs must remain: others interpret
// the growth of the sum as new ones, and would miss as many as a decreasing sum lacks.
test("cumulative counts of a source remain after it ends, its running work doesn't", () => {
  const totals = createGroupTotals();
  totals.receive("a", updateOf({ 1: countsOf(2, 10) }), true);
  totals.receive("b", updateOf({ 1: countsOf(1, 5) }), true);
  totals.retainSources(new Set(["b"]));
  const { workerCounts: sums } = totals.plus(NOTHING);
  expect(sums.get(1)).toEqual({ ...NO_WORKER_COUNTS, running: 1, runs: 15 });
});

// A new relay receives updates from instances that have run for hours. If their complete counts
// entered its sum at once, other zones would take this for a burst of failures.
test("counts from before the first update of a source are not included", () => {
  const totals = createGroupTotals();
  totals.receive("a", updateOf({ 1: countsOf(2, 900) }, { isSnapshot: true }), false);
  totals.receive("a", updateOf({ 1: countsOf(3, 902) }), false);
  const { workerCounts: sums } = totals.plus(NOTHING);
  expect(sums.get(1)).toEqual({ ...NO_WORKER_COUNTS, running: 3, runs: 2 });
});

// Otherwise an instance that has just started would not learn what others have counted before.
test("the reported counts are those of the present sources, also from before their first update", () => {
  const totals = createGroupTotals();
  totals.receive("a", updateOf({ 1: countsOf(2, 900) }, { isSnapshot: true }), false);
  totals.receive("b", updateOf({ 1: countsOf(1, 5) }, { isSnapshot: true }), false);
  totals.receive("a", updateOf({ 1: countsOf(3, 902) }), false);
  expect(totals.reportedOf(1)).toEqual({ ...NO_WORKER_COUNTS, running: 4, runs: 907 });
  totals.retainSources(new Set(["b"]));
  expect(totals.reportedOf(1)?.runs).toBe(5);
  expect(totals.reportedOf(2)).toBeUndefined();
});

test("a worker that no source lists is removed", () => {
  const totals = createGroupTotals();
  totals.receive("a", updateOf({ 1: countsOf(2), 2: countsOf(1) }, { isSnapshot: true }), true);
  totals.receive("a", updateOf({ 2: countsOf(1) }, { isSnapshot: true }), true);
  expect([...totals.plus(NOTHING).workerCounts.keys()]).toEqual([2]);
});

test("sums equal the latest counts of all sources, in any order of updates", () => {
  const step = fc.record({
    source: fc.constantFrom("a", "b", "c"),
    worker: fc.integer({ min: 1, max: 3 }),
    running: fc.nat(5),
    isSnapshot: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const totals = createGroupTotals();
      const last = new Map<string, Map<number, number>>();
      for (const { source, worker, running, isSnapshot } of steps) {
        const known = isSnapshot ? new Map<number, number>() : (last.get(source) ?? new Map());
        last.set(source, known.set(worker, running) as Map<number, number>);
        totals.receive(source, updateOf({ [worker]: countsOf(running, 1) }, { isSnapshot }), true);
      }
      const { workerCounts: sums } = totals.plus(NOTHING);
      for (const worker of [1, 2, 3]) {
        const expected = [...last.values()].reduce((sum, one) => sum + (one.get(worker) ?? 0), 0);
        expect(sums.get(worker)?.running ?? 0).toBe(expected);
      }
    }),
  );
});
