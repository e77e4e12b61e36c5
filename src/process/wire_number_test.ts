import fc from "fast-check";
import { expect, test } from "vitest";
import { unsigned32, unsigned64 } from "./wire_number.ts";

test.each([
  [1.5, 2, 2n],
  [-1, 0, 0n],
  [Number.NaN, 0, 0n],
  [2 ** 32, 2 ** 32 - 1, 2n ** 32n],
  [1e300, 2 ** 32 - 1, 2n ** 64n - 1n],
  [Infinity, 2 ** 32 - 1, 2n ** 64n - 1n],
  [-Infinity, 0, 0n],
])("%d becomes %d in 32 bits and %d in 64", (value, narrow, wide) => {
  expect(unsigned32(value)).toBe(narrow);
  expect(unsigned64(value)).toBe(wide);
});

test("every number fits", () => {
  fc.assert(
    fc.property(fc.double(), (value) => {
      expect(unsigned32(value)).toBeLessThan(2 ** 32);
      expect(BigInt.asUintN(64, unsigned64(value))).toBe(unsigned64(value));
    }),
  );
});
