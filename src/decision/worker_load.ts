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
 * The room that a report showed is divided among the instances: each takes its even part before the next
 * report, twice that for lookups, which end soon. What doesn't divide falls to some of them by a hash of
 * the report, another few each time. Without this a place that one script could have used gets a script
 * from every instance, and the places kept free for lookups are gone for as long as scripts take. The even
 * part of the limit itself, rounded down, is always an instance's own: all of them together can't exceed
 * the limit by it, and a stale report can't keep an instance from a worker altogether.
 *
 * @module
 */
import type { LoadReport } from "../interface/index.ts";

/** How a worker's room is shared with the other entry instances. */
export interface Sharing {
  /** Entry instances that send to the worker. */
  readonly instances: number;
  /** This instance's own number for drawing its part, from 0 to 1. */
  readonly salt: number;
  /** How many times its even part an instance may take. */
  readonly factor: number;
}

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
  /** Jobs that this instance may add. */
  room(limit: number, sharing: Sharing): number;
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
    room: (limit, { instances, salt, factor }) => {
      const free = limit - load();
      if (instances <= 1) return free;
      const part = (Math.max(0, limit - reported()) * factor) / instances;
      const whole = Math.floor(part);
      const drawn = draw(salt, latest?.takenAt ?? 0) < part - whole ? 1 : 0;
      const evenPart = Math.floor(limit / instances) - runs.size;
      return Math.max(evenPart, Math.min(free, ownAtReport + whole + drawn - runs.size));
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

/** A number from 0 to 1 that two salts, and two reports, give independently of each other. */
function draw(salt: number, takenAt: number): number {
  const mixed = Math.sin(salt * 12_345.678 + takenAt * 0.618) * 43_758.545;
  return mixed - Math.floor(mixed);
}
