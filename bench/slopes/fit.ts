import { sum } from "../../src/decision/index.ts";

/** A measurement at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A least-squares line. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, in the unit of the values. */
  readonly error: number;
}

/** Fits a least-squares line to the points. At least two of them need different sizes. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = sum(points.map(({ size }) => size)) / count;
  const meanValue = sum(points.map(({ value }) => value)) / count;
  const sizeVariation = sum(points.map(({ size }) => (size - meanSize) ** 2));
  const covariation = sum(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const slope = covariation / sizeVariation;
  const intercept = meanValue - slope * meanSize;
  const squaredResiduals = points.map(({ size, value }) => (value - intercept - slope * size) ** 2);
  return { slope, intercept, error: Math.sqrt(sum(squaredResiduals) / count) };
}
