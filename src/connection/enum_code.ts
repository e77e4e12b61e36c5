/**
 * The number of an enum's value on the wire: its place among the values. New values go at the end, so that
 * instances of two versions understand each other while a release rolls out.
 *
 * @param values All values of the enum, in order.
 * @param value The value to encode.
 */
export function enumCode<T>(values: readonly T[], value: T): number {
  return values.indexOf(value);
}

/**
 * The enum's value for a number from the wire.
 *
 * @throws {RangeError} If no value has the number: the sender is of a version that this one doesn't know.
 */
export function enumValue<T>(values: readonly T[], code: number): T {
  const value = values[code];
  if (value === undefined) {
    throw new RangeError(`Decoding an enum: found ${code}, expected less than ${values.length}.`);
  }
  return value;
}
