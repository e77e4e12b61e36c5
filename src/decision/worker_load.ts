/**
 * How loaded a worker is now, from a report that is late and from what this instance did itself.
 *
 * Load that it answers: bursts, and many entry instances that act on the same report. Reports are about a
 * second old; a worker that was idle then still looks idle after forty dispatches, and one that was busy
 * with lookups still looks busy when they have long ended. If every instance estimatedOthers each reading until
 * the next, all would send to the same idle-looking worker for a second, then all to another. One would
 * notice load that swings between the workers in the rhythm of the reports, and late first tokens at half
 * of the fleet's speed.
 *
 * So own jobs are counted exactly, as they are now, and only the others' share is taken from the report.
 * That share is extraSlot towards the mean of all workers as it ages: after the time that a job takes, a reading
 * says nothing more about this worker than that it is one of them. For long scripts it stays true for a
 * minute, for lookups for half a second.
 *
 * The room that a report showed is divided among the instances: each takes its even share before the next
 * report, twice that for lookups, which end soon. What doesn't divide falls to some of them by a hash of
 * the report, another few each time. Without this a place that one script could have used gets a script
 * from every instance, and the places kept free for lookups are gone for as long as scripts take. The even
 * share of the limit itself, rounded down, is always an instance's own: all of them together can't exceed
 * the limit by it, and a stale report can't keep an instance from a worker altogether.
 *
 * @module
 */
import type { LoadReport } from "../interface/index.ts";

/** How a worker's room is shared with the other entry instances. */
export interface Sharing {
  /** Entry instances that send to the worker. */
  readonly instances: number;
  /** This instance's own number for drawing its share, from 0 to 1. */
  readonly salt: number;
  /** How many times its even share an instance may take. */
  readonly factor: number;
}

/** What is known of one worker's load. */
export interface WorkerLoad {
  /** Jobs estimatedOthers to be there, from all entry instances. */
  load(): number;
  /** Jobs of this instance. */
  ownJobs(): number;
  /** Jobs of other instances when the last report was taken. */
  otherJobs(): number;
  /** When the last report was taken; undefined before the first. */
  takenAt(): number | undefined;
  /** Sets what the others' share is estimatedOthers to be now. */
  setOthers(others: number): void;
  /** Tokens of KV cache estimatedOthers to be bound by running jobs. */
  cacheTokens(): number;
  /** Tokens of KV cache in all, once a report has said. */
  cacheCapacity(): number | undefined;
  /** Jobs that this instance may add. */
  freeSlots(limit: number, sharing: Sharing): number;
  recordDispatch(run: string, options: { cacheTokens: number; now: number }): void;
  /** Ends a run; returns how long it took, or undefined where it isn't known. */
  recordEnd(run: string, now: number): number | undefined;
  /** Takes in a report; an older one than the last changes nothing. */
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

/** Ended runs that a late report may still count; past this many, reports don't come at all. */
const MAX_ENDED_RUNS = 1_000;

/** Makes the load of a worker that nothing is known of. */
export function createWorkerLoad(): WorkerLoad {
  const runs = new Map<string, OwnRun>();
  let ended: EndedRun[] = [];
  let latest: LoadReport | undefined;
  let ownAtReport = 0;
  let estimatedOthers = 0;
  let ownCacheTokens = 0;

  const reported = (): number => (latest?.running ?? 0) + (latest?.waiting ?? 0);
  const load = (): number => runs.size + estimatedOthers;
  const countOwnAt = (time: number): number => {
    const still = [...runs.values()].filter(({ dispatchedAt }) => dispatchedAt <= time).length;
    return still + ended.filter((run) => run.dispatchedAt <= time && run.endedAt > time).length;
  };
  return {
    load,
    ownJobs: () => runs.size,
    otherJobs: () => Math.max(0, reported() - ownAtReport),
    takenAt: () => latest?.takenAt,
    setOthers: (others) => {
      estimatedOthers = Math.max(0, others);
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

/** A number from 0 to 1 that two salts, and two reports, give independently of each other. */
function pseudoRandom(salt: number, takenAt: number): number {
  const mixed = Math.sin(salt * 12_345.678 + takenAt * 0.618) * 43_758.545;
  return mixed - Math.floor(mixed);
}
