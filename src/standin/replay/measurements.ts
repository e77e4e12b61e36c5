import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Refusal, RetryCause } from "../../interface/index.ts";
import type { Target } from "../../version/index.ts";

/** A distribution of latencies, and the share of them within a target. */
export interface LatencyMeasurement {
  /** Adds a latency. */
  add(milliseconds: number): void;
  /** Returns the number of latencies. */
  count(): number;
  /** Returns a percentile in milliseconds, or 0 if there are no values. */
  percentile(percent: number): number;
  /** Returns the share of values within the target, or 1 if there are none. */
  shareWithinTarget(): number;
}

/** Measurements of the requests of one service and lane. */
export interface GroupMeasurements {
  /** Requests that arrived. */
  arrived: number;
  /** Answered completely before the deadline. */
  answered: number;
  /** Accepted, but ended without a complete answer. */
  lost: number;
  /** Lost requests whose deadline passed. */
  late: number;
  /** Tokens of answers that ended within the trace and whose first token was within the target. */
  goodputTokens: number;
  /** Refused requests, by reason. */
  readonly refused: Map<Refusal, number>;
  readonly firstToken: LatencyMeasurement;
  readonly betweenTokens: LatencyMeasurement;
  /** Times to first token in milliseconds since the last sample of a plot. */
  recentFirstTokens: number[];
}

/** Measurements of a whole replay. */
export interface Measurements {
  /** Returns the group with a name, and creates it at the first call. */
  group(name: string, target: Target): GroupMeasurements;
  readonly groups: ReadonlyMap<string, GroupMeasurements>;
  /** Tokens computed again, by cause. */
  readonly recomputed: ReadonlyMap<RetryCause, number>;
  /** Runs after the first, by cause. */
  readonly retried: ReadonlyMap<RetryCause, number>;
  /** Adds tokens that were computed again. */
  addRecomputed(cause: RetryCause, tokens: number): void;
  /** Adds a run after the first. */
  addRetried(cause: RetryCause): void;
}

/** Latencies are stored in tenths of a millisecond. */
const UNITS_PER_MILLISECOND = 10;
/** Maximum value in the histogram: one hour. Greater latencies are recorded as this value. */
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

/** Creates empty measurements. */
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

/** Adds an amount to the count of a key. */
export function addToCount<Key>(counts: Map<Key, number>, key: Key, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}
