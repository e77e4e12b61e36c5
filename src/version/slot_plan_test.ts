import { expect, test } from "vitest";
import { EMPTY_SLOT_MAP, SLOT_COUNT } from "./slot_map.ts";
import type { SlotMap } from "./slot_map.ts";
import { formatSlotMap, parseSlotMap } from "./slot_map_codec.ts";
import { applyChanges, planBackups, planSwaps, planTakeover, withBackup } from "./slot_plan.ts";
import type { SlotChange, SlotFleet } from "./slot_plan.ts";
import type { SlotMember } from "./slot_target.ts";

const NOW = 1_000;

function fleetOf(eligible: readonly SlotMember[], leaving: readonly SlotMember[] = []): SlotFleet {
  const present = new Set([...eligible, ...leaving].map(({ id }) => id));
  return { eligible, present, canReplacePrimary: () => true };
}

function members(count: number, zones = 4): SlotMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `e${index}#1`,
    zone: `z${index % zones}`,
  }));
}

function applyAll(map: SlotMap, changes: readonly SlotChange[]): SlotMap {
  const slots = applyChanges(map, changes);
  return slots === undefined ? map : { version: map.version + 1, slots };
}

function assignSlots(all: readonly SlotMember[]): SlotMap {
  return applyAll(EMPTY_SLOT_MAP, planTakeover(EMPTY_SLOT_MAP, fleetOf(all), NOW));
}

/** Returns the slots whose primary is the given member. */
function slotsOwnedBy({ slots }: SlotMap, id: string | undefined): number[] {
  return slots.flatMap(({ primary }, slot) => (primary === id ? [slot] : []));
}

/** Assigns the planned backups of a primary. */
function assignBackups(start: SlotMap, options: Parameters<typeof planBackups>[1]): SlotMap {
  let map = start;
  for (const [backup, slots] of planBackups(map, options)) {
    const changes = slots.flatMap((slot) => {
      const assignment = map.slots[slot];
      return assignment === undefined ? [] : [{ slot, assignment: withBackup(assignment, backup) }];
    });
    map = applyAll(map, changes);
  }
  return map;
}

/** Lets every primary write its planned changes until there are none left. */
function settle(start: SlotMap, fleet: SlotFleet): SlotMap {
  let map = start;
  for (let round = 0; round < 40; round++) {
    const before = map;
    for (const self of fleet.present) {
      const options = { self, fleet, maxMoves: SLOT_COUNT };
      map = assignBackups(map, options);
      map = applyAll(map, planSwaps(map, { ...options, isBackupReady: () => true }));
    }
    map = applyAll(map, planTakeover(map, fleet, NOW));
    if (map === before) return map;
  }
  throw new Error("The slot map did not settle in 40 rounds.");
}

test.each([2, 8, 63])(
  "the first assignment over %i members is balanced and spans two zones",
  (count) => {
    const all = members(count, 2);
    const map = assignSlots(all);
    const zoneOf = new Map(all.map(({ id, zone }) => [id, zone]));
    const slotsByMember = new Map<string, number>();
    for (const { epoch, primary, backup, historyLostAt } of map.slots) {
      expect([epoch, historyLostAt]).toEqual([1, 0]);
      expect(zoneOf.get(primary)).not.toBe(zoneOf.get(backup));
      slotsByMember.set(primary, (slotsByMember.get(primary) ?? 0) + 1);
    }
    const mean = SLOT_COUNT / count;
    expect(Math.max(...slotsByMember.values())).toBeLessThanOrEqual(Math.ceil(1.15 * mean));
  },
);

test("the loss of a zone promotes every backup in one change and loses no slot's history", () => {
  // All members of a zone are lost at once. Each of their slots must get exactly one owner that holds its records: the
  // backup, which is in another zone.
  const all = members(8);
  const before = assignSlots(all);
  const survivors = all.filter(({ zone }) => zone !== "z0");
  const after = applyAll(before, planTakeover(before, fleetOf(survivors), NOW));
  after.slots.forEach(({ epoch, primary, backup, historyLostAt }, slot) => {
    const was = before.slots[slot];
    const lost = was?.primary === "e0#1" || was?.primary === "e4#1";
    expect(historyLostAt).toBe(0);
    expect(epoch).toBe(lost ? 2 : 1);
    expect(primary).toBe(lost ? was.backup : was?.primary);
    // The promoted owner has not copied its records yet, so the slot has no backup.
    if (lost) expect(backup).toBe("");
  });
});

