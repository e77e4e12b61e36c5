import { expect, test } from "vitest";
import { systemRandom } from "./system_random.ts";

// Guards against a batch that is used twice or not filled: the choices of an instance would then repeat, or zero would
// be returned for the missing values.
test("draws distinct numbers from 0 to 1, also beyond a batch", () => {
  const drawn = Array.from({ length: 2_000 }, () => systemRandom.next());
  expect(drawn.every((value) => value >= 0 && value < 1)).toBe(true);
  // Two of 2,000 values with 32 bits are equal in about 1 of 2,000 runs, three pairs practically never.
  expect(new Set(drawn).size).toBeGreaterThanOrEqual(1_998);
});
