import { expect, test } from "vitest";
import { createReceiveBudget, ReceivedPart } from "./receive_budget.ts";
import type { ExceededLimit } from "./receive_budget.ts";

const MAX_SHARED = 1_000_000;
const LARGE = 400_000;
const SMALL = 10_000;

// Guards against exchanges that each stay within their limit and together exceed the memory of the process.
test("exchanges together hold no more than the shared amount", () => {
  const budget = createReceiveBudget({ maxShared: MAX_SHARED });
  const exchanges = [1, 2, 3].map(() => budget.open(ReceivedPart.Answer));
  expect(exchanges.map((exchange) => exchange.hold(LARGE))).toEqual([true, true, false]);
  exchanges[2]?.close();
  expect(exchanges[0]?.hold(LARGE + SMALL)).toBe(true);
  for (const exchange of exchanges) exchange.close();
  expect(budget.shared).toBe(0);
});

// Guards against sound workers whose requests are refused because a faulty one uses up the memory.
test("a small exchange is within the limit whatever the others hold", () => {
  const budget = createReceiveBudget({ maxShared: MAX_SHARED });
  expect(budget.open(ReceivedPart.Answer).hold(2 * MAX_SHARED)).toBe(false);
  expect(budget.open(ReceivedPart.Answer).hold(SMALL)).toBe(true);
});

test("an exchange that is closed over a limit is reported with what it held", () => {
  const exceeded: ExceededLimit[] = [];
  const budget = createReceiveBudget({ onExceeded: (one) => void exceeded.push(one) });
  const exchange = budget.open(ReceivedPart.Report);
  exchange.hold(SMALL);
  exchange.recordExceeded("i-1");
  expect(exceeded).toEqual([{ part: ReceivedPart.Report, source: "i-1", held: SMALL, shared: 0 }]);
});
