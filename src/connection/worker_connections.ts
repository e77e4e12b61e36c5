import type { Clock, WorkerConnections, WorkerPlace } from "../interface/index.ts";
import { reachWorker } from "./reach_worker.ts";
import { openWorkerConnection } from "./worker_connection.ts";
import type { AnswerMatching, WorkerConnection } from "./worker_connection.ts";

/** Fraction of the announced idle timeout within which a connection is reused; the rest allows for network delay. */
const IDLE_PART = 0.6;
/**
 * The same fraction for a request that must not run twice. If the worker closes the connection while such a
 * request is on its way, it is unknown whether the request ran.
 */
const IDLE_PART_ONCE = 0.3;
/** Maximum idle time in milliseconds for reuse if the worker announced no idle timeout. */
const UNANNOUNCED_IDLE = 700;
/** The same for a request that must not run twice. */
const UNANNOUNCED_IDLE_ONCE = 200;
/**
 * Maximum idle time in milliseconds after which a connection is reused for a request that must not run twice,
 * whatever timeout the worker announced. An idle connection may go silent or be closed earlier than
 * announced, and only the next request detects that. A new connection costs one round trip.
 */
const GREATEST_IDLE_ONCE = 500;

/** The connections to one worker. */
interface Line {
  /** All open connections, the most recently used last. */
  readonly connections: WorkerConnection[];
  /** When bytes last arrived from the worker, in the clock's milliseconds. */
  heardAt: number | undefined;
}

/**
 * Creates an empty set of connection pools, one per worker.
 *
 * @param parts `matching` names the headers by which responses are matched with requests.
 */
export function createWorkerConnections(parts: {
  readonly clock: Clock;
  readonly matching: AnswerMatching;
}): WorkerConnections {
  const { clock, matching } = parts;
  const lines = new Map<string, Line>();
  let opened = 0;

  const open = ({ id, address }: WorkerPlace, line: Line): WorkerConnection => {
    opened++;
    // The pool was removed if its last connection was closed before.
    lines.set(id, line);
    const connection = openWorkerConnection({
      clock,
      address,
      matching,
      heard: () => (line.heardAt = clock.now()),
      freed: () => {
        // The most recently used connection is last and is reused first, so that the others can expire.
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

/** Returns whether an idle connection may be reused, depending on whether the request is repeatable. */
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
