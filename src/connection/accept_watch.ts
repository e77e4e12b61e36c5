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

/** Watches the connections that all listeners of a process accept. */
export interface AcceptWatch {
  /** Whether connections wait that may have waited for long. */
  readonly isBehind: boolean;
  /** Watches a server. */
  apply(server: Server): void;
}

/** Dependencies of {@linkcode createAcceptWatch}. */
export interface AcceptWatchParts {
  readonly clock: Pick<Clock, "now">;
  /** Whether what is read now may have lain unread, because the process was stalled; by default it never has. */
  readonly isLate?: (() => boolean) | undefined;
  /** Called at the end of a series that was long enough to be noticed by callers. By default nothing is done. */
  readonly onAcceptSeries?: ((series: AcceptSeries) => void) | undefined;
}

/** Duration of the shortest series that is reported, in milliseconds. */
const MIN_DURATION = 250;
/** Successive turns in which connections were accepted, from which on more are expected to wait. */
const MIN_TURNS = 2;
/** Milliseconds of a series that began in time, from which on connections have waited for long. */
const LONG_SERIES = 50;

/**
 * Creates a watch without servers.
 *
 * Node.js accepts one connection of a listener in each turn of the event loop, however many wait. The time that a
 * connection waits, possibly with a request and the end of its caller, shows nowhere else.
 */
export function createAcceptWatch({
  clock,
  isLate = () => false,
  onAcceptSeries,
}: AcceptWatchParts): AcceptWatch {
  let connections = 0;
  let turns = 0;
  let startedAt = 0;
  let beganLate = false;
  let wasAccepted = false;
  const endTurn = (): void => {
    if (wasAccepted) {
      wasAccepted = false;
      turns++;
      setImmediate(endTurn);
      return;
    }
    const series = { connections, duration: clock.now() - startedAt };
    connections = 0;
    turns = 0;
    if (series.duration >= MIN_DURATION) onAcceptSeries?.(series);
  };
  const recordAccepted = (): void => {
    wasAccepted = true;
    if (connections === 0) {
      startedAt = clock.now();
      beganLate = isLate();
      setImmediate(endTurn);
    }
    connections++;
  };
  return {
    get isBehind() {
      if (turns + (wasAccepted ? 1 : 0) < MIN_TURNS) return false;
      return beganLate || clock.now() - startedAt >= LONG_SERIES;
    },
    apply: (server) => void server.on(connectionEvent(server), recordAccepted),
  };
}
