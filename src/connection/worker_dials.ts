import { dialVerdict, PathFault } from "../decision/index.ts";
import { DialFailure } from "../interface/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";
import { CONNECT_TIMEOUT, dialDirect, SLOW_CONNECT_TIME } from "./dial.ts";
import type { Connect, DialListener, PendingDial } from "./dial.ts";
import { raceDials } from "./dial_race.ts";
import type { PathEvidence } from "./path_evidence.ts";
import type { RelayChoice } from "./relay_choice.ts";
import { dialRelayed } from "./relay_dial.ts";

/** Starts to open a connection to a worker. */
export type DialWorker = (worker: WorkerEndpoint, listener: DialListener) => PendingDial;

/** The ways to open connections to workers. Each records what it finds out. */
export interface WorkerDials {
  /** Opens a direct connection or one through another instance, whichever is better. */
  readonly dial: DialWorker;
  /** Opens a direct connection with a short timeout, to find out whether the path works. */
  readonly dialToCheck: DialWorker;
  readonly dialThroughRelay: DialWorker;
  /** Number of connections that were started to open. */
  readonly count: number;
}

/** Dependencies of {@linkcode createWorkerDials}. */
export interface WorkerDialsParts {
  readonly clock: Clock;
  readonly connect: Connect;
  readonly evidence: PathEvidence;
  readonly relayChoice: RelayChoice;
}

/** Milliseconds after which a lost path is tried beside the attempt through other instances, which may be paused. */
const DETOUR_HEAD_START = 200;
const FAULT_OF_FAILURE: Readonly<Record<DialFailure, PathFault>> = {
  [DialFailure.Refused]: PathFault.Refused,
  [DialFailure.Unanswered]: PathFault.Unanswered,
  [DialFailure.NoPath]: PathFault.Unanswered,
};

/** Creates the ways. */
export function createWorkerDials(parts: WorkerDialsParts): WorkerDials {
  const { clock, connect, evidence, relayChoice } = parts;
  const { reachability } = evidence;
  let count = 0;

  const directListener = (worker: WorkerEndpoint, listener: DialListener): DialListener => ({
    opened: (connection) => listener.opened(connection),
    failed: (failure, detail) => {
      evidence.recordFailed(worker, FAULT_OF_FAILURE[failure]);
      listener.failed(failure, detail);
    },
  });
  const dialPatiently: DialWorker = (worker, listener) => {
    count++;
    const onSlow = (): void => evidence.recordFailed(worker, PathFault.Unanswered);
    const options = { clock, connect, timeout: CONNECT_TIMEOUT, onSlow };
    return dialDirect(worker.address, options, directListener(worker, listener));
  };
  const dialToCheck: DialWorker = (worker, listener) => {
    count++;
    const options = { clock, connect, timeout: SLOW_CONNECT_TIME };
    return dialDirect(worker.address, options, directListener(worker, listener));
  };
  const recordRelayed = (worker: WorkerEndpoint, relay: string): void => {
    relayChoice.recordOpened(relay, worker.address);
    // A worker that resets all its connections accepts those of other instances, too. Data from it shows that it works.
    if (reachability.faultOf(worker.id, clock.now()) !== PathFault.Broken)
      evidence.recordDetour(worker);
  };
  const dialThroughRelay: DialWorker = (worker, listener) => {
    count++;
    const options = {
      clock,
      relays: relayChoice.choose(worker.address),
      onRelayFailed: relayChoice.recordFailed,
      onRelaySilent: relayChoice.recordSilent,
      onRelayOpened: (relay: string) => recordRelayed(worker, relay),
    };
    return dialRelayed(worker.address, options, listener);
  };
  const verdictOn = (
    { id }: WorkerEndpoint,
    { direct, relayed }: { direct: DialFailure; relayed: DialFailure | undefined },
  ): DialFailure => {
    const now = clock.now();
    if (relayed === DialFailure.Refused) reachability.recordEnded(id, now);
    const isPathInDoubt =
      !reachability.hasEnded(id, now) && (reachability.lostCount > 0 || reachability.isCutOff(now));
    return dialVerdict({ direct, relayed, isPathInDoubt });
  };
  /** Tries the direct path first, and another instance if the path is slow or fails. */
  const dialDirectFirst: DialWorker = (worker, listener) =>
    raceDials({
      clock,
      first: (one) => dialPatiently(worker, one),
      second: (one) => dialThroughRelay(worker, one),
      headStart: SLOW_CONNECT_TIME,
      isFinal: (failure) =>
        failure === DialFailure.Refused && reachability.hasEnded(worker.id, clock.now()),
      opened: (connection) => listener.opened(connection),
      failed: (direct, relayed, detail) =>
        listener.failed(verdictOn(worker, { direct, relayed }), detail),
    });
  /** Tries another instance first. A direct connection that is accepted and then reset would lose the request. */
  const dialDetourFirst: DialWorker = (worker, listener) => {
    const isBroken = reachability.faultOf(worker.id, clock.now()) === PathFault.Broken;
    return raceDials({
      clock,
      first: (one) => dialThroughRelay(worker, one),
      second: (one) => dialToCheck(worker, one),
      headStart: isBroken ? undefined : DETOUR_HEAD_START,
      isFinal: () => false,
      opened: (connection) => listener.opened(connection),
      failed: (relayed, direct, detail) =>
        listener.failed(verdictOn(worker, { direct: direct ?? relayed, relayed }), detail),
    });
  };
  return {
    dial: (worker, listener) => {
      if (!relayChoice.hasAny()) return dialPatiently(worker, listener);
      const isDetour = reachability.prefersDetour(worker.id, clock.now());
      return (isDetour ? dialDetourFirst : dialDirectFirst)(worker, listener);
    },
    dialToCheck,
    dialThroughRelay,
    get count() {
      return count;
    },
  };
}
