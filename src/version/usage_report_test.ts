import { expect, test } from "vitest";
import { KEPT_WINDOWS, knownAfterFix, nextUsageStep, parseUsageRecord } from "./usage_report.ts";
import type { UsageRecord } from "./usage_report.ts";

const EMPTY: UsageRecord = { reports: [] };

test("a window's counts are fixed in the store and then sent unchanged", () => {
  const own = { window: 3, counts: { a: 1 } };
  expect(nextUsageStep(undefined, own)).toEqual({ kind: "read" });
  const fix = nextUsageStep({ version: 0, record: EMPTY }, own);
  const record: UsageRecord = { reports: [own] };
  expect(fix).toEqual({ kind: "fix", expect: 0, record });
  const known = knownAfterFix(record, 1);
  // One more run has been counted meanwhile. It is too late for this window.
  expect(nextUsageStep(known, { window: 3, counts: { a: 2 } })).toEqual({
    kind: "send",
    counts: { a: 1 },
  });
});

// The response to a write is lost. Only a read shows whether this write or that of another instance took effect.
test("the record is read again after a write without a response", () => {
  expect(knownAfterFix(EMPTY, undefined)).toBeUndefined();
});

test("the record keeps only the latest windows", () => {
  let record = EMPTY;
  for (let window = 0; window < 2 * KEPT_WINDOWS; window++) {
    const step = nextUsageStep({ version: window, record }, { window, counts: {} });
    if (step.kind !== "fix") throw new Error("Each window is new.");
    record = step.record;
  }
  expect(record.reports).toHaveLength(KEPT_WINDOWS);
  expect(record.reports.at(-1)?.window).toBe(2 * KEPT_WINDOWS - 1);
});

// Another program has written something else under the record's key. A report without the fixed counts could bill a
// window twice.
test("text that is not a usage record is rejected", () => {
  expect(parseUsageRecord('{"reports":[]}')).toEqual(EMPTY);
  for (const text of ["", "{", "[]", '{"reports":[{"window":"a"}]}', '{"reports":7}']) {
    expect(parseUsageRecord(text)).toBeUndefined();
  }
});
