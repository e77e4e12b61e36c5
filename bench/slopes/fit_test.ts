/**
 * A wrong slope or error in the fit would hide that costs grow faster than linearly with the fleet size.
 *
 * @module
 */
import { expect, test } from "vitest";
import { fitLine } from "./fit.ts";

test("points on a line give this line with error 0", () => {
  const points = [1, 2, 4, 8].map((size) => ({ size, value: 3 * size + 2 }));
  const { slope, intercept, error } = fitLine(points);
  expect([slope, intercept, error].map((value) => Math.round(value * 1e9) / 1e9)).toEqual([
    3, 2, 0,
  ]);
});

test("points off the line give the root mean square of their residuals", () => {
  const points = [0, 1, 2, 3].map((size) => ({ size, value: size % 2 }));
  expect(fitLine(points).error).toBeCloseTo(Math.sqrt(0.2));
});
