/**
 * How loaded a worker is now, from a report that is late and from what this instance did itself.
 *
 * Load that it answers: bursts, and many entry instances that act on the same report. Reports are about a
 * second old; a worker that was idle then still looks idle after forty dispatches, and one that was busy
 * with lookups still looks busy when they have long ended. If every instance believed each reading until
 * the next, all would send to the same idle-looking worker for a second, then all to another. One would
 * notice load that swings between the workers in the rhythm of the reports, and late first tokens at half
 * of the fleet's speed.
 *
 * So own jobs are counted exactly, as they are now, and only the others' part is taken from the report.
 * That part is drawn towards the mean of all workers as it ages: after the time that a job takes, a reading
 * says nothing more about this worker than that it is one of them. For long scripts it stays true for a
 * minute, for lookups for half a second.
 *
 * Each instance adds at most twice its part of the room that the report showed, so that a burst which all
 * of them see at once overfills a worker by no more than its room; and it may always use its even part of
 * the limit, so that a stale report can't keep an instance from a worker altogether.
 *
 * @module
 */
import type { LoadReport } from "../interface/index.ts";

/** What is known of one worker's load. */
export interface WorkerLoad {
  /** Jobs believed to be there, from all entry instances. */
  load(): number;
  /** Jobs of this instance. */
  own(): number;
  /** Jobs of other instances when the last report was taken. */
  others(): number;
  /** When the last report was taken; undefined before the first. */
  takenAt(): number | undefined;
  /** Sets what the others' part is believed to be now. */
  believe(others: number): void;
  /** Tokens of KV cache believed to be bound by running jobs. */
  cacheTokens(): number;
  /** Tokens of KV cache in all, once a report has said. */
  cacheCapacity(): number | undefined;
  /** Jobs that this instance may add, given the worker's limit and the number of entry instances. */
  room(limit: number, instances: number): number;
  dispatched(run: string, options: { cacheTokens: number; now: number }): void;
  /** Ends a run; returns how long it took, or undefined where it isn't known. */
  ended(run: string, now: number): number | undefined;
  /** Takes in a report; an older one than the last changes nothing. */
  report(report: LoadReport): void;
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
const REMEMBERED_ENDS = 1_000;
const CLAIM_FACTOR = 2;

/** Makes the load of a worker that nothing is known of. */
export function createWorkerLoad(): WorkerLoad {
  const runs = new Map<string, OwnRun>();
  let ended: EndedRun[] = [];
  let latest: LoadReport | undefined;
  let ownAtReport = 0;
  let believed = 0;
  let ownCache = 0;

  const reported = (): number => (latest?.running ?? 0) + (latest?.waiting ?? 0);
  const load = (): number => runs.size + believed;
  const countOwnAt = (time: number): number => {
    const still = [...runs.values()].filter(({ dispatchedAt }) => dispatchedAt <= time).length;
    return still + ended.filter((run) => run.dispatchedAt <= time && run.endedAt > time).length;
  };
  return {
    load,
    own: () => runs.size,
    others: () => Math.max(0, reported() - ownAtReport),
    takenAt: () => latest?.takenAt,
    believe: (others) => {
      believed = Math.max(0, others);
    },
    cacheTokens: () => (runs.size === 0 ? 0 : (ownCache / runs.size) * load()),
    cacheCapacity: () => latest?.cacheCapacity,
    room: (limit, instances) => {
      const free = limit - load();
      if (latest === undefined || instances <= 1) return free;
      const shown = Math.max(0, limit - reported());
      const claim = ownAtReport + Math.ceil((CLAIM_FACTOR * shown) / instances) - runs.size;
      const evenPart = Math.ceil(limit / instances) - runs.size;
      return Math.max(evenPart, Math.min(free, claim));
    },
    dispatched: (run, { cacheTokens, now }) => {
      runs.set(run, { dispatchedAt: now, cacheTokens });
      ownCache += cacheTokens;
    },
    ended: (run, now) => {
      const known = runs.get(run);
      if (known === undefined) return undefined;
      runs.delete(run);
      ownCache -= known.cacheTokens;
      ended.push({ dispatchedAt: known.dispatchedAt, endedAt: now });
      if (ended.length > REMEMBERED_ENDS) ended = ended.slice(REMEMBERED_ENDS / 2);
      return now - known.dispatchedAt;
    },
    report: (report) => {
      if (latest !== undefined && report.takenAt <= latest.takenAt) return;
      latest = report;
      ended = ended.filter((run) => run.endedAt > report.takenAt);
      ownAtReport = countOwnAt(report.takenAt);
    },
  };
}
