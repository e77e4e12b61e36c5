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
  /** Whether a request on it isn't complete. */
  readonly isReceiving: boolean;
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
  /** A request is arriving on it. */
  Receiving = "receiving",
  /** It has complete requests in progress. */
  Busy = "busy",
}

/**
 * Returns the connection to close; undefined if there are none.
 *
 * It is one of the address with the most, and there of those with the use that most of them have, the one that is inactive
 * for longest. So neither a new nor a kept connection of a sound caller goes before those of a crowd, whatever these do.
 */
export function chooseConnection<Connection extends OpenConnection>(
  connections: Iterable<Connection>,
): Connection | undefined {
  const ofAddress = largest(groupBy(connections, ({ address }) => address));
  return largest(groupBy(ofAddress, useOf)).reduce<Connection | undefined>(
    (chosen, connection) =>
      chosen === undefined || connection.activeAt < chosen.activeAt ? connection : chosen,
    undefined,
  );
}

function useOf({ isReceiving, requests, isUsed }: OpenConnection): ConnectionUse {
  if (isReceiving) return ConnectionUse.Receiving;
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
