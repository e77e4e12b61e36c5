import { expect, test } from "vitest";
import { selectHolders } from "./record_holders.ts";
import type { HolderCandidate } from "./record_holders.ts";

const fleet = (size: number, zones: number): HolderCandidate[] =>
  Array.from({ length: size }, (_, index) => ({
    peers: `10.0.0.${index}:9`,
    zone: `zone-${index % zones}`,
  }));

const holdersOf = (
  self: HolderCandidate,
  all: HolderCandidate[],
  count: number,
): HolderCandidate[] => selectHolders(self, { others: all.filter((one) => one !== self), count });

// Guards against copies that are all lost with the availability zone of the instance that made them.
test.each([
  [6, 4],
  [60, 4],
  [300, 6],
])("the holders of each of %i instances in %i zones are in other zones", (size, zones) => {
  const all = fleet(size, zones);
  for (const self of all) {
    const holders = holdersOf(self, all, 3);
    expect(new Set(holders.map(({ zone }) => zone)).size).toBe(3);
    expect(holders.map(({ zone }) => zone)).not.toContain(self.zone);
  }
});

test("all other instances are holders in a fleet that is small enough", () => {
  const all = fleet(6, 2);
  for (const self of all) expect(holdersOf(self, all, 5)).toHaveLength(5);
});

// A few instances must not hold the copies of most others: each has a part of the load.
test("copies are spread over the fleet", () => {
  const all = fleet(300, 6);
  const held = new Map<string, number>();
  for (const self of all) {
    for (const { peers } of holdersOf(self, all, 3)) held.set(peers, (held.get(peers) ?? 0) + 1);
  }
  expect(Math.max(...held.values())).toBeLessThan(15);
});

test("the end of an instance changes only the holders that it was one of", () => {
  const all = fleet(60, 1);
  const [self, gone] = all;
  if (self === undefined || gone === undefined) throw new Error("The fleet is empty.");
  const before = holdersOf(self, all, 3);
  const after = holdersOf(
    self,
    all.filter((one) => one !== gone),
    3,
  );
  const kept = before.filter((one) => one !== gone);
  expect(after).toEqual(expect.arrayContaining(kept));
});
