/** Records, for each key, the current value and the round in which it last changed. */
export interface ChangeLog<K, V> {
  /**
   * Records the complete set of values in a round. A key that is missing from `values` gets the
   * tombstone value.
   */
  record(values: ReadonlyMap<K, V>, round: number): void;
  /** Returns the values that changed after the given round, in no particular order. */
  since(round: number): Map<K, V>;
  /**
   * Drops keys that were already removed in the given round. A receiver that has not acknowledged
   * that round must be sent a full snapshot instead.
   */
  prune(round: number): void;
}

/** Options for {@linkcode createChangeLog}. */
export interface ChangeLogOptions<V> {
  readonly tombstone: V;
  readonly equals: (a: V, b: V) => boolean;
}

interface Change<V> {
  readonly value: V;
  readonly round: number;
  readonly isRemoved: boolean;
}

/** Creates an empty change log. */
export function createChangeLog<K, V>({ tombstone, equals }: ChangeLogOptions<V>): ChangeLog<K, V> {
  const changes = new Map<K, Change<V>>();
  return {
    record: (values, round) => {
      for (const [key, value] of values) {
        const known = changes.get(key);
        if (known !== undefined && !known.isRemoved && equals(known.value, value)) continue;
        changes.set(key, { value, round, isRemoved: false });
      }
      for (const [key, { isRemoved }] of changes) {
        if (!isRemoved && !values.has(key))
          changes.set(key, { value: tombstone, round, isRemoved: true });
      }
    },
    since: (round) => {
      const found = new Map<K, V>();
      for (const [key, change] of changes) if (change.round > round) found.set(key, change.value);
      return found;
    },
    prune: (round) => {
      for (const [key, change] of changes) {
        if (change.isRemoved && change.round <= round) changes.delete(key);
      }
    },
  };
}
