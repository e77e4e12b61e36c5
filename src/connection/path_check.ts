import { afterRunningTime } from "../interface/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";
import { wasReset } from "./dial.ts";
import type { DialListener } from "./dial.ts";
import type { DialWorker } from "./worker_dials.ts";

/** Milliseconds for which a connection must stay open to show that the path works. Some are accepted and then reset. */
const STAYS_OPEN_TIME = 50;

/** A connection that is opened to find out whether a path works. */
export interface TestedPath {
  readonly dial: DialWorker;
  readonly worker: WorkerEndpoint;
  /** Called if the connection was accepted and then reset. */
  readonly onReset?: (worker: WorkerEndpoint) => void;
}

/**
 * Opens a connection to a worker and closes it again.
 *
 * @returns Whether it stayed open.
 */
export function staysOpen(clock: Clock, { dial, worker, onReset }: TestedPath): Promise<boolean> {
  return new Promise((resolve) => {
    const opened: DialListener["opened"] = ({ socket }) => {
      socket.on("error", () => undefined);
      afterRunningTime(clock, STAYS_OPEN_TIME, () => {
        const isReset = wasReset(socket);
        socket.destroy();
        if (isReset) onReset?.(worker);
        resolve(!isReset);
      });
    };
    dial(worker, { opened, failed: () => resolve(false) });
  });
}

/** Dependencies of {@linkcode createPathChecks}. */
export interface PathChecksParts {
  readonly clock: Clock;
  /** Starts to open a direct connection. It records a failure itself. */
  readonly dialDirectly: DialWorker;
  readonly dialThroughRelay: DialWorker;
  /** Whether the direct path to the worker is known to be lost. */
  readonly isLost: (worker: WorkerEndpoint) => boolean;
  /** Called if a direct connection was accepted and then reset. */
  readonly onReset: (worker: WorkerEndpoint) => void;
  /** Called if a direct connection has stayed open. */
  readonly onWorking: (worker: WorkerEndpoint) => void;
  /** Called if the direct path is lost, although another instance reaches the worker. */
  readonly onLost: (worker: WorkerEndpoint) => void;
}

/** Finds out whether a worker that didn't answer, or only the direct path to it, is at fault. */
export type HasLostPath = (worker: WorkerEndpoint) => Promise<boolean>;

/** Creates the checks. A worker has one at a time, however many requests it fails. */
export function createPathChecks(parts: PathChecksParts): HasLostPath {
  const { clock, dialDirectly, dialThroughRelay, isLost, onReset, onWorking, onLost } = parts;
  const pending = new Map<string, Promise<boolean>>();
  const check = async (worker: WorkerEndpoint): Promise<boolean> => {
    if (isLost(worker)) return true;
    if (await staysOpen(clock, { dial: dialDirectly, worker, onReset })) {
      onWorking(worker);
      return false;
    }
    if (!(await staysOpen(clock, { dial: dialThroughRelay, worker }))) return false;
    onLost(worker);
    return true;
  };
  return (worker) => {
    const { id } = worker;
    const found = pending.get(id) ?? check(worker).finally(() => pending.delete(id));
    pending.set(id, found);
    return found;
  };
}
