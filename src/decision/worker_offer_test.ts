import { expect, test } from "vitest";
import { shouldOffer, offerRetryDelay } from "./worker_offer.ts";

const CALM = {
  expectedFirstToken: 100,
  firstTokenTarget: 800,
  timeLeft: 15_000,
  priorityRank: 1,
  isRetry: false,
};

test("offers every request while the workers have capacity", () => {
  for (const priorityRank of [0, 1, 2, 5])
    expect(shouldOffer({ ...CALM, priorityRank })).toBe(true);
});

// Requests for twice the capacity of the engines arrive. If they were accepted in order of arrival,
// all would be late.
test("refuses the less urgent first in saturation, and accepted requests are in time", () => {
  const maxWaits = [0, 1, 2, 3].map((priorityRank) => {
    let expectedFirstToken = 0;
    while (shouldOffer({ ...CALM, priorityRank, expectedFirstToken })) expectedFirstToken += 10;
    return expectedFirstToken;
  });
  expect(maxWaits).toEqual([...maxWaits].sort((a, b) => b - a));
  expect(maxWaits[0]).toBeLessThan(CALM.firstTokenTarget * 1.5);
});

// A caller was refused and returns after the given delay. A second refusal would waste that time.
test("accepts a returning request as long as it will end before its deadline", () => {
  const late = { ...CALM, expectedFirstToken: 2_000, timeLeft: 9_000 };
  expect(shouldOffer(late)).toBe(false);
  expect(shouldOffer({ ...late, isRetry: true })).toBe(true);
  expect(shouldOffer({ ...late, isRetry: true, timeLeft: 3_000 })).toBe(false);
});

test("the retry delay grows with the work ahead", () => {
  expect(offerRetryDelay({ ...CALM, expectedFirstToken: 4_000 })).toBeGreaterThan(
    offerRetryDelay({ ...CALM, expectedFirstToken: 2_000 }),
  );
  expect(offerRetryDelay({ ...CALM, expectedFirstToken: 0 })).toBeGreaterThan(0);
});
