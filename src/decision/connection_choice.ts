/**
 * Chooses the connection that is closed when callers have opened too many.
 *
 * Load: callers that open connections and send little or nothing. Symptom: the process has no descriptors left, also none for
 * its workers and the store.
 *
 * @module
 */

/** An open connection of a caller. */
export interface OpenConnection {
  readonly address: string;
  /** Number of its requests that have no complete response. */
  readonly requests: number;
  /** Whether it has had a request. */
  readonly isUsed: boolean;
  /** When its last request arrived or its last response ended, or when it opened, in milliseconds. */
  readonly activeAt: number;
}

/** What a connection is used for. */
enum ConnectionUse {
  /** It has had no request. */
  Unused = "unused",
  /** It is kept for further requests. */
  Idle = "idle",
  /** It has a request in progress. */
  Busy = "busy",
}

/**
 * Returns the connection to close; undefined if there are none.
 *
 * It is one of the address with the most, and there one of the unused or of the idle ones, whichever are more, that is
 * inactive for longest. So neither a new nor a kept connection of a sound caller goes before those of a crowd. Connections
 * with requests in progress go last.
 */
export function chooseConnection<Connection extends OpenConnection>(
  connections: Iterable<Connection>,
): Connection | undefined {
  const ofAddress = largest(groupBy(connections, ({ address }) => address));
  const byUse = groupBy(ofAddress, useOf);
  const busy = byUse.get(ConnectionUse.Busy) ?? [];
  byUse.delete(ConnectionUse.Busy);
  const candidates = byUse.size > 0 ? largest(byUse) : busy;
  return candidates.reduce<Connection | undefined>(
    (chosen, connection) =>
      chosen === undefined || connection.activeAt < chosen.activeAt ? connection : chosen,
    undefined,
  );
}

function useOf({ requests, isUsed }: OpenConnection): ConnectionUse {
  if (requests > 0) return ConnectionUse.Busy;
  return isUsed ? ConnectionUse.Idle : ConnectionUse.Unused;
}

function groupBy<Item, Key>(items: Iterable<Item>, keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

function largest<Item>(groups: ReadonlyMap<unknown, Item[]>): Item[] {
  return [...groups.values()].reduce(
    (most, group) => (group.length > most.length ? group : most),
    [],
  );
}
