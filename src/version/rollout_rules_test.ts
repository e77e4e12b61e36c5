import { expect, test } from "vitest";
import { RolloutState } from "../interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../interface/index.ts";
import { nextStatus, servedVersions } from "./rollout_rules.ts";
import type { VersionsKnown } from "./rollout_rules.ts";

const NOBODY: ReadonlySet<string> = new Set();

function entry(to: string, status?: RolloutStatus): RolloutEntry {
  return { order: { service: "model", to, duration: 12_000 }, storeVersion: 1, status };
}

function known(counts: Record<string, number>, more: Partial<VersionsKnown> = {}): VersionsKnown {
  const stock = new Map(
    Object.entries(counts).map(([version, workers], place) => [
      version,
      { workers, oldest: place },
    ]),
  );
  return { stock, entry: undefined, before: undefined, barred: NOBODY, ...more };
}

const said = (state: RolloutState, to: string): RolloutStatus => ({ state, to });

test("without an order the version of most workers serves", () => {
  expect(servedVersions(known({ v1: 5, v9: 1 }))).toEqual({ base: "v1", tried: undefined });
  expect(servedVersions(known({}))).toBeUndefined();
});

// As many workers of the new version have started as there are old ones, and nobody has heard of the order yet.
test("what served before goes on serving, whatever starts beside it", () => {
  const more = { before: "v1" };
  expect(servedVersions(known({ v2: 6, v1: 5 }, more))).toEqual({ base: "v1", tried: undefined });
});

test("an instance that starts in the middle of an order serves what the order doesn't name", () => {
  const open = known({ v2: 6, v1: 5 }, { entry: entry("v2", said(RolloutState.Running, "v2")) });
  expect(servedVersions(open)).toEqual({ base: "v1", tried: "v2" });
});

test("a completed order leaves its version alone", () => {
  const done = entry("v2", said(RolloutState.Completed, "v2"));
  expect(servedVersions(known({ v1: 9, v2: 3 }, { entry: done, before: "v1" }))).toEqual({
    base: "v2",
    tried: undefined,
  });
});

test("a version that was rolled back gets nothing, also where it is ordered again", () => {
  const back = entry("v2", said(RolloutState.RolledBack, "v2"));
  expect(servedVersions(known({ v1: 4, v2: 9 }, { entry: back }))?.tried).toBeUndefined();
  expect(servedVersions(known({ v1: 4, v2: 9 }, { entry: back }))?.base).toBe("v1");
  const again = known({ v1: 4, v2: 9 }, { entry: entry("v2"), barred: new Set(["v2"]) });
  expect(servedVersions(again)).toEqual({ base: "v1", tried: undefined });
});

// The next order stands in the place of one that was completed. What was said of that one says what serves now.
test("what was said of an earlier order says nothing of this one", () => {
  const next = entry("v3", said(RolloutState.Completed, "v2"));
  expect(servedVersions(known({ v1: 2, v2: 2, v3: 2 }, { entry: next }))).toEqual({
    base: "v2",
    tried: "v3",
  });
  expect(nextStatus(next, RolloutState.Running)).toEqual(said(RolloutState.Running, "v3"));
});

test("the operator goes back to the old version by an order", () => {
  const back = entry("v1", said(RolloutState.Completed, "v2"));
  expect(servedVersions(known({ v1: 4, v2: 4 }, { entry: back, before: "v2" }))).toEqual({
    base: "v2",
    tried: "v1",
  });
});

test("an end isn't followed by another one", () => {
  const back = entry("v2", said(RolloutState.RolledBack, "v2"));
  expect(nextStatus(back, RolloutState.Completed)).toBeUndefined();
  const done = entry("v2", said(RolloutState.Completed, "v2"));
  expect(nextStatus(done, RolloutState.RolledBack)).toBeUndefined();
  expect(nextStatus(done, RolloutState.Running)).toBeUndefined();
});
