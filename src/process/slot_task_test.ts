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

test("a new fleet assigns every slot to two zones and all instances have the same map", async () => {
  const fleet = await startAssigned({ count: 6, zones: 3 });
  const map = mapAt(fleet.nodes[0]);
  expect(map.slots.every(({ primary, backup }) => primary !== "" && backup !== "")).toBe(true);
  expect(ownersOf(map).size).toBe(6);
  for (const node of fleet.nodes) expect(mapAt(node)).toEqual(map);
  fleet.close();
});

test("slots of a lost zone are taken over by one survivor's write", async () => {
  // All instances of a zone fail without notice, and all survivors detect it within the same
  // second. If each wrote the map at once, the store would reject most writes, and callers would
  // wait for owners in the meantime.
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
  // Members are declared dead one after another, with at most one takeover each.
  expect(counted(survivors, "slots.takeover") - takeoversBefore).toBeLessThanOrEqual(3);
  expect(counted(survivors, "slots.write.conflict")).toBeLessThan(survivors.length);
  fleet.close();
});

test("a takeover whose response was lost is recognized and not repeated", async () => {
  // The store writes the new map, but the response is lost. A second takeover would raise the
  // slots' epochs again and break the streams that the new owner has just resumed.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  const [first, ...survivors] = fleet.nodes;
  const before = mapAt(first);
  first?.kill();
  fleet.store.dropResponses(1);
  await fleet.clock.advance(15_000);
  expect(counted(survivors, "slots.write.unknown")).toBe(1);
  const after = mapAt(survivors[0]);
  after.slots.forEach(({ epoch, primary }, slot) => {
    const was = before.slots[slot];
    // One epoch for the promotion, one for the new backup, and one more if a slot moves for
    // balance.
    const most = (was?.epoch ?? 0) + (was?.primary === "e0#1" ? 2 : 1) + 2;
    expect(epoch).toBeLessThanOrEqual(most);
    expect(primary).not.toBe("e0#1");
  });
  for (const node of survivors) expect(mapAt(node).version).toBe(after.version);
  fleet.close();
});

test("a backup is assigned only after the records were copied to it", async () => {
  // The new backup fails or refuses before it has the records. If it were assigned anyway, the next
  // loss of the primary would promote it without them, and accepted requests would be lost.
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

test("an instance that loses all its peers but not the store takes over nothing", async () => {
  // A network fault separates one instance from all others, while both sides reach the store. The
  // instance considers all others dead. If it took their slots, the two sides would take them from
  // each other forever.
  const fleet = await startAssigned({ count: 5, zones: 5 });
  const [alone, ...otherNodes] = fleet.nodes;
  const takeovers = alone?.counts.get("slots.takeover");
  for (const { self } of otherNodes) fleet.network.setPartitioned("e0#1", self.id, true);
  await fleet.clock.advance(30_000);
  expect(alone?.counts.get("slots.claim")).toBeGreaterThan(0);
  expect(alone?.counts.get("slots.takeover")).toBe(takeovers);
  const map = mapAt(otherNodes[0]);
  expect(ownersOf(map)).toEqual(new Set(otherNodes.map(({ self }) => self.id)));
  for (const { self } of otherNodes) fleet.network.setPartitioned("e0#1", self.id, false);
  await fleet.clock.advance(40_000);
  expect(ownersOf(mapAt(otherNodes[0])).has("e0#1")).toBe(true);
  fleet.close();
});

test("a single survivor takes over all slots", async () => {
  // All instances but one fail at once. The survivor can't distinguish this from being cut off, so
  // it writes a claim to the store. It stays unanswered, and callers find an owner again within
  // seconds.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  const [survivor, ...otherNodes] = fleet.nodes;
  for (const node of otherNodes) node.kill();
  await fleet.clock.advance(25_000);
  expect(ownersOf(mapAt(survivor))).toEqual(new Set(["e0#1", ""]));
  fleet.close();
});

test.each([5, 7])("two survivors of %i take over all slots", async (count) => {
  // More than half of the instances fail at once. Each survivor claims through the store. If the
  // other survivor answered although it is in contact and misses the same owners, neither would
  // ever take over, and callers of the failed instances' slots would never get a response.
  const fleet = await startAssigned({ count, zones: count });
  const [first, second, ...otherNodes] = fleet.nodes;
  for (const node of otherNodes) node.kill();
  await fleet.clock.advance(30_000);
  expect(ownersOf(mapAt(first))).toEqual(new Set(["e0#1", "e1#1"]));
  expect(mapAt(second)).toEqual(mapAt(first));
  fleet.close();
});

test("two separated halves take no slots from each other", async () => {
  // Neither side has most owners, and both reach the store. A claim of one side is answered by the
  // other, which has no contact with the claimant; otherwise the sides would take slots from each
  // other in turn.
  const fleet = await startAssigned({ count: 4, zones: 4 });
  for (const one of ["e0#1", "e1#1"]) {
    for (const other of ["e2#1", "e3#1"]) fleet.network.setPartitioned(one, other, true);
  }
  // The members of the other half are declared dead one after another; when the first one is, most
  // owners are still considered live.
  await fleet.clock.advance(15_000);
  const before = counted(fleet.nodes, "slots.takeover");
  await fleet.clock.advance(60_000);
  expect(counted(fleet.nodes, "slots.claim")).toBeGreaterThan(0);
  expect(counted(fleet.nodes, "slots.takeover")).toBe(before);
  fleet.close();
});

test("a restarted instance gets slots under its new incarnation", async () => {
  // The process fails and restarts at the same address within a second or two. It has none of the
  // old one's records; if it were taken for the old one, lookups would find nothing.
  const fleet = await startAssigned({ count: 4, zones: 2 });
  fleet.nodes[3]?.kill();
  fleet.add("e3", { zone: "z1", incarnation: 2 });
  await fleet.clock.advance(30_000);
  const owners = ownersOf(mapAt(fleet.nodes[0]));
  expect(owners.has("e3#1")).toBe(false);
  expect(owners.has("e3#2")).toBe(true);
  fleet.close();
});
