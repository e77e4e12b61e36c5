import { expect, test } from "vitest";
import { createRepeatAllowance } from "./repeat_budget.ts";

const LIMITS = { ratio: 0.2, slack: 52, window: 10_000 };

// All workers of a service fail, and every request needs a second attempt. Without a limit the
// workers that recover would receive twice the load.
test("keeps six instances together within the limit in every window of an outage", () => {
  const budgets = Array.from({ length: 6 }, () => createRepeatAllowance(LIMITS));
  for (const budget of budgets) budget.setMembers(6);
  const repeats: number[] = [];
  for (let now = 0; now < 40_000; now += 40) {
    for (const budget of budgets) {
      budget.requested("s", now);
      if (budget.take("s", now)) repeats.push(now);
    }
  }
  const requestsInWindow = (10_000 / 40) * 6;
  for (let from = 0; from < 30_000; from += 500) {
    const inWindow = repeats.filter((at) => at >= from && at < from + 10_000).length;
    expect(inWindow).toBeLessThanOrEqual(requestsInWindow * LIMITS.ratio + LIMITS.slack);
  }
  expect(repeats.length).toBeGreaterThan(1_000);
});

test("allows a service with few requests to repeat one", () => {
  const budget = createRepeatAllowance(LIMITS);
  budget.setMembers(6);
  budget.requested("s", 0);
  expect(budget.take("s", 10)).toBe(true);
});

test("keeps the budgets of services separate", () => {
  const budget = createRepeatAllowance(LIMITS);
  while (budget.take("failing", 0));
  expect(budget.take("well", 0)).toBe(true);
});
