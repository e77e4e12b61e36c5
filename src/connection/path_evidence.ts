import { createWorkerReachability, PathFault } from "../decision/index.ts";
import type { WorkerReachability } from "../decision/index.ts";
import type { Clock, WorkerEndpoint } from "../interface/index.ts";

/** A change of the state of the paths. */
export interface PathChange {
  /** Whether the direct path to some workers is lost. */
  readonly isCutOff: boolean;
  /** Ids of the workers that were found so far. */
  readonly workers: readonly string[];
  /** Why the last attempt failed; undefined if all paths are back. */
  readonly cause: PathFault | undefined;
}

/** Records what is found out about the paths to the workers, and reports changes. */
export interface PathEvidence {
  readonly reachability: WorkerReachability;
  /** Records that a direct connection failed. */
  readonly recordFailed: (worker: WorkerEndpoint, fault: PathFault) => void;
  /** Records that a direct connection was accepted and broke before it delivered any data. */
  readonly recordBroken: (worker: WorkerEndpoint) => void;
  /** Records that a new direct connection works. */
  readonly recordWorking: (worker: WorkerEndpoint) => void;
  /** Records that another instance reaches the worker. */
  readonly recordDetour: (worker: WorkerEndpoint) => void;
  /** Reports a change, also one that time has brought. Returns whether some paths are lost. */
  readonly update: () => boolean;
}

/** Dependencies of {@linkcode createPathEvidence}. */
export interface PathEvidenceParts {
  readonly clock: Clock;
  /** Called when the first path is lost, and when the last one is back. */
  readonly onChange: (change: PathChange) => void;
  /** Called when attempts are needed to find out whether direct paths work. */
  readonly onDoubt: () => void;
}

/** Creates the evidence of an instance that has not opened any connection. */
export function createPathEvidence({ clock, onChange, onDoubt }: PathEvidenceParts): PathEvidence {
  const reachability = createWorkerReachability();
  let isReportedLost = false;
  let lastFault = PathFault.Unanswered;

  const update = (): boolean => {
    const isCutOff = reachability.lostCount > 0 || reachability.isCutOff(clock.now());
    if (isReportedLost !== isCutOff) {
      isReportedLost = isCutOff;
      const cause = isCutOff ? lastFault : undefined;
      onChange({ isCutOff, workers: reachability.lostWorkers(), cause });
    }
    return isCutOff;
  };
  const recordFailed: PathEvidence["recordFailed"] = ({ id }, fault) => {
    lastFault = fault;
    reachability.recordFailed(id, fault, clock.now());
    if (reachability.isCutOff(clock.now())) onDoubt();
  };
  return {
    reachability,
    recordFailed,
    recordBroken: (worker) => recordFailed(worker, PathFault.Broken),
    recordWorking: ({ id }) => {
      reachability.recordWorking(id, clock.now());
      if (isReportedLost) update();
    },
    recordDetour: (worker) => {
      reachability.recordDetour(worker, clock.now());
      if (reachability.lostCount > 0) onDoubt();
      update();
    },
    update,
  };
}
