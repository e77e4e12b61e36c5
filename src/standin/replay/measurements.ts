import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Refusal, RetryCause } from "../../interface/index.ts";
import type { Target } from "../../version/index.ts";

/** Times that came, and how many of them were within their target. */
export interface LatencyMeasurement {
  add(milliseconds: number): void;
  count(): number;
  /** The value that the given percentage is at or under, in milliseconds; 0 where none came. */
  percentile(percent: number): number;
  /** Part of them that was within the target; 1 where none came. */
  shareWithinTarget(): number;
}

/** What is measured of the requests of one service and lane. */
export interface GroupMeasurements {
  arrived: number;
  /** Answered whole before the deadline. */
  answered: number;
  /** Accepted, and ended without the whole answer. */
  lost: number;
  /** Of the lost, those whose deadline passed. */
  late: number;
  /** Tokens of answers that ended within the trace and whose first token was within the target. */
  goodputTokens: number;
  readonly refused: Map<Refusal, number>;
  readonly firstToken: LatencyMeasurement;
  readonly betweenTokens: LatencyMeasurement;
  /** Times to the first token since the last sample of a plot, in milliseconds. */
  recentFirstTokens: number[];
}

/** What is measured of a whole replay. */
export interface Measurements {
  /** The group of a service and lane, made when it is first asked for. */
  group(name: string, target: Target): GroupMeasurements;
  readonly groups: ReadonlyMap<string, GroupMeasurements>;
  readonly recomputed: ReadonlyMap<RetryCause, number>;
  readonly retried: ReadonlyMap<RetryCause, number>;
  addRecomputed(cause: RetryCause, tokens: number): void;
  addRetried(cause: RetryCause): void;
}

/** Times are kept in tenths of a millisecond. */
const UNITS_PER_MILLISECOND = 10;
const MAX_VALUE = 36_000_000;

function createLatencyMeasurement(target: number): LatencyMeasurement {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE,
    numberOfSignificantValueDigits: 3,
  });
  let withinTarget = 0;
  return {
    add: (milliseconds) => {
      histogram.recordValue(Math.min(MAX_VALUE, Math.round(milliseconds * UNITS_PER_MILLISECOND)));
      if (milliseconds <= target) withinTarget++;
    },
    count: () => histogram.totalCount,
    percentile: (percent) =>
      histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(percent) / UNITS_PER_MILLISECOND,
    shareWithinTarget: () => (histogram.totalCount === 0 ? 1 : withinTarget / histogram.totalCount),
  };
}

/** Makes measurements with nothing in them. */
export function createMeasurements(): Measurements {
  const groups = new Map<string, GroupMeasurements>();
  const recomputed = new Map<RetryCause, number>();
  const retried = new Map<RetryCause, number>();
  return {
    groups,
    recomputed,
    retried,
    group: (name, target) => {
      const existing = groups.get(name);
      if (existing !== undefined) return existing;
      const created = createGroup(target);
      groups.set(name, created);
      return created;
    },
    addRecomputed: (cause, tokens) => {
      if (tokens > 0) addToCount(recomputed, cause, tokens);
    },
    addRetried: (cause) => addToCount(retried, cause, 1),
  };
}

function createGroup(target: Target): GroupMeasurements {
  return {
    arrived: 0,
    answered: 0,
    lost: 0,
    late: 0,
    goodputTokens: 0,
    refused: new Map(),
    firstToken: createLatencyMeasurement(target.firstToken),
    betweenTokens: createLatencyMeasurement(target.betweenTokens),
    recentFirstTokens: [],
  };
}

/** Adds to a count by key. */
export function addToCount<Key>(counts: Map<Key, number>, key: Key, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}
