import { afterEach, expect, test } from "vitest";
import { FleetRole } from "./fleet_topology.ts";
import { measurePropagation, startChangeFleet } from "./testing/sync_fleet.ts";
import type { SyncFleet, SyncMember } from "./testing/sync_fleet.ts";

/**
 * Maximum time in milliseconds from the store's acknowledgement until every instance has the
 * change: a third of the shortest required bound.
 */
const BOUND = 1_000;

/**
 * Milliseconds after a disturbance from which every instance must again know each change in time.
 */
const DISTURBANCE_TIME = 3_000;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function startFleet(instances: number, seed = 1): Promise<SyncFleet> {
  const fleet = await startChangeFleet(instances, seed);
  closers.push(() => fleet.close());
  return fleet;
}

function relaysOf({ members }: SyncFleet): SyncMember[] {
  return members.filter(({ sync }) => sync.role === FleetRole.Relay);
}

/** Drops all datagrams from one instance to the others. */
function dropDatagramsFrom(fleet: SyncFleet, member: SyncMember): void {
  for (const other of fleet.members) {
    fleet.network.cut.add(`${member.address}>${other.address}`);
  }
}

function numberedNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

// A worker may stop three seconds after it announces that it is leaving. Requests sent to it after
// that are lost.
test.each([14, 67])("a store change reaches each of %i instances within a second", async (size) => {
  const fleet = await startFleet(size);
  for (let change = 0; change < 6; change++) {
    expect(await measurePropagation(fleet, [`w-${change}`])).toBeLessThanOrEqual(BOUND);
    // The bound holds for any interval between changes.
    await fleet.clock.advance(70 * change);
  }
});

// The store returns from a copy and assigns versions again that all instances have seen. Only a few instances watch it; the
// others must not take what they forward for outdated.
test.each([6, 14, 67])(
  "a change after a restore of the store reaches each of %i instances within a second",
  async (size) => {
    const fleet = await startFleet(size);
    await measurePropagation(fleet, ["kept", "removed-later"]);
    const restore = fleet.store.copy();
    await measurePropagation(fleet, numberedNames("lost", 40));
    restore();
    await fleet.clock.advance(200);
    for (let change = 0; change < 4; change++)
      expect(await measurePropagation(fleet, [`new-${change}`])).toBeLessThanOrEqual(BOUND);
    await fleet.clock.advance(BOUND);
    const names = ["kept", "removed-later", ...numberedNames("new", 4)];
    for (const { feed } of fleet.members)
      expect([...feed.objects.keys()].sort()).toEqual(names.sort());
  },
);

// The connections on which all instances wait for the store deliver nothing any more, without an error. No instance learns
// of a change until it calls the store again.
test.each([1, 3, 6, 13, 14])(
  "a change reaches each of %i instances in time after all connections to the store have gone silent",
  async (size) => {
    const fleet = await startFleet(size);
    for (let round = 0; round < 8; round++) {
      // All instances have just received a change, so all of them have just called the store.
      await measurePropagation(fleet, [`before-${round}`]);
      await fleet.clock.advance(250 + 330 * round);
      fleet.store.silencePending();
      expect(await measurePropagation(fleet, [`after-${round}`])).toBeLessThanOrEqual(
        DISTURBANCE_TIME,
      );
    }
  },
);

// Half of a zone's workers change at once, which is more than one digest can carry.
test.each([14, 67])(
  "many simultaneous changes reach each of %i instances within a second",
  async (size) => {
    const fleet = await startFleet(size);
    for (let wave = 0; wave < 3; wave++) {
      expect(
        await measurePropagation(fleet, numberedNames(`wave-${wave}`, 60)),
      ).toBeLessThanOrEqual(BOUND);
      await fleet.clock.advance(500);
    }
  },
);

// A third of the datagrams are lost on every link.
test.each([1, 2, 3])(
  "a change arrives within a second although digests are lost (seed %i)",
  async (seed) => {
    const fleet = await startFleet(67, seed);
    fleet.network.faults = { lost: 0.3, twice: 0.1 };
    for (let change = 0; change < 5; change++) {
      expect(await measurePropagation(fleet, [`w-${change}`])).toBeLessThanOrEqual(BOUND);
      expect(
        await measurePropagation(fleet, numberedNames(`many-${change}`, 40)),
      ).toBeLessThanOrEqual(BOUND);
    }
  },
);

// A relay is suspended: it neither forwards digests nor answers fetches. Its zone depends on it for
// store changes.
test.each([0, 1, 2, 3, 4, 5, 6, 7])(
  "a change arrives although a relay is frozen (relay %i)",
  async (index) => {
    const fleet = await startFleet(67);
    const relay = relaysOf(fleet)[index];
    if (relay === undefined)
      throw new Error("A fleet of 67 instances in four zones must have eight relays.");
    dropDatagramsFrom(fleet, relay);
    relay.canAnswerFetches = false;
    const otherMembers = fleet.members.filter((member) => member !== relay);
    expect(await measurePropagation(fleet, ["one"], otherMembers)).toBeLessThanOrEqual(BOUND);
    expect(
      await measurePropagation(fleet, numberedNames("many", 60), otherMembers),
    ).toBeLessThanOrEqual(BOUND);
  },
);

// The relays still forward digests but are so slow that every fetch from them fails. If this
// affects both relays of a zone, only the store is left as a source.
test.each([1, 2])(
  "a change that must be fetched comes from another source when %i relays of a zone don't answer",
  async (count) => {
    const fleet = await startFleet(67);
    for (const zone of ["z0", "z1", "z2", "z3"]) {
      const relays = relaysOf(fleet).filter((relay) => relay.zone === zone);
      for (const relay of relays.slice(0, count)) relay.canAnswerFetches = false;
    }
    for (let wave = 0; wave < 3; wave++) {
      expect(
        await measurePropagation(fleet, numberedNames(`wave-${wave}`, 140)),
      ).toBeLessThanOrEqual(BOUND);
      await fleet.clock.advance(300);
    }
  },
);

// Both relays of a zone are suspended at once, so its members receive no store changes from them.
test("members of a zone whose relays are both frozen read the store themselves", async () => {
  const fleet = await startFleet(67);
  const zoneRelays = relaysOf(fleet).filter(({ zone }) => zone === "z1");
  for (const relay of zoneRelays) {
    dropDatagramsFrom(fleet, relay);
    relay.canAnswerFetches = false;
  }
  const otherMembers = fleet.members.filter((member) => !zoneRelays.includes(member));
  expect(await measurePropagation(fleet, ["one"], otherMembers)).toBeLessThanOrEqual(BOUND);
});

// One instance loses contact with the rest of its zone, so it wrongly takes the role of a relay and
// expects the watchers to send it store changes.
test("an instance that wrongly assumes the role of a relay still receives changes", async () => {
  const fleet = await startFleet(67);
  const isolated = fleet.members.filter(({ sync }) => sync.role === FleetRole.Member).at(-1);
  if (isolated === undefined) throw new Error("A fleet of 67 instances must have members.");
  // No digests pass between this instance and the rest of its zone.
  for (const other of fleet.members.filter(
    (one) => one !== isolated && one.zone === isolated.zone,
  )) {
    fleet.network.cut.add(`${other.address}>${isolated.address}`);
    fleet.network.cut.add(`${isolated.address}>${other.address}`);
  }
  for (let change = 0; change < 12; change++) {
    expect(await measurePropagation(fleet, [`w-${change}`])).toBeLessThanOrEqual(BOUND);
    await fleet.clock.advance(400);
  }
});
