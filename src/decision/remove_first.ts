/**
 * Deletes the first entry of a map. If entries are inserted again on each use, this is the least
 * recently used one.
 */
export function removeFirst(map: Map<string, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
