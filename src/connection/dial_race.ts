import { afterRunningTime } from "../interface/index.ts";
import type { Clock, DialFailure } from "../interface/index.ts";
import type { DialListener, PendingDial } from "./dial.ts";

/** Starts an attempt to open a connection. The listener gets no call before it returns. */
export type StartDial = (listener: DialListener) => PendingDial;

/** Two ways to open a connection. */
export interface DialRace {
  readonly clock: Clock;
  readonly first: StartDial;
  readonly second: StartDial;
  /** Milliseconds after which the second attempt starts beside the first; undefined if only after its failure. */
  readonly headStart: number | undefined;
  /** Returns whether the first attempt's failure makes the second one needless. */
  readonly isFinal: (failure: DialFailure) => boolean;
  readonly opened: DialListener["opened"];
  /** Called if both failed, or the first one finally. */
  readonly failed: (first: DialFailure, second: DialFailure | undefined, detail: string) => void;
}

/**
 * Opens a connection in two ways. Only the connection that is opened first is handed over; the other attempt is abandoned,
 * or its connection is closed before anything is sent on it. So no request is sent twice.
 */
export function raceDials(race: DialRace): PendingDial {
  const { clock, headStart } = race;
  const pending = new Set<PendingDial>();
  let firstFailure: DialFailure | undefined;
  let secondFailure: DialFailure | undefined;
  let hasSecond = false;
  let isSettled = false;

  const close = (): void => {
    isSettled = true;
    timer?.close();
    for (const dialing of pending) dialing.close();
    pending.clear();
  };
  const start = (
    dial: StartDial,
    onFailed: (failure: DialFailure, detail: string) => void,
  ): void => {
    const dialing = dial({
      opened: (connection) => {
        pending.delete(dialing);
        close();
        race.opened(connection);
      },
      failed: (failure, detail) => {
        pending.delete(dialing);
        onFailed(failure, detail);
      },
    });
    pending.add(dialing);
  };
  const startSecond = (): void => {
    if (hasSecond || isSettled) return;
    hasSecond = true;
    timer?.close();
    start(race.second, (failure, detail) => {
      secondFailure = failure;
      endIfBothFailed(detail);
    });
  };
  const endIfBothFailed = (detail: string): void => {
    if (firstFailure === undefined || secondFailure === undefined) return;
    close();
    race.failed(firstFailure, secondFailure, detail);
  };
  const timer =
    headStart === undefined ? undefined : afterRunningTime(clock, headStart, startSecond);
  start(race.first, (failure, detail) => {
    firstFailure = failure;
    if (!race.isFinal(failure)) {
      startSecond();
      endIfBothFailed(detail);
      return;
    }
    close();
    race.failed(failure, undefined, detail);
  });
  return {
    close: () => {
      if (!isSettled) close();
    },
  };
}
