import fc from "fast-check";
import { expect, test } from "vitest";
import { createUsageLedger } from "./usage_ledger.ts";
import type { WindowCounts } from "./usage_ledger.ts";

test("counts every run once even if messages are lost, repeated or reordered", () => {
  const runs = fc.array(fc.tuple(fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 1 })));
  fc.assert(
    fc.property(runs, fc.array(fc.nat()), (startedRuns, order) => {
      const ledgers = [createUsageLedger(), createUsageLedger(), createUsageLedger()];
      const sentReports: [number, readonly WindowCounts[]][] = [];
      for (const [at, account] of startedRuns) {
        ledgers[at]?.recordRun(`a${account}`, 7);
        sentReports.push([at, structuredClone(ledgers[at]?.ownCounts() ?? [])]);
      }
      for (const index of order) {
        const [from, counts] = sentReports[index % Math.max(1, sentReports.length)] ?? [0, []];
        if (from !== 0) ledgers[0]?.mergeInstance(`e${from}`, counts);
      }
      ledgers
        .slice(1)
        .forEach((ledger, index) => ledgers[0]?.mergeInstance(`e${index + 1}`, ledger.ownCounts()));
      const total = ledgers[0]?.total(7) ?? {};
      const sum = Object.values(total).reduce((all, count) => all + count, 0);
      expect(sum).toBe(startedRuns.length);
    }),
  );
});

test("deletes old windows and does not accept them again", () => {
  const ledger = createUsageLedger();
  ledger.recordRun("a", 1);
  ledger.forgetBefore(5);
  ledger.mergeInstance("e2", [{ window: 2, counts: { a: 4 } }]);
  expect(ledger.ownCounts()).toEqual([]);
  expect(ledger.total(2)).toEqual({});
});

// Operators choose the names of accounts. A name that every object inherits as a property must be
// billed like any other.
test("accepts any account name", () => {
  const ledger = createUsageLedger();
  for (const name of ["constructor", "toString", "__proto__"]) {
    ledger.recordRun(name, 1);
    ledger.recordRun(name, 1);
    expect(Object.entries(ledger.total(1))).toContainEqual([name, 2]);
  }
});

// Two relays of a zone send the zone's total. Adding both would bill each run twice.
test("counts a group's total once although several relays send it", () => {
  const ledger = createUsageLedger();
  ledger.recordRun("a", 7);
  ledger.mergeInstance("e1", [{ window: 7, counts: { a: 2 } }]);
  ledger.mergeGroup("zone-b", [{ window: 7, counts: { a: 10 } }]);
  ledger.mergeGroup("zone-b", [{ window: 7, counts: { a: 9 } }]);
  expect(ledger.total(7)).toEqual({ a: 13 });
  expect(ledger.groupTotals()).toEqual([{ window: 7, counts: { a: 3 } }]);
  ledger.forgetPeers();
  expect(ledger.total(7)).toEqual({ a: 1 });
});
