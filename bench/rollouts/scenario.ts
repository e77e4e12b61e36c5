import type { Random } from "../../src/interface/index.ts";
import { createSeededRandom } from "../../src/interface/index.ts";
import { hashText } from "../../src/version/index.ts";

/** In which way a version is bad. */
export enum Sort {
  Good = "good",
  Fails = "fails",
  Slow = "slow",
}

/** When a bad version shows itself. */
export enum Onset {
  AtOnce = "at-once",
  Later = "later",
  UnderLoad = "under-load",
  OneRoute = "one-route",
}

/** What strikes both versions for some seconds. */
export enum Trouble {
  FailingWorkers = "failing-workers",
  SlowWorkers = "slow-workers",
  CrashedWorkers = "crashed-workers",
  LostAnswers = "lost-answers",
  Burst = "burst",
  ZoneCut = "zone-cut",
  HolderDies = "holder-dies",
  StoreAway = "store-away",
  AllRestart = "all-restart",
}

/** A trouble with its time, in milliseconds since the order. */
export interface Strike {
  readonly trouble: Trouble;
  readonly at: number;
  readonly until: number;
}

/** One order with all that happens beside it. */
export interface Scenario {
  readonly seed: number;
  readonly sort: Sort;
  readonly onset: Onset;
  /** The share of failures, or how many times as long answers take. */
  readonly strength: number;
  /** When a version that is bad later turns bad, as a part of the order's time. */
  readonly turnsAt: number;
  /** Requests a second. */
  readonly rate: number;
  readonly instances: number;
  /** Milliseconds. */
  readonly duration: number;
  readonly strikes: readonly Strike[];
}

const INSTANCES = [6, 6, 9, 20, 76, 300];
/** Requests a second that an instance gets at least: nobody runs more instances than that. */
const LEAST_RATE = 0.4;

/** Draws an order. */
export function drawScenario(seed: number): Scenario {
  const random = createSeededRandom(hashText(`order ${seed}`));
  const between = (least: number, most: number): number => least + random.next() * (most - least);
  const sort = random.next() < 0.4 ? Sort.Good : random.next() < 0.5 ? Sort.Fails : Sort.Slow;
  const duration = between(8_000, 60_000);
  const rate = 20 * 30 ** random.next();
  return {
    seed,
    sort,
    onset: pick(Object.values(Onset), random),
    strength: sort === Sort.Fails ? between(0.02, 0.6) : between(2, 8),
    turnsAt: between(0.1, 0.7),
    rate,
    instances: pick(
      INSTANCES.filter((count) => rate / count >= LEAST_RATE),
      random,
    ),
    duration,
    strikes: drawStrikes(random, duration),
  };
}

function drawStrikes(random: Random, duration: number): Strike[] {
  const count = Math.floor(random.next() * 4);
  return Array.from({ length: count }, () => {
    const at = random.next() * duration;
    return {
      trouble: pick(Object.values(Trouble), random),
      at,
      until: at + 2_000 + random.next() * 5_000,
    };
  });
}

function pick<T>(values: readonly T[], random: Random): T {
  const found = values[Math.floor(random.next() * values.length)];
  if (found === undefined) throw new Error("There is nothing to draw from.");
  return found;
}
