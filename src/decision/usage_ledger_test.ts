import fc from "fast-check";
import { expect, test } from "vitest";
import { createUsageLedger } from "./usage_ledger.ts";
import type { WindowCounts } from "./usage_ledger.ts";

test("counts every run once even if messages are lost, repeated or reordered", () => {
  const runs = fc.array(fc.tuple(fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 1 })));
  fc.assert(
    fc.property(runs, fc.array(fc.nat()), (begun, order) => {
      const ledgers = [createUsageLedger(), createUsageLedger(), createUsageLedger()];
      const said: [number, readonly WindowCounts[]][] = [];
      for (const [at, account] of begun) {
        ledgers[at]?.began(`a${account}`, 7);
        said.push([at, structuredClone(ledgers[at]?.own() ?? [])]);
      }
      for (const pick of order) {
        const [from, counts] = said[pick % Math.max(1, said.length)] ?? [0, []];
        if (from !== 0) ledgers[0]?.heard(`e${from}`, counts);
      }
      ledgers.slice(1).forEach((ledger, index) => ledgers[0]?.heard(`e${index + 1}`, ledger.own()));
      const total = ledgers[0]?.total(7) ?? {};
      const sum = Object.values(total).reduce((all, count) => all + count, 0);
      expect(sum).toBe(begun.length);
    }),
  );
});

test("deletes old windows and does not accept them again", () => {
  const ledger = createUsageLedger();
  ledger.began("a", 1);
  ledger.forgetBefore(5);
  ledger.heard("e2", [{ window: 2, counts: { a: 4 } }]);
  expect(ledger.own()).toEqual([]);
  expect(ledger.total(2)).toEqual({});
});

// Operators choose the names of accounts. A name that every object inherits as a property must be
// billed like any other.
test("accepts any account name", () => {
  const ledger = createUsageLedger();
  for (const name of ["constructor", "toString", "__proto__"]) {
    ledger.began(name, 1);
    ledger.began(name, 1);
    expect(Object.entries(ledger.total(1))).toContainEqual([name, 2]);
  }
});

// Two relays of a zone send the zone's total. Adding both would bill each run twice.
test("counts a group's total once although several relays send it", () => {
  const ledger = createUsageLedger();
  ledger.began("a", 7);
  ledger.heard("e1", [{ window: 7, counts: { a: 2 } }]);
  ledger.heardGroup("zone-b", [{ window: 7, counts: { a: 10 } }]);
  ledger.heardGroup("zone-b", [{ window: 7, counts: { a: 9 } }]);
  expect(ledger.total(7)).toEqual({ a: 13 });
  expect(ledger.group()).toEqual([{ window: 7, counts: { a: 3 } }]);
  ledger.forgetOthers();
  expect(ledger.total(7)).toEqual({ a: 1 });
});
