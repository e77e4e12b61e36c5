import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import type { Member } from "../interface/index.ts";
import { resolve } from "./resolve.ts";
import type { ResolveView } from "./resolve.ts";

const MEMBERS: readonly Member[] = Array.from({ length: 8 }, (_, index) => ({
  id: `e${index}#1`,
  address: `10.0.0.${index}:1`,
  callerAddress: `10.0.0.${index}:2`,
  zone: `zone-${index % 4}`,
}));

function firsts(view: Partial<ResolveView>, count = 1_000): Map<string, number> {
  const random = createSeededRandom(1);
  const counts = new Map<string, number>();
  const full = { alive: MEMBERS, owner: undefined, load: new Map(), account: "club", ...view };
  for (let index = 0; index < count; index++) {
    const [first = ""] = resolve(full, random).addresses;
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

test("callers that ask at the same time from the same loads don't all get the same instance", () => {
  // One instance looks idle in the last heard loads. If every answer named it first, it would be the most
  // loaded one a second later.
  const load = new Map(MEMBERS.map(({ id }, index) => [id, index === 0 ? 0 : 100]));
  const counts = firsts({ load });
  expect(counts.get("10.0.0.0:2")).toBeLessThan(350);
  expect(counts.size).toBe(8);
});

test("the own zone goes first until it carries more than its part", () => {
  const near = firsts({ zone: "zone-1" });
  expect([...near.keys()].sort()).toEqual(["10.0.0.1:2", "10.0.0.5:2"]);
  const load = new Map([
    ["e1#1", 100],
    ["e5#1", 100],
  ]);
  expect(firsts({ zone: "zone-1", load }).get("10.0.0.1:2")).toBeLessThan(100);
});

test("a caller that brings most of the load asks again soon, and others seldom", () => {
  // One club sends four fifths of all requests. With an answer kept for long, all of it stays on one
  // instance however loaded that one is.
  const view = { alive: MEMBERS, owner: MEMBERS[3], load: new Map(), account: "club" };
  const heavy = resolve({ ...view, accountShare: 0.8 }, createSeededRandom(1));
  const light = resolve({ ...view, accountShare: 0.05 }, createSeededRandom(1));
  expect([heavy.keepFor, light.keepFor]).toEqual([2, 10]);
  expect(heavy.owner).toBe("10.0.0.3:2");
  expect(resolve({ ...view, alive: [] }, createSeededRandom(1)).addresses).toEqual([]);
});
