import { expect, test } from "vitest";
import { EMPTY_SLOT_MAP } from "../version/index.ts";
import type { SlotMap } from "../version/index.ts";
import { MINIMAL_REVISION } from "../version/testing/minimal_revision.ts";
import { startControlFleet } from "./testing/control_fleet.ts";
import type { ControlFleet, ControlNode } from "./testing/control_fleet.ts";

async function startAssigned(options: { count: number; zones: number }): Promise<ControlFleet> {
  const fleet = await startControlFleet({ ...options, revision: MINIMAL_REVISION });
  await fleet.clock.advance(12_000);
  return fleet;
}

function mapAt(node: ControlNode | undefined): SlotMap {
  return node?.configuration.slotMap() ?? EMPTY_SLOT_MAP;
}

function counted(nodes: readonly ControlNode[], name: string): number {
  return nodes.reduce((sum, node) => sum + (node.counts.get(name) ?? 0), 0);
}

function ownersOf(map: SlotMap): Set<string> {
  return new Set(map.slots.flatMap(({ primary, backup }) => [primary, backup]));
}

test("a new fleet assigns every slot to two zones, and all know the same map", async () => {
  const fleet = await startAssigned({ count: 6, zones: 3 });
  const map = mapAt(fleet.nodes[0]);
  expect(map.slots.every(({ primary, backup }) => primary !== "" && backup !== "")).toBe(true);
  expect(ownersOf(map).size).toBe(6);
  for (const node of fleet.nodes) expect(mapAt(node)).toEqual(map);
  fleet.close();
});

test("a zone lost at once is taken over by one survivor's write", async () => {
  // All instances of a zone go without a word. Every survivor notices within the same second; if each
  // wrote the map at once the store would turn most away, and callers would wait for owners meanwhile.
  const fleet = await startAssigned({ count: 9, zones: 3 });
  const before = mapAt(fleet.nodes[1]);
  const lost = fleet.nodes.filter(({ self }) => self.zone === "z0");
  const survivors = fleet.nodes.filter(({ self }) => self.zone !== "z0");
  const takeoversBefore = counted(survivors, "slots.takeover");
  for (const node of lost) node.kill();
  await fleet.clock.advance(15_000);
  const after = mapAt(survivors[0]);
  const gone = new Set(lost.map(({ self }) => self.id));
  expect([...ownersOf(after)].filter((id) => gone.has(id) || id === "")).toEqual([]);
  after.slots.forEach(({ epoch, historyLostAt }, slot) => {
    expect(epoch).toBeGreaterThanOrEqual(before.slots[slot]?.epoch ?? 0);
    expect(historyLostAt).toBe(0);
  });
  // Members are found dead one after another, at most one takeover for each.
  expect(counted(survivors, "slots.takeover") - takeoversBefore).toBeLessThanOrEqual(3);
  expect(counted(survivors, "slots.write.conflict")).toBeLessThan(survivors.length);
  fleet.close();
});

test("a takeover whose answer was lost is recognised and not made twice", async () => {
  // The store writes the new map but its answer never comes. A second takeover on top of it would give
  // the slots yet another epoch and break the streams that the new owner has just resumed.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  const [first, ...survivors] = fleet.nodes;
  const before = mapAt(first);
  first?.kill();
  fleet.store.loseAnswers(1);
  await fleet.clock.advance(15_000);
  expect(counted(survivors, "slots.write.unknown")).toBe(1);
  const after = mapAt(survivors[0]);
  after.slots.forEach(({ epoch, primary }, slot) => {
    const was = before.slots[slot];
    // One epoch for the promotion, one for the new backup, one more where balance asks for a move.
    const most = (was?.epoch ?? 0) + (was?.primary === "e0#1" ? 2 : 1) + 2;
    expect(epoch).toBeLessThanOrEqual(most);
    expect(primary).not.toBe("e0#1");
  });
  for (const node of survivors) expect(mapAt(node).version).toBe(after.version);
  fleet.close();
});

