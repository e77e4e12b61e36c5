import { expect, test } from "vitest";
import { fitLine } from "./fit.ts";

test("points on a line give the line without error", () => {
  const points = [1, 2, 4, 8].map((size) => ({ size, value: 3 * size + 2 }));
  const { slope, intercept, error } = fitLine(points);
  expect([slope, intercept, error].map((value) => Math.round(value * 1e9) / 1e9)).toEqual([
    3, 2, 0,
  ]);
});

test("points off the line show in the error", () => {
  const points = [0, 1, 2, 3].map((size) => ({ size, value: size % 2 }));
  expect(fitLine(points).error).toBeCloseTo(Math.sqrt(0.2));
});
