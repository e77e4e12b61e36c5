/**
 * The planned stop of an instance: it accepts requests for a while, finishes those in progress and gives the others
 * their final answers.
 *
 * @module
 */
import { sleep } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";
import type { RoutedLog } from "./routed_log.ts";

/** A planned stop, which may not have begun. */
export interface PlannedStop {
  /** Whether the stop has begun. */
  readonly hasBegun: boolean;
  /** Whether new requests are refused. */
  readonly isClosedToNew: boolean;
  /** When all answers in progress are ended, in milliseconds of the clock; undefined before the stop has begun. */
  readonly answersEndAt: number | undefined;
  /** Stops the instance. Resolves when its connections can be closed. A repeated call returns the same promise. */
  run(): Promise<void>;
}

/** What a stop needs of its instance. */
export interface PlannedStopParts {
  readonly clock: Clock;
  readonly log: Pick<RoutedLog, "changed">;
  /** Time after which the platform kills the process, in milliseconds. */
  readonly grace: number;
  /** Number of requests in progress. */
  readonly requestsInProgress: () => number;
  /** Number of connections that are relayed for other instances. */
  readonly relayedConnections: () => number;
  /** Called once, when the stop begins. */
  readonly onBegin: () => void;
  /** Gives all requests in progress their final answers. */
  readonly endRequests: () => void;
}

/**
 * Time for which a stopping instance still accepts requests, in milliseconds: callers keep old addresses for up to
 * three times their time to live.
 */
const ACCEPT_TIME = 3_200;
/** Part of the grace period reserved for closing connections and writing the last log lines, in milliseconds. */
const MARGIN = 600;
/**
 * Time at the end of a stop in which final answers are written and requests that have arrived are read and refused, in
 * milliseconds.
 */
const LAST_READ_TIME = 50;
/** Interval of the check whether everything in progress has ended, in milliseconds. */
const POLL_INTERVAL = 50;
/** Part of the grace period that is left for closing connections whatever is still in progress, in milliseconds. */
const CLOSE_MARGIN = 200;

/** Creates the stop of an instance, which begins with `run`. */
export function createPlannedStop(parts: PlannedStopParts): PlannedStop {
  const { clock, log, grace, requestsInProgress, relayedConnections } = parts;
  let beganAt: number | undefined;
  let isDrained = false;
  let stopped: Promise<void> | undefined;
  const isClosedToNew = (): boolean =>
    isDrained || (beganAt !== undefined && clock.now() - beganAt > ACCEPT_TIME);
  const stop = async (): Promise<void> => {
    beganAt = clock.now();
    log.changed("stopping", { inProgress: requestsInProgress() });
    parts.onBegin();
    const deadline = beganAt + grace - MARGIN;
    const closeAt = beganAt + grace - CLOSE_MARGIN;
    while (clock.now() < deadline) {
      await waitAndRead(clock, { duration: POLL_INTERVAL, until: closeAt });
      if (isClosedToNew() && requestsInProgress() === 0 && relayedConnections() === 0) break;
    }
    log.changed("stopped", { inProgress: requestsInProgress() });
    isDrained = true;
    parts.endRequests();
    do await waitAndRead(clock, { duration: LAST_READ_TIME, until: closeAt });
    while (requestsInProgress() > 0 && clock.now() < closeAt);
  };
  return {
    get hasBegun() {
      return beganAt !== undefined;
    },
    get isClosedToNew() {
      return isClosedToNew();
    },
    get answersEndAt() {
      return beganAt === undefined ? undefined : beganAt + grace - MARGIN;
    },
    run: () => (stopped ??= stop()),
  };
}

/**
 * Waits, and once more after a stall of the process, but not beyond `until`.
 *
 * After a stall, expired timers run before sockets are read. Requests that wait there would not count as in progress, and
 * their connections would be reset without an answer.
 */
async function waitAndRead(
  clock: Clock,
  { duration, until }: { readonly duration: number; readonly until: number },
): Promise<void> {
  let isStalled = true;
  while (isStalled) {
    const from = clock.now();
    await sleep(clock, duration);
    isStalled = clock.now() - from >= 2 * duration && clock.now() < until;
  }
}