test("a backup is named only after the records were copied to it", async () => {
  // The new backup dies or refuses before it has the records. Named all the same, it would be promoted
  // without them when the primary is reclaimed next, and accepted requests would be gone.
  let copies = true;
  const fleet = await startControlFleet({
    count: 4,
    zones: 2,
    revision: MINIMAL_REVISION,
    copyTo: () => Promise.resolve(copies),
  });
  await fleet.clock.advance(12_000);
  copies = false;
  fleet.nodes[0]?.kill();
  await fleet.clock.advance(15_000);
  const promoted = mapAt(fleet.nodes[1]).slots.filter(({ backup }) => backup === "");
  expect(promoted.length).toBeGreaterThan(0);
  copies = true;
  await fleet.clock.advance(10_000);
  const left = mapAt(fleet.nodes[1]).slots.filter(
    ({ backup }) => backup === "" || backup === "e0#1",
  );
  expect(left).toEqual([]);
  fleet.close();
});

test("an instance that loses all its peers but not the store takes nothing over", async () => {
  // A network fault parts one instance from all others; the store is reachable from both sides. It sees
  // everybody dead. If it took their slots, the two sides would take them from each other for ever.
  const fleet = await startAssigned({ count: 5, zones: 5 });
  const [alone, ...others] = fleet.nodes;
  const takeovers = alone?.counts.get("slots.takeover");
  for (const { self } of others) fleet.network.setCut("e0#1", self.id, true);
  await fleet.clock.advance(30_000);
  expect(alone?.counts.get("slots.claim")).toBeGreaterThan(0);
  expect(alone?.counts.get("slots.takeover")).toBe(takeovers);
  const map = mapAt(others[0]);
  expect(ownersOf(map)).toEqual(new Set(others.map(({ self }) => self.id)));
  for (const { self } of others) fleet.network.setCut("e0#1", self.id, false);
  await fleet.clock.advance(40_000);
  expect(ownersOf(mapAt(others[0])).has("e0#1")).toBe(true);
  fleet.close();
});

test("the one survivor of all takes everything over", async () => {
  // All but one instance die at once. It can't tell that from being cut off, so it asks through the store;
  // nobody answers, and callers find an owner again within seconds.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  const [survivor, ...others] = fleet.nodes;
  for (const node of others) node.kill();
  await fleet.clock.advance(25_000);
  expect(ownersOf(mapAt(survivor))).toEqual(new Set(["e0#1", ""]));
  fleet.close();
});

test.each([5, 7])("two survivors of %i take everything over", async (count) => {
  // More than half of the instances die at once. Each survivor asks through the store whether it is itself cut
  // off; if the other answered, though it hears the asker and misses the same owners, neither would ever take
  // over, and callers of the dead instances' slots would get no answer for good.
  const fleet = await startAssigned({ count, zones: count });
  const [first, second, ...others] = fleet.nodes;
  for (const node of others) node.kill();
  await fleet.clock.advance(30_000);
  expect(ownersOf(mapAt(first))).toEqual(new Set(["e0#1", "e1#1"]));
  expect(mapAt(second)).toEqual(mapAt(first));
  fleet.close();
});

test("two halves that are parted take nothing from each other", async () => {
  // No side has most owners, and both reach the store. A claim of one side is answered by the other, which does
  // not hear the claimant; otherwise the sides would take the slots from each other in turn.
  const fleet = await startAssigned({ count: 4, zones: 4 });
  for (const one of ["e0#1", "e1#1"]) {
    for (const other of ["e2#1", "e3#1"]) fleet.network.setCut(one, other, true);
  }
  // Those of the other half are found dead one after another: the first while most are still thought alive.
  await fleet.clock.advance(15_000);
  const before = counted(fleet.nodes, "slots.takeover");
  await fleet.clock.advance(60_000);
  expect(counted(fleet.nodes, "slots.claim")).toBeGreaterThan(0);
  expect(counted(fleet.nodes, "slots.takeover")).toBe(before);
  fleet.close();
});

test("a restarted instance gets slots under its new incarnation", async () => {
  // The process dies and comes back at the same address within a second or two. It holds none of the
  // records that its name stood for; if it were taken for the old one, lookups would end in nothing.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  fleet.nodes[3]?.kill();
  fleet.add("e3", { zone: "z1", incarnation: 2 });
  await fleet.clock.advance(30_000);
  const owners = ownersOf(mapAt(fleet.nodes[0]));
  expect(owners.has("e3#1")).toBe(false);
  expect(owners.has("e3#2")).toBe(true);
  fleet.close();
});
