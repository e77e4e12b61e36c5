import { PathFault } from "../decision/index.ts";
import type { WorkerReachability } from "../decision/index.ts";
import { DialFailure } from "../interface/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";
import { dialDirect } from "./dial.ts";
import type { Connect, DialListener, PendingDial } from "./dial.ts";

/** Timeout in milliseconds. The other instance takes this one for silent only after a longer time. */
const PEER_DIAL_TIMEOUT = 250;
const NO_PATH_DETAIL = "This instance doesn't reach the worker, either.";

/** Dependencies and options of {@linkcode dialForPeer}. */
export interface PeerDialOptions {
  readonly clock: Clock;
  readonly worker: WorkerEndpoint;
  readonly reachability: Pick<WorkerReachability, "faultOf" | "isCutOff" | "isLost" | "canWitness">;
  readonly connect: Connect;
}

/**
 * Opens a direct connection for another instance. Fails with `NoPath` if this instance doesn't reach the worker itself,
 * because the other one takes every other failure for a fact about the worker.
 */
export function dialForPeer(options: PeerDialOptions, listener: DialListener): PendingDial {
  const { clock, connect, worker, reachability } = options;
  const now = clock.now();
  const faultBefore = reachability.faultOf(worker.id, now);
  const isKnownLost = reachability.isLost(worker.id, now) || reachability.isCutOff(now);
  if (isKnownLost && faultBefore === PathFault.Unanswered) {
    // The other instance would wait for the timeout.
    return clock.after(0, () => listener.failed(DialFailure.NoPath, NO_PATH_DETAIL));
  }
  const dialOptions = { clock, connect, timeout: PEER_DIAL_TIMEOUT };
  return dialDirect(worker.address, dialOptions, {
    opened: (connection) => {
      // A connection that is accepted and then reset would lose the other instance's request.
      if (faultBefore !== PathFault.Broken) {
        listener.opened(connection);
        return;
      }
      connection.socket.on("error", () => undefined);
      connection.socket.destroy();
      listener.failed(DialFailure.NoPath, NO_PATH_DETAIL);
    },
    failed: (failure, detail) => {
      const isOwnFault =
        failure === DialFailure.Refused
          ? !reachability.canWitness(clock.now())
          : faultBefore !== undefined;
      listener.failed(isOwnFault ? DialFailure.NoPath : failure, detail);
    },
  });
}
