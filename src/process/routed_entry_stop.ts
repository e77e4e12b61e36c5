/**
 * The planned stop of an instance: it accepts requests for a while, finishes those in progress and gives the others
 * their final answers.
 *
 * @module
 */
import { sleep } from "../interface/index.ts";
import type { Clock } from "../interface/index.ts";
import type { StopTimes } from "../request/index.ts";
import type { RoutedLog } from "./routed_log.ts";

/** A planned stop, which may not have begun. */
export interface PlannedStop {
  /** Whether the stop has begun. */
  readonly hasBegun: boolean;
  /** Whether new requests are refused. */
  readonly isClosedToNew: boolean;
  /** Undefined before the stop has begun. */
  readonly times: StopTimes | undefined;
  /**
   * Stops the instance. Resolves when its connections can be closed. A repeated call returns the same promise.
   *
   * @param askedAt When the platform asked for it, in the clock's milliseconds. The grace period counts from it.
   */
  run(askedAt: number): Promise<void>;
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
/**
 * Time for which a stopping instance accepts requests that may last until it ends all answers, in milliseconds. The
 * platform excuses a cut answer only if its request was sent within 3 s of the signal, which may be handled late.
 */
const ACCEPT_LONG_TIME = 2_700;
/** Part of the grace period reserved for closing connections and writing the last log lines, in milliseconds. */
const MARGIN = 600;
/**
 * Time at the end of a stop in which final answers are written and requests that have arrived are read and refused, in
 * milliseconds.
 */
const LAST_READ_TIME = 50;
/** Interval of the check whether everything in progress has ended, in milliseconds. */
const POLL_INTERVAL = 50;
/**
 * Time beyond the end of answers in which a process that was stalled still reads what has arrived, in milliseconds. With
 * it, 400 ms of the margin are left.
 */
const STALL_READ_TIME = 200;

/** Creates the stop of an instance, which begins with `run`. */
export function createPlannedStop(parts: PlannedStopParts): PlannedStop {
  const { clock, log, grace, requestsInProgress, relayedConnections } = parts;
  let beganAt: number | undefined;
  let isDrained = false;
  let stopped: Promise<void> | undefined;
  const isClosedToNew = (): boolean =>
    isDrained || (beganAt !== undefined && clock.now() - beganAt > ACCEPT_TIME);
  const stop = async (askedAt: number): Promise<void> => {
    beganAt = askedAt;
    log.changed("stopping", { inProgress: requestsInProgress() });
    parts.onBegin();
    const deadline = beganAt + grace - MARGIN;
    const readUntil = deadline + STALL_READ_TIME;
    while (clock.now() < deadline) {
      await waitAndRead(clock, { duration: POLL_INTERVAL, until: readUntil });
      if (isClosedToNew() && requestsInProgress() === 0 && relayedConnections() === 0) break;
    }
    log.changed("stopped", { inProgress: requestsInProgress() });
    isDrained = true;
    parts.endRequests();
    await waitAndRead(clock, { duration: LAST_READ_TIME, until: readUntil });
  };
  return {
    get hasBegun() {
      return beganAt !== undefined;
    },
    get isClosedToNew() {
      return isClosedToNew();
    },
    get times() {
      if (beganAt === undefined) return undefined;
      return {
        answersEndAt: beganAt + grace - MARGIN,
        acceptsLongUntil: beganAt + ACCEPT_LONG_TIME,
      };
    },
    run: (askedAt) => (stopped ??= stop(askedAt)),
  };
}

/**
 * Waits, and again as long as the process was stalled meanwhile, but not beyond `until`.
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
