import { sum } from "../../src/decision/index.ts";

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through points, by least squares. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root of the mean squared distance of the points from the line, in the value's unit. */
  readonly error: number;
}

/** Fits a line. Needs two points of different size at least. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanSize = sum(points.map(({ size }) => size)) / count;
  const meanValue = sum(points.map(({ value }) => value)) / count;
  const spread = sum(points.map(({ size }) => (size - meanSize) ** 2));
  const together = sum(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const slope = together / spread;
  const intercept = meanValue - slope * meanSize;
  const squares = points.map(({ size, value }) => (value - intercept - slope * size) ** 2);
  return { slope, intercept, error: Math.sqrt(sum(squares) / count) };
}
