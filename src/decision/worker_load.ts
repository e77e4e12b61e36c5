/**
 * Estimates the present load of a worker from its last report and from this instance's own jobs.
 *
 * Load: bursts, and many entry instances that act on the same report. Reports are about a second
 * old: a worker that was idle then still looks idle after forty dispatches, and one that was busy
 * with lookups still looks busy long after they have ended. If every instance used each report
 * until the next one, all would send to the same idle-looking worker for a second and then all to
 * another. Symptom: load that moves between the workers at the report interval, and late first
 * tokens at half of the fleet's capacity.
 *
 * Mechanism: own jobs are counted exactly, and only the number of other instances' jobs comes from
 * the report. As a report ages, that number moves towards the mean of all workers: after the run
 * time of a job a report has no more information about this worker than about any other. For long
 * scripts it stays valid for a minute, for lookups for half a second.
 *
 * The free slots in a report are divided among the instances: each may use its even share before
 * the next report, or twice that for lookups, which end soon. The remainder goes to some of the
 * instances, chosen by a hash of the report so that they differ each time. Without this, a slot for
 * one script would get a script from every instance, and the slots reserved for lookups would be
 * occupied for as long as scripts run. In any case an instance may use its even share of the limit
 * itself, rounded down: all instances together can't exceed the limit by it, and an old report
 * can't exclude an instance from a worker altogether.
 *
 * @module
 */
import type { LoadReport } from "../interface/index.ts";

/** How a worker's free slots are shared with the other entry instances. */
export interface Sharing {
  /** Number of entry instances that send to the worker. */
  readonly instances: number;
  /** This instance's number for the pseudo-random distribution of the remainder, from 0 to 1. */
  readonly salt: number;
  /** How many times its even share an instance may use. */
  readonly factor: number;
}

/** The estimated load of one worker. */
export interface WorkerLoad {
  /** Returns the estimated number of jobs, from all entry instances. */
  load(): number;
  /** Returns the number of jobs of this instance. */
  ownJobs(): number;
  /** Returns the number of jobs of other instances at the time of the last report. */
  otherJobs(): number;
  /** Returns the time of the last report; undefined before the first. */
  takenAt(): number | undefined;
  /** Sets the estimated present number of other instances' jobs. */
  setOtherJobs(jobs: number): void;
  /** Returns the estimated tokens of KV cache used by running jobs. */
  cacheTokens(): number;
  /** Returns the capacity of the KV cache in tokens; undefined before the first report. */
  cacheCapacity(): number | undefined;
  /** Returns the number of jobs that this instance may add. */
  freeSlots(limit: number, sharing: Sharing): number;
  /** Counts a run of this instance. */
  recordDispatch(run: string, options: { cacheTokens: number; now: number }): void;
  /** Ends a run; returns its milliseconds since dispatch, or undefined for an unknown run. */
  recordEnd(run: string, now: number): number | undefined;
  /** Records a report; a report that is older than the last one changes nothing. */
  recordReport(report: LoadReport): void;
}

interface OwnRun {
  readonly dispatchedAt: number;
  readonly cacheTokens: number;
}

interface EndedRun {
  readonly dispatchedAt: number;
  readonly endedAt: number;
}

/**
 * Ended runs that a late report may still include. With more than this many, no reports are
 * arriving at all.
 */
const MAX_ENDED_RUNS = 1_000;

/** Creates the load estimate of a worker without runs or reports. */
export function createWorkerLoad(): WorkerLoad {
  const runs = new Map<string, OwnRun>();
  let ended: EndedRun[] = [];
  let latest: LoadReport | undefined;
  let ownAtReport = 0;
  let estimatedOtherJobs = 0;
  let ownCacheTokens = 0;

  const reported = (): number => (latest?.running ?? 0) + (latest?.waiting ?? 0);
  const load = (): number => runs.size + estimatedOtherJobs;
  const countOwnAt = (time: number): number => {
    const running = [...runs.values()].filter(({ dispatchedAt }) => dispatchedAt <= time).length;
    return running + ended.filter((run) => run.dispatchedAt <= time && run.endedAt > time).length;
  };
  return {
    load,
    ownJobs: () => runs.size,
    otherJobs: () => Math.max(0, reported() - ownAtReport),
    takenAt: () => latest?.takenAt,
    setOtherJobs: (jobs) => {
      estimatedOtherJobs = Math.max(0, jobs);
    },
    cacheTokens: () => (runs.size === 0 ? 0 : (ownCacheTokens / runs.size) * load()),
    cacheCapacity: () => latest?.cacheCapacity,
    freeSlots: (limit, { instances, salt, factor }) => {
      const free = limit - load();
      if (instances <= 1) return free;
      const share = (Math.max(0, limit - reported()) * factor) / instances;
      const wholeSlots = Math.floor(share);
      const extraSlot = pseudoRandom(salt, latest?.takenAt ?? 0) < share - wholeSlots ? 1 : 0;
      const evenShare = Math.floor(limit / instances) - runs.size;
      return Math.max(evenShare, Math.min(free, ownAtReport + wholeSlots + extraSlot - runs.size));
    },
    recordDispatch: (run, { cacheTokens, now }) => {
      runs.set(run, { dispatchedAt: now, cacheTokens });
      ownCacheTokens += cacheTokens;
    },
    recordEnd: (run, now) => {
      const known = runs.get(run);
      if (known === undefined) return undefined;
      runs.delete(run);
      ownCacheTokens -= known.cacheTokens;
      ended.push({ dispatchedAt: known.dispatchedAt, endedAt: now });
      if (ended.length > MAX_ENDED_RUNS) ended = ended.slice(MAX_ENDED_RUNS / 2);
      return now - known.dispatchedAt;
    },
    recordReport: (report) => {
      if (latest !== undefined && report.takenAt <= latest.takenAt) return;
      latest = report;
      ended = ended.filter((run) => run.endedAt > report.takenAt);
      ownAtReport = countOwnAt(report.takenAt);
    },
  };
}

/** Returns a number from 0 to 1 that differs independently by salt and by report time. */
function pseudoRandom(salt: number, takenAt: number): number {
  const mixed = Math.sin(salt * 12_345.678 + takenAt * 0.618) * 43_758.545;
  return mixed - Math.floor(mixed);
}
