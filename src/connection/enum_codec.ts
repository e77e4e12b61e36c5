/**
 * Encodes an enum value as its index among all values. New values must be added at the end of the enum,
 * so that instances of two releases can communicate during a rolling update.
 *
 * @param values All values of the enum, in order.
 * @param value The value to encode.
 * @returns The index.
 */
export function encodeEnum<T>(values: readonly T[], value: T): number {
  return values.indexOf(value);
}

/**
 * Decodes an enum value from its index.
 *
 * @param values All values of the enum, in order.
 * @param code The index received.
 * @returns The value.
 * @throws {RangeError} If no value has this index, which happens if the sender runs a newer release.
 */
export function decodeEnum<T>(values: readonly T[], code: number): T {
  const value = values[code];
  if (value === undefined) {
    throw new RangeError(`Decoding an enum: found ${code}, expected less than ${values.length}.`);
  }
  return value;
}
