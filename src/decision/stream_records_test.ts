import { expect, test } from "vitest";
import { createStreamRecords } from "./stream_records.ts";

const V1 = { service: "desk", version: "v1" };
const V2 = { service: "desk", version: "v2" };

test("finds the version at which a stream began", () => {
  const records = createStreamRecords();
  records.add(1n, V1, 0);
  records.add(2n, V2, 0);
  expect(records.find(1n)).toEqual({ kind: "known", ...V1 });
  expect(records.find(2n)).toEqual({ kind: "known", ...V2 });
  expect(records.find(3n)).toBeUndefined();
});

// Guards against a stream that goes on at the wrong version because two callers use the same request id.
test("an attempt with two versions is ambiguous from then on", () => {
  const records = createStreamRecords();
  records.add(1n, V1, 0);
  records.add(1n, V2, 1);
  expect(records.find(1n)).toEqual({ kind: "ambiguous" });
  records.add(1n, V1, 2);
  expect(records.find(1n)).toEqual({ kind: "ambiguous" });
});

// Saturation: 50 streams a second begin at each of 380 instances, and a holder has the copies of several of them.
test("removes the records that were not added again", () => {
  const records = createStreamRecords();
  for (let index = 0; index < 10_000; index++) records.add(BigInt(index), V1, index);
  records.add(5n, V1, 10_000);
  records.removeBefore(9_000);
  expect(records.size).toBe(1_001);
  expect(records.find(5n)).toEqual({ kind: "known", ...V1 });
  expect(records.find(6n)).toBeUndefined();
});
