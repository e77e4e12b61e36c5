/** Values by key, with the round in which each changed last. */
export interface ChangeLog<K, V> {
  /** Takes in all values as they are in this round; a key that isn't among them any more has the value `gone`. */
  note(values: ReadonlyMap<K, V>, round: number): void;
  /** The values that changed after a round, in no order. */
  since(round: number): Map<K, V>;
  /** Forgets keys that were gone in this round already: whoever hasn't heard of it by then is told everything. */
  forgetGone(round: number): void;
}

/** What a log of changes is made with. */
export interface ChangeLogOptions<V> {
  readonly gone: V;
  readonly equals: (a: V, b: V) => boolean;
}

interface Change<V> {
  readonly value: V;
  readonly round: number;
  readonly isGone: boolean;
}

/** Makes an empty log. */
export function createChangeLog<K, V>({ gone, equals }: ChangeLogOptions<V>): ChangeLog<K, V> {
  const changes = new Map<K, Change<V>>();
  return {
    note: (values, round) => {
      for (const [key, value] of values) {
        const known = changes.get(key);
        if (known !== undefined && !known.isGone && equals(known.value, value)) continue;
        changes.set(key, { value, round, isGone: false });
      }
      for (const [key, { isGone }] of changes) {
        if (!isGone && !values.has(key)) changes.set(key, { value: gone, round, isGone: true });
      }
    },
    since: (round) => {
      const found = new Map<K, V>();
      for (const [key, change] of changes) if (change.round > round) found.set(key, change.value);
      return found;
    },
    forgetGone: (round) => {
      for (const [key, change] of changes) {
        if (change.isGone && change.round <= round) changes.delete(key);
      }
    },
  };
}
