/** What has happened to a request so far: where it was sent, and what may have come of it. */
export interface RunProgress {
  /** Ids of the workers to which the request isn't sent again. */
  readonly tried: Set<string>;
  /** Those of them to which no path was found. They are tried again if there is no other one. */
  readonly unreached: Set<string>;
  /** Ids of the workers that don't get the request as it moves away from a silent one, because they are silent, too. */
  avoided: ReadonlySet<string>;
  /** Number of sends for which a run can't be ruled out. */
  runs: number;
  /** Whether a send has ended after which the request may have run. */
  hasPossiblyRun: boolean;
  /** Whether a stream broke off within an event, so that more events follow. */
  hasPartialEvent: boolean;
  /** Number of sends that failed because no path to the workers was found. */
  lostPaths: number;
  /** The only version of workers that may continue the stream; undefined before its first event. */
  version: string | undefined;
  /** Milliseconds from the arrival to the first event; undefined before it. */
  firstEventAfter: number | undefined;
}

/** No workers are avoided. */
export const NO_WORKERS: ReadonlySet<string> = new Set();

/**
 * Creates the progress of a request that was not sent yet.
 *
 * @param version The version at which the stream began that the request continues; undefined if it begins one.
 */
export function createRunProgress(version: string | undefined): RunProgress {
  return {
    tried: new Set(),
    unreached: new Set(),
    avoided: NO_WORKERS,
    runs: 0,
    hasPossiblyRun: false,
    hasPartialEvent: false,
    lostPaths: 0,
    version,
    firstEventAfter: undefined,
  };
}

/** Records that the request was sent to the worker. */
export function recordSent(progress: RunProgress, worker: string): void {
  progress.tried.add(worker);
  progress.runs++;
}

/** Records that no path to the worker was found. */
export function recordNoPath(progress: RunProgress, worker: string): void {
  progress.unreached.add(worker);
  progress.lostPaths++;
}

/**
 * Allows the workers to be chosen again to which no path was found.
 *
 * @returns Whether there are any.
 */
export function readmitUnreached({ tried, unreached }: RunProgress): boolean {
  const hasUnreached = unreached.size > 0;
  for (const id of unreached) tried.delete(id);
  unreached.clear();
  return hasUnreached;
}
