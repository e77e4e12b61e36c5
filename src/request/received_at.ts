import type { IncomingMessage } from "node:http";

/** When the heads of requests were read. */
const receivedAt = new WeakMap<IncomingMessage, number>();

/** Records when the head of a request was read, in the clock's milliseconds, which may be long before it is parsed. */
export function recordReceived(request: IncomingMessage, at: number): void {
  receivedAt.set(request, at);
}

/** Returns when the head of a request was read; undefined if it wasn't recorded. */
export function receivedTime(request: IncomingMessage): number | undefined {
  return receivedAt.get(request);
}
