import type { Duplex } from "node:stream";
import { afterRunningTime } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";

/**
 * Maximum time for which a connection stays open for its caller to read what was sent, in milliseconds. Longer than large
 * answers take on a slow link. A stopping instance waits no longer than until all answers end.
 */
const LINGER_TIME = 5_000;

/**
 * Ends a caller's connection once the caller has ended its side, which it does after it has read everything.
 *
 * If bytes arrive on a connection that is closed on this side, the operating system resets it and discards what the
 * caller hasn't received yet. A caller on a slow link that sends an empty line or another request behind its request
 * would lose the end of an answer that was completely written.
 */
export function closeAfterCaller(socket: Duplex, clock: Clock): void {
  socket.end();
  // After a stall of the process, what has arrived is read first: unread bytes would reset the connection.
  const timer = afterRunningTime(clock, LINGER_TIME, () => socket.destroy(), { steps: 2 });
  socket.once("close", () => timer.close());
}
