import type { Server } from "node:http";
import type { Clock } from "../interface/index.ts";
import { connectionEvent } from "./http_listener.ts";

/** A time in which the process accepted a connection in each turn of its event loop, so that others waited meanwhile. */
export interface AcceptSeries {
  /** Number of connections that were accepted. */
  readonly connections: number;
  /** Milliseconds, which is about how long the last of them has waited. */
  readonly duration: number;
}

/** Dependencies of {@linkcode watchAccepts}. */
export interface AcceptWatchParts {
  readonly clock: Pick<Clock, "now">;
  /** Called at the end of a series that was long enough to be noticed by callers. */
  readonly onAcceptSeries: (series: AcceptSeries) => void;
}

/** Duration of the shortest series that is reported, in milliseconds. */
const MIN_DURATION = 250;

/**
 * Reports when connections have waited to be accepted.
 *
 * Node.js accepts one connection of a listener in each turn of the event loop, however many wait. The time that a
 * connection waits, possibly with a request and the end of its caller, shows nowhere else.
 */
export function watchAccepts(server: Server, { clock, onAcceptSeries }: AcceptWatchParts): void {
  let connections = 0;
  let startedAt = 0;
  let wasAccepted = false;
  const endTurn = (): void => {
    if (wasAccepted) {
      wasAccepted = false;
      setImmediate(endTurn);
      return;
    }
    const series = { connections, duration: clock.now() - startedAt };
    connections = 0;
    if (series.duration >= MIN_DURATION) onAcceptSeries(series);
  };
  server.on(connectionEvent(server), () => {
    wasAccepted = true;
    if (connections === 0) {
      startedAt = clock.now();
      setImmediate(endTurn);
    }
    connections++;
  });
}
