import type { Subscription } from "../request/index.ts";

/** Adds a listener to a set. Closing the subscription removes it. */
export function subscribe(listeners: Set<() => void>, listener: () => void): Subscription {
  listeners.add(listener);
  return { close: () => listeners.delete(listener) };
}
