import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import { resolveAddresses } from "./resolve_addresses.ts";
import type { ResolveContext } from "./resolve_addresses.ts";

const MEMBERS: readonly Member[] = Array.from({ length: 8 }, (_, index) => ({
  id: `e${index}#1`,
  address: `10.0.0.${index}:1`,
  callerAddress: `10.0.0.${index}:2`,
  zone: `zone-${index % 4}`,
}));

function countFirstAddresses(view: Partial<ResolveContext>, count = 1_000): Map<string, number> {
  const random = createSeededRandom(1);
  const counts = new Map<string, number>();
  const context = { alive: MEMBERS, owner: undefined, load: new Map(), account: "club", ...view };
  for (let index = 0; index < count; index++) {
    const [first = ""] = resolveAddresses(context, random).addresses;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

test("spreads simultaneous callers over instances although the load data is the same", () => {
  // One instance looks idle in the last received load data. If every answer listed it first, it
  // would be the most loaded one a second later.
  const load = new Map(MEMBERS.map(({ id }, index) => [id, index === 0 ? 0 : 100]));
  const counts = countFirstAddresses({ load });
  expect(counts.get("10.0.0.0:2")).toBeLessThan(350);
  expect(counts.size).toBe(8);
});

test("prefers the caller's zone until its load exceeds an even share", () => {
  const preferred = countFirstAddresses({ zone: "zone-1" });
  expect([...preferred.keys()].sort()).toEqual(["10.0.0.1:2", "10.0.0.5:2"]);
  const load = new Map([
    ["e1#1", 100],
    ["e5#1", 100],
  ]);
  expect(countFirstAddresses({ zone: "zone-1", load }).get("10.0.0.1:2")).toBeLessThan(100);
});

test("lets a caller with most of the load cache answers briefly, and others longer", () => {
  // One account sends four fifths of all requests. With a long cache time all of them would stay on
  // one instance, however loaded it is.
  const view = { alive: MEMBERS, owner: MEMBERS[3], load: new Map(), account: "club" };
  const heavy = resolveAddresses({ ...view, accountShare: 0.8 }, createSeededRandom(1));
  const light = resolveAddresses({ ...view, accountShare: 0.05 }, createSeededRandom(1));
  expect([heavy.keepFor, light.keepFor]).toEqual([2, 10]);
  expect(heavy.owner).toBe("10.0.0.3:2");
  expect(resolveAddresses({ ...view, alive: [] }, createSeededRandom(1)).addresses).toEqual([]);
});
