/**
 * Recent amounts over all instances, from the totals that they exchange.
 *
 * Load: many instances that each see a small part of the traffic and have to decide alike, for
 * instance how slow a worker is or how much of a service an account uses. Decided by its own
 * requests, each instance would get a different result. Symptom: instances that send to a worker that
 * others avoid, and accounts that are limited at some instances only.
 *
 * Mechanism: each instance adds up what it observes under a key. The totals only grow, so a lost,
 * late or repeated message does no harm: the difference to the total before is what is new. New
 * amounts lose half of their weight in each half-life, so that the sums follow the present load. An
 * instance's first message sets the base for later ones, since its total may be old. Messages state
 * whole units; the remainder is sent with the next unit. Totals are sent at intervals, since a total
 * that has changed takes space in the digests to all instances. A total that exceeds 32 bits starts
 * again at 0, which costs what one message would have added.
 *
 * @module
 */
import type { RunCounts } from "./worker_health.ts";

/** Identifies what is counted, in messages between instances: a hash. */
export type CountKey = number;

/** An amount, and a second one to which it can be related. */
export interface Amount {
  readonly value: number;
  /** 0 if there is nothing to relate the value to. */
  readonly base: number;
}

/** How amounts under a key are counted. */
export interface CountOptions {
  /** Time after which an amount has half of its weight, in milliseconds. */
  readonly halfLife: number;
  /** Amount per unit of the totals in messages. */
  readonly unit: number;
}

/** Recent amounts by key. Times are in milliseconds of the clock. */
export interface SharedCounts {
  /** Starts to count under a key; a key that is counted already changes nothing. */
  track(key: CountKey, options: CountOptions): void;
  /** Ends the counting under all keys for which the function returns false. */
  retainKeys(isRetained: (key: CountKey) => boolean): void;
  /** Adds an amount that this instance has observed. A key that isn't tracked changes nothing. */
  add(key: CountKey, amount: Amount, now: number): void;
  /** Receives another instance's totals. A key without entry is unchanged. */
  receive(instance: string, totals: ReadonlyMap<CountKey, RunCounts>, now: number): void;
  /** Returns the recent amount of all instances. */
  recent(key: CountKey, now: number): Amount;
  /** Returns this instance's totals in units, to be sent to the others. */
  ownTotals(now: number): ReadonlyMap<CountKey, RunCounts>;
  /** Keeps only the totals of the given instances. What they have added remains. */
  retainInstances(instances: ReadonlySet<string>): void;
}

const NO_AMOUNT: Amount = { value: 0, base: 0 };
/** Milliseconds for which sent totals stay the same. */
const REPORT_INTERVAL = 1_000;

/** What is known under a key. */
interface Count extends CountOptions {
  /** What this instance has observed since it started. */
  own: Amount;
  recent: Amount;
  /** Time of the recent amount. */
  at: number;
  /** The total of each other instance. */
  readonly byInstance: Map<string, RunCounts>;
}

/** Creates the counts, without keys. */
export function createSharedCounts(): SharedCounts {
  const counts = new Map<CountKey, Count>();
  let reported: ReadonlyMap<CountKey, RunCounts> = new Map();
  let reportedAt = -Infinity;
  const addRecent = (count: Count, { value, base }: Amount, now: number): void => {
    const before = decayed(count, now);
    count.recent = { value: before.value + value, base: before.base + base };
    count.at = Math.max(count.at, now);
  };
  return {
    track: (key, options) => {
      if (counts.has(key)) return;
      counts.set(key, {
        ...options,
        own: NO_AMOUNT,
        recent: NO_AMOUNT,
        at: 0,
        byInstance: new Map(),
      });
    },
    retainKeys: (isRetained) => {
      for (const key of counts.keys()) if (!isRetained(key)) counts.delete(key);
    },
    add: (key, amount, now) => {
      const count = counts.get(key);
      if (count === undefined) return;
      count.own = { value: count.own.value + amount.value, base: count.own.base + amount.base };
      addRecent(count, amount, now);
    },
    receive: (instance, totals, now) => {
      for (const [key, total] of totals) {
        const count = counts.get(key);
        if (count === undefined) continue;
        const before = count.byInstance.get(instance);
        count.byInstance.set(instance, total);
        if (before === undefined) continue;
        const value = Math.max(0, total.runs - before.runs) * count.unit;
        const base = Math.max(0, total.failures - before.failures) * count.unit;
        if (value > 0 || base > 0) addRecent(count, { value, base }, now);
      }
    },
    recent: (key, now) => {
      const count = counts.get(key);
      return count === undefined ? NO_AMOUNT : decayed(count, now);
    },
    ownTotals: (now) => {
      if (now - reportedAt < REPORT_INTERVAL) return reported;
      reportedAt = now;
      reported = new Map(
        [...counts].flatMap(([key, { own, unit }]) => {
          const total = {
            runs: Math.floor(own.value / unit),
            failures: Math.floor(own.base / unit),
          };
          return total.runs === 0 ? [] : [[key, total]];
        }),
      );
      return reported;
    },
    retainInstances: (instances) => {
      for (const { byInstance } of counts.values())
        for (const instance of byInstance.keys())
          if (!instances.has(instance)) byInstance.delete(instance);
    },
  };
}

function decayed({ recent, at, halfLife }: Count, now: number): Amount {
  const factor = 2 ** (-Math.max(0, now - at) / halfLife);
  return { value: recent.value * factor, base: recent.base * factor };
}
