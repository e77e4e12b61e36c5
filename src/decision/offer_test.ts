import { expect, test } from "vitest";
import { isWorthOffering, returnAfter } from "./offer.ts";

const CALM = { wait: 100, target: 800, left: 15_000, rank: 1, isReturn: false };

test("offers every request while the workers have capacity", () => {
  for (const rank of [0, 1, 2, 5]) expect(isWorthOffering({ ...CALM, rank })).toBe(true);
});

// Requests for twice the capacity of the engines arrive. If they were accepted in order of arrival,
// all would be late.
test("refuses the less urgent first in saturation, and accepted requests are in time", () => {
  const taken = [0, 1, 2, 3].map((rank) => {
    let wait = 0;
    while (isWorthOffering({ ...CALM, rank, wait })) wait += 10;
    return wait;
  });
  expect(taken).toEqual([...taken].sort((a, b) => b - a));
  expect(taken[0]).toBeLessThan(CALM.target * 1.5);
});

// A caller was refused and returns after the given delay. A second refusal would waste that time.
test("accepts a returning request as long as it will end before its deadline", () => {
  const late = { ...CALM, wait: 2_000, left: 9_000 };
  expect(isWorthOffering(late)).toBe(false);
  expect(isWorthOffering({ ...late, isReturn: true })).toBe(true);
  expect(isWorthOffering({ ...late, isReturn: true, left: 3_000 })).toBe(false);
});

test("the retry delay grows with the work ahead", () => {
  expect(returnAfter({ ...CALM, wait: 4_000 })).toBeGreaterThan(
    returnAfter({ ...CALM, wait: 2_000 }),
  );
  expect(returnAfter({ ...CALM, wait: 0 })).toBeGreaterThan(0);
});
