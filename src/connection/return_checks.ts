import type { Clock, Timer, WorkerEndpoint } from "../interface/index.ts";
import { staysOpen } from "./path_check.ts";
import type { DialWorker } from "./worker_dials.ts";

/** Attempts to find direct paths to workers again that were lost. */
export interface ReturnChecks {
  /** Makes attempts until none is needed any more. Has no effect if attempts are being made already. */
  start(): void;
  /** Ends the attempts. */
  close(): void;
}

/** Dependencies of {@linkcode createReturnChecks}. */
export interface ReturnChecksParts {
  readonly clock: Clock;
  /** Starts to open a direct connection. It records a failure itself. */
  readonly dial: DialWorker;
  /** Returns the workers to try now, or undefined if no further attempt is needed. */
  readonly next: () => readonly WorkerEndpoint[] | undefined;
  /** Called if a connection was accepted and then reset. */
  readonly onReset: (worker: WorkerEndpoint) => void;
  /** Called if a connection has stayed open. */
  readonly onWorking: (worker: WorkerEndpoint) => void;
}

/** Milliseconds between two rounds of attempts. */
export const RETURN_CHECK_INTERVAL = 250;

/** Creates the attempts; none is made before `start` is called. */
export function createReturnChecks(parts: ReturnChecksParts): ReturnChecks {
  const { clock, dial, next, onReset, onWorking } = parts;
  let timer: Timer | undefined;
  let isClosed = false;
  const check = async (worker: WorkerEndpoint): Promise<void> => {
    if ((await staysOpen(clock, { dial, worker, onReset })) && !isClosed) onWorking(worker);
  };
  const round = (): void => {
    timer = undefined;
    const workers = next();
    if (workers === undefined) return;
    for (const worker of workers) void check(worker);
    timer = clock.after(RETURN_CHECK_INTERVAL, round);
  };
  return {
    start: () => {
      if (isClosed) return;
      timer ??= clock.after(RETURN_CHECK_INTERVAL, round);
    },
    close: () => {
      isClosed = true;
      timer?.close();
    },
  };
}
