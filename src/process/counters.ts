import type { Counters } from "../request/index.ts";

/** Counts by name, with the numbers so far. */
export interface CounterTable extends Counters {
  readonly values: ReadonlyMap<string, number>;
}

/** Counters that are only kept in memory. */
export function createCounters(): CounterTable {
  const values = new Map<string, number>();
  const add = (name: string, amount = 1): void => {
    values.set(name, (values.get(name) ?? 0) + amount);
  };
  return {
    values,
    refused: (reason) => add(`refused.${reason}`),
    retried: (cause) => add(`retried.${cause}`),
    recomputed: (cause, tokens) => add(`recomputed.${cause}`, tokens),
    firstToken: () => undefined,
    betweenTokens: () => undefined,
    count: (name) => add(name),
  };
}
