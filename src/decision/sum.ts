/** Returns the sum of the values; 0 if there are none. */
export function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
