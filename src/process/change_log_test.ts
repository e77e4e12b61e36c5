import { expect, test } from "vitest";
import { createChangeLog } from "./change_log.ts";
import type { ChangeLog } from "./change_log.ts";

function startLog(): ChangeLog<string, number> {
  return createChangeLog({ tombstone: 0, equals: (a, b) => a === b });
}

// Receivers acknowledge different rounds. A receiver that is sent only the changes of the last
// round keeps a stale value and routes requests by it.
test("each receiver gets all changes since the round that it acknowledged", () => {
  const log = startLog();
  log.record(new Map(Object.entries({ a: 1, b: 1 })), 1);
  log.record(new Map(Object.entries({ a: 2, b: 1 })), 2);
  log.record(new Map(Object.entries({ a: 2, b: 3 })), 3);
  expect(Object.fromEntries(log.since(0))).toEqual({ a: 2, b: 3 });
  expect(Object.fromEntries(log.since(1))).toEqual({ a: 2, b: 3 });
  expect(Object.fromEntries(log.since(2))).toEqual({ b: 3 });
  expect(log.since(3).size).toBe(0);
});

// A worker leaves. If its removal were not sent, receivers would keep counting the runs there.
test("a removed key is reported with the tombstone value until it is pruned", () => {
  const log = startLog();
  log.record(new Map([["a", 4]]), 1);
  log.record(new Map(), 2);
  log.record(new Map(), 3);
  expect(Object.fromEntries(log.since(1))).toEqual({ a: 0 });
  expect(log.since(2).size).toBe(0);
  log.prune(1);
  expect(log.since(1).size).toBe(1);
  log.prune(2);
  expect(log.since(0).size).toBe(0);
  log.record(new Map([["a", 4]]), 5);
  expect(Object.fromEntries(log.since(4))).toEqual({ a: 4 });
});
