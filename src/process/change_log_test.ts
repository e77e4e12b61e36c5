import { expect, test } from "vitest";
import { createChangeLog } from "./change_log.ts";
import type { ChangeLog } from "./change_log.ts";

function startLog(): ChangeLog<string, number> {
  return createChangeLog({ gone: 0, equals: (a, b) => a === b });
}

// Two receivers have heard of different rounds. One that is told only of the last round's changes keeps the value
// that it missed, and sends work by it.
test("every receiver is told what has changed since the round that it knows", () => {
  const log = startLog();
  log.note(new Map(Object.entries({ a: 1, b: 1 })), 1);
  log.note(new Map(Object.entries({ a: 2, b: 1 })), 2);
  log.note(new Map(Object.entries({ a: 2, b: 3 })), 3);
  expect(Object.fromEntries(log.since(0))).toEqual({ a: 2, b: 3 });
  expect(Object.fromEntries(log.since(1))).toEqual({ a: 2, b: 3 });
  expect(Object.fromEntries(log.since(2))).toEqual({ b: 3 });
  expect(log.since(3).size).toBe(0);
});

// A worker leaves. Without a word of it the others would go on counting what ran there.
test("what has gone is told as such until it is forgotten", () => {
  const log = startLog();
  log.note(new Map([["a", 4]]), 1);
  log.note(new Map(), 2);
  log.note(new Map(), 3);
  expect(Object.fromEntries(log.since(1))).toEqual({ a: 0 });
  expect(log.since(2).size).toBe(0);
  log.forgetGone(1);
  expect(log.since(1).size).toBe(1);
  log.forgetGone(2);
  expect(log.since(0).size).toBe(0);
  log.note(new Map([["a", 4]]), 5);
  expect(Object.fromEntries(log.since(4))).toEqual({ a: 4 });
});
