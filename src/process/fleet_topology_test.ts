import { expect, test } from "vitest";
import { FleetRole, MAX_MESH_SIZE, planTopology } from "./fleet_topology.ts";
import type { TopologyInstance } from "./fleet_topology.ts";

function fleet(size: number): TopologyInstance[] {
  return Array.from({ length: size }, (_, index) => ({
    peers: `10.0.${index >> 8}.${index & 255}:9`,
    zone: `z${index % 6}`,
    capacity: Math.floor(index / 6) % 10 === 0 ? 1_350 : 324,
    ready: true,
  }));
}

function planOf(all: readonly TopologyInstance[], index: number): ReturnType<typeof planTopology> {
  const self = all[index];
  if (self === undefined) throw new Error(`There is no instance ${index}.`);
  return planTopology(
    self,
    all.filter((one) => one !== self),
  );
}

test("all instances select the same relays, two per zone with the larger machines first", () => {
  const all = fleet(195);
  const plans = all.map((_, index) => planOf(all, index));
  const [first] = plans;
  const relays = [...(first?.relays.values() ?? [])].flat();
  expect(relays.length).toBe(12);
  for (const { relays: found, watchers } of plans) {
    expect(found).toEqual(first?.relays);
    expect(watchers).toEqual(first?.watchers);
  }
  const byAddress = new Map(all.map((one) => [one.peers, one]));
  expect(relays.every((address) => byAddress.get(address)?.capacity === 1_350)).toBe(true);
  const roles = plans.map(({ role }) => role);
  expect(roles.filter((role) => role === FleetRole.Relay).length).toBe(12);
  expect(roles.filter((role) => role === FleetRole.Member).length).toBe(183);
});

test("the watchers of the store are in different zones", () => {
  const all = fleet(60);
  const { watchers } = planOf(all, 0);
  const zones = all.filter(({ peers }) => watchers.has(peers)).map(({ zone }) => zone);
  expect(new Set(zones).size).toBe(4);
});

// A stopping instance ends within seconds. As a relay, it would leave its zone without updates
// until the loss is detected.
test("an instance that doesn't accept requests isn't a relay while others do", () => {
  const all = fleet(60);
  const { relays } = planOf(all, 0);
  const [stopping] = relays.get("z0") ?? [];
  const after = all.map((one) => ({ ...one, ready: one.peers !== stopping }));
  expect(planOf(after, 1).relays.get("z0")).not.toContain(stopping);
});

test("a small fleet has no relays", () => {
  const plan = planOf(fleet(MAX_MESH_SIZE), 0);
  expect(plan.role).toBe(FleetRole.Mesh);
  expect(plan.relays.size + plan.watchers.size).toBe(0);
});

// Losing a relay must not change the relays of other zones, since every change interrupts their
// updates briefly.
test("losing a relay changes only the relays of its own zone", () => {
  const all = fleet(120);
  const before = planOf(all, 1);
  const [lost] = before.relays.get("z2") ?? [];
  const after = planOf(
    all.filter(({ peers }) => peers !== lost),
    1,
  );
  for (const [zone, relays] of before.relays) {
    if (zone !== "z2") expect(after.relays.get(zone)).toEqual(relays);
  }
  expect(after.relays.get("z2")?.[0]).toBe(before.relays.get("z2")?.[1]);
});
