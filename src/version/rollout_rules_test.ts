import { expect, test } from "vitest";
import { RolloutState } from "../interface/index.ts";
import type { RolloutEntry, RolloutStatus } from "../interface/index.ts";
import { nextStatus, servedVersions } from "./rollout_rules.ts";
import type { ServedVersionsInput } from "./rollout_rules.ts";

const NO_VERSIONS: ReadonlySet<string> = new Set();

function entry(to: string, status?: RolloutStatus): RolloutEntry {
  return { order: { service: "model", to, duration: 12_000 }, storeVersion: 1, status };
}

function someInput(
  counts: Record<string, number>,
  overrides: Partial<ServedVersionsInput> = {},
): ServedVersionsInput {
  const workersByVersion = new Map(
    Object.entries(counts).map(([version, workers], index) => [
      version,
      { workers, oldest: index },
    ]),
  );
  return {
    workersByVersion,
    entry: undefined,
    previousBase: undefined,
    rolledBack: NO_VERSIONS,
    ...overrides,
  };
}

const statusOf = (state: RolloutState, to: string): RolloutStatus => ({ state, to });

test("without an order, the version with the most workers is served", () => {
  expect(servedVersions(someInput({ v1: 5, v9: 1 }))).toEqual({ base: "v1", tried: undefined });
  expect(servedVersions(someInput({}))).toBeUndefined();
});

// More workers of the new version than of the old one have started before the instance has received the order.
test("the previous base version is kept when workers of another version start", () => {
  const more = { previousBase: "v1" };
  expect(servedVersions(someInput({ v2: 6, v1: 5 }, more))).toEqual({
    base: "v1",
    tried: undefined,
  });
});

test("an instance that starts during an order serves the version that the order doesn't name", () => {
  const open = someInput(
    { v2: 6, v1: 5 },
    { entry: entry("v2", statusOf(RolloutState.Running, "v2")) },
  );
  expect(servedVersions(open)).toEqual({ base: "v1", tried: "v2" });
});

test("after a completed order, only its version is served", () => {
  const done = entry("v2", statusOf(RolloutState.Completed, "v2"));
  expect(servedVersions(someInput({ v1: 9, v2: 3 }, { entry: done, previousBase: "v1" }))).toEqual({
    base: "v2",
    tried: undefined,
  });
});

test("a version that was rolled back is not served, even if it is ordered again", () => {
  const back = entry("v2", statusOf(RolloutState.RolledBack, "v2"));
  expect(servedVersions(someInput({ v1: 4, v2: 9 }, { entry: back }))?.tried).toBeUndefined();
  expect(servedVersions(someInput({ v1: 4, v2: 9 }, { entry: back }))?.base).toBe("v1");
  const again = someInput({ v1: 4, v2: 9 }, { entry: entry("v2"), rolledBack: new Set(["v2"]) });
  expect(servedVersions(again)).toEqual({ base: "v1", tried: undefined });
});

// A new order has replaced a completed one. The old status determines the base version, but it must not end the new order.
test("the status of an earlier order does not apply to the current one", () => {
  const next = entry("v3", statusOf(RolloutState.Completed, "v2"));
  expect(servedVersions(someInput({ v1: 2, v2: 2, v3: 2 }, { entry: next }))).toEqual({
    base: "v2",
    tried: "v3",
  });
  expect(nextStatus(next, RolloutState.Running)).toEqual(statusOf(RolloutState.Running, "v3"));
});

test("an order can return a service to its old version", () => {
  const back = entry("v1", statusOf(RolloutState.Completed, "v2"));
  expect(servedVersions(someInput({ v1: 4, v2: 4 }, { entry: back, previousBase: "v2" }))).toEqual({
    base: "v2",
    tried: "v1",
  });
});

test("a final status is never replaced", () => {
  const back = entry("v2", statusOf(RolloutState.RolledBack, "v2"));
  expect(nextStatus(back, RolloutState.Completed)).toBeUndefined();
  const done = entry("v2", statusOf(RolloutState.Completed, "v2"));
  expect(nextStatus(done, RolloutState.RolledBack)).toBeUndefined();
  expect(nextStatus(done, RolloutState.Running)).toBeUndefined();
});
