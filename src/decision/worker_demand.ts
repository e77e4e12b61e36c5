/**
 * How many workers a service's load keeps busy.
 *
 * Load that it answers: demand that rises within seconds, and requests that pile up because workers were taken.
 * The requests that run tell both, by Little's law without knowing any engine's speed: their number is what
 * arrives times how long it takes. But where workers are overloaded each run takes longer, and the number would
 * ask for several times what is needed; so beyond what a worker runs well, only a part of a run counts.
 *
 * Few long prompts keep workers busy in another way: they are read one after the other before any first token, and a
 * handful of them runs. So the workers that read at a moment are counted as well. What they need is what has to be left
 * when zones are taken; it doesn't enter the usual number, which the price of idle workers would exceed.
 *
 * Where workers are lost, requests pile up at the others, and all of them read without a pause. What was needed just
 * before the loss is what is needed after it; a pile alone counts for little, and more only as it lasts.
 *
 * A rise counts at once, since a worker takes seconds to come and a late first token is paid for at once. A fall
 * counts slowly, with a half-life of 10 s: a worker that is given back and needed again is paid for twice, and
 * when it is needed the market may be dry. The first load is always small, so what was there before it is a fall's
 * beginning as well.
 *
 * @module
 */
import { sum } from "./sum.ts";

/** Follows one service's load. */
export interface WorkerDemand {
  /**
   * Takes in what each worker has.
   *
   * @param first Workers that are reckoned to be busy when the first load comes.
   */
  observe(loads: readonly ObservedLoad[], options: { now: number; first: number }): DemandLevel;
}

/** What a worker has, over all instances. */
export interface ObservedLoad {
  readonly running: number;
  /** Milliseconds until the prompts are read of which no first token has come yet. */
  readonly readingTime: number;
}

/** Workers that a load keeps busy. */
export interface DemandLevel {
  readonly now: number;
  /** The same with falls counted slowly. */
  readonly lately: number;
  /** Workers with which prompts are just read in time, with falls counted slowly; what runs beside may be slower. */
  readonly reading: number;
  /** Whether there was any load yet. */
  readonly hasBegun: boolean;
}

/** Runs at which an engine still makes first tokens in a fraction of the usual targets. */
const RUNS_A_WORKER = 10;
/** Runs of one worker that count in full; those beyond wait for each other. */
const COUNTED_RUNS = 16;
const BEYOND_PART = 0.2;
const HALF_LIFE = 10_000;
/**
 * The part of its time that a worker may read prompts: beyond about it first tokens wait for one other prompt or more
 * before their own.
 */
const READING_PART = 0.6;
/** How long a look at who reads counts, in milliseconds: some ten prompts a worker. */
const READING_TIME = 5_000;
/** What a first token takes beside reading, in milliseconds: prompts count as unread for that time too. */
const BESIDE_READING = 35;
/**
 * While workers are too few, what was needed before grows by this factor at once and doubles in this time, in
 * milliseconds: what goes beyond is a pile, that is gone by the time that a worker ordered for it comes.
 */
const STRAINED_RISE = 1.25;
const STRAINED_DOUBLING = 15_000;
/** Workers count as too few where this part of them reads prompts at once. */
const STRAINED_READERS = 0.6;

/** Workers at a moment. */
interface Level {
  readonly level: number;
  readonly at: number;
}

/** Makes a demand that has seen nothing. */
export function createWorkerDemand(): WorkerDemand {
  let lately: Level | undefined;
  let latelyRead: Level | undefined;
  /** What was needed when the workers last did well. */
  let calm: Level | undefined;
  /** Workers that read, on average over the last seconds. */
  let meanReaders: Level | undefined;
  const observeReaders = (loads: readonly ObservedLoad[], now: number): number => {
    const reading = sum(loads.map(partRead));
    const { level, at } = meanReaders ?? { level: reading, at: now };
    const kept = Math.exp(-(now - at) / READING_TIME);
    meanReaders = { level: reading + (level - reading) * kept, at: now };
    return meanReaders.level;
  };
  return {
    observe: (loads, { now, first }) => {
      const runs = sum(loads.map(({ running }) => counted(running)));
      const readers = observeReaders(loads, now);
      const isStrained =
        runs > loads.length * COUNTED_RUNS || readers > loads.length * STRAINED_READERS;
      const greatest = isStrained ? risen(calm, now) : Infinity;
      const reading = Math.min(readers / READING_PART, greatest);
      const workers = Math.min(runs / RUNS_A_WORKER, greatest);
      if (!isStrained) calm = { level: Math.max(1, workers), at: now };
      if (lately === undefined && workers === 0) {
        return { now: 0, lately: first, reading: 0, hasBegun: false };
      }
      lately = fallen(lately ?? { level: first, at: now }, { level: workers, at: now });
      latelyRead = fallen(latelyRead ?? { level: 0, at: now }, { level: reading, at: now });
      return {
        now: Math.ceil(workers),
        lately: Math.ceil(lately.level),
        reading: Math.ceil(latelyRead.level),
        hasBegun: true,
      };
    },
  };
}

/** The part of the time in which so much is to be read that goes into reading. */
function partRead({ readingTime }: ObservedLoad): number {
  return readingTime / (readingTime + BESIDE_READING);
}

/** A level that rises at once and falls slowly. */
function fallen(before: Level, { level, at }: Level): Level {
  const kept = 2 ** (-(at - before.at) / HALF_LIFE);
  return { level: Math.max(level, level + (before.level - level) * kept), at };
}

/** What can be needed by now where so much was needed when the workers last did well. */
function risen(calm: Level | undefined, now: number): number {
  if (calm === undefined) return Infinity;
  return calm.level * STRAINED_RISE * 2 ** ((now - calm.at) / STRAINED_DOUBLING);
}

function counted(runs: number): number {
  return Math.min(runs, COUNTED_RUNS) + Math.max(0, runs - COUNTED_RUNS) * BEYOND_PART;
}
