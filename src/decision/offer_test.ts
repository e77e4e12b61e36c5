import { expect, test } from "vitest";
import { isWorthOffering, returnAfter } from "./offer.ts";

const CALM = { wait: 100, target: 800, left: 15_000, rank: 1, isReturn: false };

test("with room at the workers everything is offered", () => {
  for (const rank of [0, 1, 2, 5]) expect(isWorthOffering({ ...CALM, rank })).toBe(true);
});

// Twice what the engines can do arrives. Taken in order of arrival, every request would be late.
test("in saturation the less urgent are refused first, and what is taken is in time", () => {
  const taken = [0, 1, 2, 3].map((rank) => {
    let wait = 0;
    while (isWorthOffering({ ...CALM, rank, wait })) wait += 10;
    return wait;
  });
  expect(taken).toEqual([...taken].sort((a, b) => b - a));
  expect(taken[0]).toBeLessThan(CALM.target * 1.5);
});

// A caller was refused and comes back as it was told. A second refusal would have cost it its time for nothing.
test("one that comes back is taken as long as it will end", () => {
  const late = { ...CALM, wait: 2_000, left: 9_000 };
  expect(isWorthOffering(late)).toBe(false);
  expect(isWorthOffering({ ...late, isReturn: true })).toBe(true);
  expect(isWorthOffering({ ...late, isReturn: true, left: 3_000 })).toBe(false);
});

test("the time to come back grows with what is ahead", () => {
  expect(returnAfter({ ...CALM, wait: 4_000 })).toBeGreaterThan(
    returnAfter({ ...CALM, wait: 2_000 }),
  );
  expect(returnAfter({ ...CALM, wait: 0 })).toBeGreaterThan(0);
});