test("a slot that loses both owners records when its history was lost", () => {
  // Primary and backup die at the same time without a handover. A caller that sends an idempotency key again must not
  // run its request a second time, so the slot map must show that earlier records are missing.
  const all = members(8);
  const before = assignSlots(all);
  const { primary, backup } = before.slots[0] ?? { primary: "", backup: "" };
  const rest = all.filter(({ id }) => id !== primary && id !== backup);
  const after = applyAll(before, planTakeover(before, fleetOf(rest), NOW)).slots[0];
  expect(after?.historyLostAt).toBe(NOW);
  expect(rest.map(({ id }) => id)).toContain(after?.primary);
});

test("a leaving member's slots go to eligible members, and epochs never decrease", () => {
  const all = members(8);
  const [gone, ...rest] = all;
  const before = assignSlots(all);
  const leaving = gone === undefined ? [] : [gone];
  const after = settle(before, fleetOf(rest, leaving));
  after.slots.forEach(({ epoch, primary, backup, historyLostAt }, slot) => {
    expect([primary, backup]).not.toContain("e0#1");
    expect(backup).not.toBe("");
    expect(epoch).toBeGreaterThanOrEqual(before.slots[slot]?.epoch ?? 0);
    expect(historyLostAt).toBe(0);
  });
});

test("a joining member gets its share of the slots by becoming a backup first", () => {
  const all = members(9);
  const before = assignSlots(all.slice(0, 8));
  const after = settle(before, fleetOf(all));
  const ownSlots = after.slots.filter(({ primary }) => primary === "e8#1").length;
  expect(ownSlots).toBeGreaterThan(SLOT_COUNT / 9 / 1.5);
  const moved = after.slots.filter((now, slot) => now.primary !== before.slots[slot]?.primary);
  expect(moved.length).toBeLessThan((2 * SLOT_COUNT) / 9);
});

test("the backups of a leaving member are promoted only where they may replace it", () => {
  // A new backup that is promoted before it has the whole history refuses the keys that it doesn't know.
  const all = members(8);
  const [gone, ...rest] = all;
  const before = assignSlots(all);
  const [first, ...others] = slotsOwnedBy(before, gone?.id);
  const fleet = fleetOf(rest, gone === undefined ? [] : [gone]);
  const canReplacePrimary = (slot: number): boolean => slot === first;
  const changes = planTakeover(before, { ...fleet, canReplacePrimary }, NOW);
  expect(others.length).toBeGreaterThan(0);
  expect(changes.map(({ slot }) => slot)).toEqual([first]);
});

test("a backup without the whole history does not become the primary", () => {
  // The backup was assigned a moment ago. As the primary it would refuse the new keys that it can't look up.
  const all = members(9);
  const before = assignSlots(all.slice(0, 8));
  const map = assignBackups(before, { self: "e0#1", fleet: fleetOf(all), maxMoves: SLOT_COUNT });
  const options = { self: "e0#1", fleet: fleetOf(all), maxMoves: SLOT_COUNT };
  const ready = planSwaps(map, { ...options, isBackupReady: () => true });
  expect(ready.length).toBeGreaterThan(0);
  const [first] = ready;
  const swaps = planSwaps(map, { ...options, isBackupReady: (slot) => slot === first?.slot });
  expect(swaps).toEqual([first]);
});

test("a change planned for an outdated epoch is not applied", () => {
  const before = assignSlots(members(4));
  const late = planTakeover(EMPTY_SLOT_MAP, fleetOf(members(2)), NOW);
  expect(applyChanges(before, late)).toBeUndefined();
});

test("a slot map of 380 members survives serialization and stays small", () => {
  const map = assignSlots(members(380, 22));
  const value = formatSlotMap(map.slots);
  expect(parseSlotMap(map.version, value)).toEqual(map);
  expect(value.length).toBeLessThan(100_000);
});
