/** Removes the entry of a map that was set first: where entries are set anew when they are used, the one unused longest. */
export function removeFirst(map: Map<string, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
