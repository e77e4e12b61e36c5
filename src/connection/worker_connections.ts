import type { Clock, WorkerConnections, WorkerPlace } from "../interface/index.ts";
import { reachWorker } from "./reach_worker.ts";
import { openWorkerConnection } from "./worker_connection.ts";
import type { AnswerMatching, WorkerConnection } from "./worker_connection.ts";

/** The part of the announced idle time for which a connection is reused: the rest is the way and its delay. */
const IDLE_PART = 0.6;
/** The same for a request that may not run again: a close that crosses it would leave its end unknown. */
const IDLE_PART_ONCE = 0.3;
/** Idle time in milliseconds that is trusted where the worker has announced none. */
const UNANNOUNCED_IDLE = 700;
const UNANNOUNCED_IDLE_ONCE = 200;
/**
 * The longest idle time in milliseconds after which a connection is used for a request that may not run again,
 * whatever the worker has announced. An idle connection can go silent, or be dropped sooner than announced, and only
 * the next request on it finds out; a new connection costs a round trip.
 */
const GREATEST_IDLE_ONCE = 500;

interface Line {
  /** The most recently used last. */
  readonly connections: WorkerConnection[];
  heardAt: number | undefined;
}

/** Makes an empty table of connections. */
export function createWorkerConnections(parts: {
  readonly clock: Clock;
  readonly matching: AnswerMatching;
}): WorkerConnections {
  const { clock, matching } = parts;
  const lines = new Map<string, Line>();
  let opened = 0;

  const open = ({ id, address }: WorkerPlace, line: Line): WorkerConnection => {
    opened++;
    // Closing the last connection has taken the line out.
    lines.set(id, line);
    const connection = openWorkerConnection({
      clock,
      address,
      matching,
      heard: () => (line.heardAt = clock.now()),
      freed: () => {
        // Most recently used last, so that it is the first to be used again and the others may age out.
        remove(line.connections, connection);
        line.connections.push(connection);
      },
      closed: () => {
        remove(line.connections, connection);
        if (line.connections.length === 0 && lines.get(id) === line) lines.delete(id);
      },
    });
    line.connections.push(connection);
    return connection;
  };
  return {
    exchange: (place, request, { sink, repeatable, most }) => {
      const line = lines.get(place.id) ?? { connections: [], heardAt: undefined };
      for (const stale of line.connections.filter((one) => one.isIdle() && !isFresh(one, true))) {
        stale.close();
      }
      const idle = line.connections.findLast((one) => one.isIdle() && isFresh(one, repeatable));
      if (idle !== undefined) return idle.exchange(request, sink);
      if (line.connections.length >= most) {
        const spare = line.connections.find((one) => one.isIdle());
        if (spare === undefined) return undefined;
        spare.close();
      }
      return open(place, line).exchange(request, sink);
    },
    reach: ({ address }) => {
      opened++;
      return reachWorker(address, clock);
    },
    keepOnly: (ids) => {
      for (const [id, line] of lines) {
        if (ids.has(id)) continue;
        for (const idle of line.connections.filter((one) => one.isIdle())) idle.close();
      }
    },
    heardAt: (id) => lines.get(id)?.heardAt,
    get opened() {
      return opened;
    },
    close: () => {
      for (const line of [...lines.values()]) {
        for (const connection of [...line.connections]) connection.close();
      }
    },
  };
}

function isFresh(connection: WorkerConnection, repeatable: boolean): boolean {
  const { idleTimeout } = connection;
  const part = repeatable ? IDLE_PART : IDLE_PART_ONCE;
  const unannounced = repeatable ? UNANNOUNCED_IDLE : UNANNOUNCED_IDLE_ONCE;
  const longest = idleTimeout === undefined ? unannounced : idleTimeout * part;
  return connection.idleFor() < (repeatable ? longest : Math.min(longest, GREATEST_IDLE_ONCE));
}

function remove<Element>(elements: Element[], element: Element): void {
  const index = elements.indexOf(element);
  if (index >= 0) elements.splice(index, 1);
}
