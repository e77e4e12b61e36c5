import { expect, test } from "vitest";
import { admissionKey } from "./admission_period.ts";
import { createOwnAdmissions } from "./own_admissions.ts";

const ACCOUNT = "a/b";

function keyOf(period: number): string {
  return admissionKey({ period, account: ACCOUNT });
}

// Guards against amounts that are assigned to two periods, which would be deducted twice.
test("assigns what was admitted since the last call to the present period", () => {
  const own = createOwnAdmissions();
  own.record(new Map([[ACCOUNT, 100]]), 7);
  own.record(new Map([[ACCOUNT, 150]]), 7);
  const amounts = own.record(new Map([[ACCOUNT, 180]]), 8);
  expect([...amounts]).toEqual([
    [keyOf(7), 150],
    [keyOf(8), 30],
  ]);
});

// Guards against refunds that are lost since the present period has a smaller amount.
test("refunds reduce earlier periods if the present one doesn't suffice", () => {
  const own = createOwnAdmissions();
  own.record(new Map([[ACCOUNT, 100]]), 7);
  own.record(new Map([[ACCOUNT, 120]]), 8);
  const amounts = own.record(new Map([[ACCOUNT, 70]]), 8);
  expect(amounts.get(keyOf(7))).toBe(70);
  expect(amounts.get(keyOf(8))).toBe(0);
});

// Guards against messages that grow with the uptime, or by a correction of the time of day.
test("keeps only the latest periods", () => {
  const own = createOwnAdmissions();
  for (let period = 1; period <= 50; period++) own.record(new Map([[ACCOUNT, period]]), period);
  expect(own.record(new Map([[ACCOUNT, 50]]), 50).size).toBeLessThan(10);
  expect(own.record(new Map([[ACCOUNT, 60]]), 10).size).toBe(1);
});
