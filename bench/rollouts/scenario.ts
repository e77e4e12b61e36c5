import type { Random } from "../../src/interface/index.ts";
import { createSeededRandom } from "../../src/interface/index.ts";
import { hashText } from "../../src/version/index.ts";

/** Behavior of the new version. */
export enum VersionBehavior {
  Good = "good",
  /** A share of its runs fails. */
  Fails = "fails",
  /** Its answers take longer. */
  Slow = "slow",
}

/** When a bad version shows its defect. */
export enum Onset {
  /** From the start. */
  AtOnce = "at-once",
  /** After a part of the time until the deadline. */
  Later = "later",
  /** While the backend server has more requests in progress than a threshold. */
  UnderLoad = "under-load",
  /** From the start, but only on one route. */
  OneRoute = "one-route",
}

/** Kind of disturbance that affects both versions for some seconds. */
export enum DisturbanceKind {
  /** Some backend servers fail a part of their runs. */
  FailingWorkers = "failing-workers",
  /** Some backend servers answer more slowly. */
  SlowWorkers = "slow-workers",
  /** Some backend servers fail all their runs. */
  CrashedWorkers = "crashed-workers",
  /** A small part of all runs fails. */
  LostAnswers = "lost-answers",
  /** The request rate doubles. */
  Burst = "burst",
  /** The instances of one zone exchange no digests with the others. */
  ZoneCut = "zone-cut",
  /** The instance that runs the rollout task ends, and another one takes over its lease. */
  HolderDies = "holder-dies",
  /** Writes of the rollout status fail. */
  StoreAway = "store-away",
  /** All instances restart and lose their state. */
  AllRestart = "all-restart",
}

/** A disturbance with its start and end, in milliseconds since the order. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly at: number;
  readonly until: number;
}

/** One rollout order with its load and disturbances. */
export interface Scenario {
  readonly seed: number;
  readonly behavior: VersionBehavior;
  readonly onset: Onset;
  /** Share of failing runs, or the factor by which answers take longer. */
  readonly strength: number;
  /** Time after which the defect of {@linkcode Onset.Later} appears, as a fraction of `duration`. */
  readonly defectStart: number;
  /** Requests per second of the whole fleet. */
  readonly rate: number;
  /** Number of entry instances. */
  readonly instances: number;
  /** Time from the order to its deadline, in milliseconds. */
  readonly duration: number;
  readonly disturbances: readonly Disturbance[];
}

/** Possible numbers of entry instances. */
const INSTANCE_COUNTS = [6, 6, 9, 20, 76, 300];
/** Minimum requests per second of an instance: users don't run so many instances that each receives fewer. */
const MIN_REQUESTS_PER_INSTANCE = 0.4;

/** Generates an order; the same seed always gives the same order. */
export function generateScenario(seed: number): Scenario {
  const random = createSeededRandom(hashText(`order ${seed}`));
  const between = (min: number, max: number): number => min + random.next() * (max - min);
  const behavior =
    random.next() < 0.4
      ? VersionBehavior.Good
      : random.next() < 0.5
        ? VersionBehavior.Fails
        : VersionBehavior.Slow;
  const duration = between(8_000, 60_000);
  const rate = 20 * 30 ** random.next();
  return {
    seed,
    behavior,
    onset: pickRandom(Object.values(Onset), random),
    strength: behavior === VersionBehavior.Fails ? between(0.02, 0.6) : between(2, 8),
    defectStart: between(0.1, 0.7),
    rate,
    instances: pickRandom(
      INSTANCE_COUNTS.filter((count) => rate / count >= MIN_REQUESTS_PER_INSTANCE),
      random,
    ),
    duration,
    disturbances: generateDisturbances(random, duration),
  };
}

function generateDisturbances(random: Random, duration: number): Disturbance[] {
  const count = Math.floor(random.next() * 4);
  return Array.from({ length: count }, () => {
    const at = random.next() * duration;
    return {
      kind: pickRandom(Object.values(DisturbanceKind), random),
      at,
      until: at + 2_000 + random.next() * 5_000,
    };
  });
}

function pickRandom<T>(values: readonly T[], random: Random): T {
  const value = values[Math.floor(random.next() * values.length)];
  if (value === undefined) throw new Error("cannot pick from an empty list");
  return value;
}
