import { expect, test } from "vitest";
import { createRepeatAllowance } from "./repeat_allowance.ts";

const BOUNDS = { ratio: 0.2, slack: 52, window: 10_000 };

// All workers of a service fail, and every request needs a second attempt. Without a limit the
// workers that recover would receive twice the load.
test("keeps six instances together within the limit in every window of an outage", () => {
  const allowances = Array.from({ length: 6 }, () => createRepeatAllowance(BOUNDS));
  for (const allowance of allowances) allowance.setMembers(6);
  const repeats: number[] = [];
  for (let now = 0; now < 40_000; now += 40) {
    for (const allowance of allowances) {
      allowance.requested("s", now);
      if (allowance.take("s", now)) repeats.push(now);
    }
  }
  const requestsInWindow = (10_000 / 40) * 6;
  for (let from = 0; from < 30_000; from += 500) {
    const inWindow = repeats.filter((at) => at >= from && at < from + 10_000).length;
    expect(inWindow).toBeLessThanOrEqual(requestsInWindow * BOUNDS.ratio + BOUNDS.slack);
  }
  expect(repeats.length).toBeGreaterThan(1_000);
});

test("allows a service with few requests to repeat one", () => {
  const allowance = createRepeatAllowance(BOUNDS);
  allowance.setMembers(6);
  allowance.requested("s", 0);
  expect(allowance.take("s", 10)).toBe(true);
});

test("keeps the budgets of services separate", () => {
  const allowance = createRepeatAllowance(BOUNDS);
  while (allowance.take("failing", 0));
  expect(allowance.take("well", 0)).toBe(true);
});
