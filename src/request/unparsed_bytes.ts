import type { Duplex } from "node:stream";

const unparsedBytes = new WeakMap<Duplex, () => number>();

/** Sets how the number of bytes is found out that were received on a caller's connection and wait to be parsed. */
export function setUnparsedBytes(connection: Duplex, count: () => number): void {
  unparsedBytes.set(connection, count);
}

/**
 * Whether bytes were received on a caller's connection that wait to be parsed. They may be a whole request, which would
 * get no answer if the connection ended.
 */
export function hasUnparsedBytes(connection: Duplex): boolean {
  return (unparsedBytes.get(connection)?.() ?? 0) > 0;
}
