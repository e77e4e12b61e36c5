import { expect, test } from "vitest";
import { Purchase } from "../interface/index.ts";
import type { FeedChange, FeedObject, RoutedWorker } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/virtual_clock.ts";
import { createWorkerRoster } from "./worker_roster.ts";
import type { WorkerRoster } from "./worker_roster.ts";

function worker(id: string, isLeaving = false): RoutedWorker {
  return {
    id,
    startedAt: 1,
    service: "desk",
    address: "10.0.0.1:80",
    zone: "a",
    version: "v1",
    slots: 4,
    purchase: Purchase.OnDemand,
    isLeaving,
    leavesIn: undefined,
    warmupLeft: 0,
  };
}

function change(name: string, value: unknown, removed = false): FeedChange {
  return { object: { name, version: 1, value }, removed };
}

function decode({ name, value }: FeedObject): RoutedWorker | undefined {
  return value === "unreadable" ? undefined : worker(name, value === "leaving");
}

// The workers' registrations expired during a store outage, because they could not be renewed. If applied immediately,
// these removals would cause every request to be refused until the workers register again two seconds later.
test("keeps workers whose registrations expired during a store outage for two seconds", async () => {
  const clock = createVirtualClock();
  let changes = 0;
  const roster = createWorkerRoster({
    clock,
    decode,
    onChange: () => changes++,
    onUnreadable: () => undefined,
  });
  roster.applyChanges([change("w1", ""), change("w2", ""), change("w3", "leaving")]);
  roster.storeReturned(clock.now());
  roster.applyChanges(["w1", "w2", "w3"].map((name) => change(name, "", true)));
  expect(roster.list().map(({ id }) => id)).toEqual(["w1", "w2"]);
  roster.applyChanges([change("w1", "")]);
  await clock.advance(2_100);
  expect(roster.list().map(({ id }) => id)).toEqual(["w1"]);
  expect(changes).toBe(1);
});

test("applies a removal at any other time immediately", () => {
  const clock = createVirtualClock();
  const parts = { clock, decode, onChange: () => undefined, onUnreadable: () => undefined };
  const roster = createWorkerRoster(parts);
  roster.applyChanges([change("w1", "")]);
  roster.applyChanges([change("w1", "", true)]);
  expect(roster.list()).toEqual([]);
});

test("removes the worker of an unreadable registration and reports it", () => {
  const unreadable: string[] = [];
  const roster = createWorkerRoster({
    clock: createVirtualClock(),
    decode,
    onChange: () => undefined,
    onUnreadable: (name) => unreadable.push(name),
  });
  roster.applyChanges([change("w1", ""), change("w2", "")]);
  roster.applyChanges([change("w1", "unreadable")]);
  expect(roster.list().map(({ id }) => id)).toEqual(["w2"]);
  expect(unreadable).toEqual(["w1"]);
});

interface RosterSetup {
  readonly clock: ReturnType<typeof createVirtualClock>;
  readonly roster: WorkerRoster;
  readonly ids: () => string[];
}

function startRoster(names: readonly string[]): RosterSetup {
  const clock = createVirtualClock();
  const parts = { clock, decode, onChange: () => undefined, onUnreadable: () => undefined };
  const roster = createWorkerRoster(parts);
  roster.applyChanges(names.map((name) => change(name, "")));
  return { clock, roster, ids: () => roster.list().map(({ id }) => id) };
}

// The copy is older than the worker's end. Requests sent to it would fail, or reach another worker at its address.
test("ignores the registration of a worker that has left since the store's copy", async () => {
  const { clock, roster, ids } = startRoster(["w1", "w2"]);
  roster.applyChanges([change("w1", "", true)]);
  await clock.advance(3_000);
  roster.applyRestore([change("w1", ""), change("w2", "")]);
  expect(ids()).toEqual(["w2"]);
  await clock.advance(3_600);
  roster.applyChanges([change("w1", "", true)]);
  await clock.advance(10_000);
  expect(ids()).toEqual(["w2"]);
});

// The worker's registration had only expired. It must not stay unused for good.
test("uses a worker whose registration returns with a restore once it is written again or hasn't expired", async () => {
  const { clock, roster, ids } = startRoster(["w1", "w2", "w3"]);
  roster.applyChanges([change("w1", "", true), change("w2", "", true)]);
  roster.applyRestore([change("w1", ""), change("w2", ""), change("w3", "")]);
  roster.applyChanges([change("w1", "")]);
  expect(ids()).toEqual(["w3", "w1"]);
  await clock.advance(6_100);
  expect(ids()).toEqual(["w3", "w1", "w2"]);
});

// The worker has registered since the copy, and registers again within two seconds.
test("keeps a worker for two seconds that is missing after a restore", async () => {
  const { clock, roster, ids } = startRoster(["w1", "w2"]);
  roster.applyRestore([change("w1", "", true), change("w2", "")]);
  expect(ids()).toEqual(["w2", "w1"]);
  await clock.advance(2_100);
  expect(ids()).toEqual(["w2"]);
});
