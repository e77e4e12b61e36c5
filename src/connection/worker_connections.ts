import { createReceiveBudget } from "../decision/index.ts";
import type { ReceiveBudget } from "../decision/index.ts";
import type {
  Clock,
  Exchange,
  ResponseHead,
  WorkerConnections,
  WorkerEndpoint,
} from "../interface/index.ts";
import { createProcessIdentity } from "./process_identity.ts";
import type { ProcessReport } from "./process_identity.ts";
import { openWorkerConnection } from "./worker_connection.ts";
import type { ResponseMatching, WorkerConnection } from "./worker_connection.ts";
import type { WorkerPath } from "./worker_path.ts";

/** Fraction of the announced idle timeout within which a connection is reused; the rest allows for network delay. */
const IDLE_FRACTION = 0.6;
/**
 * The same fraction for a request that must not run twice. If the worker closes the connection while such a
 * request is on its way, it is unknown whether the request ran.
 */
const UNREPEATABLE_IDLE_FRACTION = 0.3;
/** Maximum idle time in milliseconds for reuse if the worker announced no idle timeout. */
const DEFAULT_MAX_IDLE = 700;
/** The same for a request that must not run twice. */
const UNREPEATABLE_DEFAULT_MAX_IDLE = 200;
/**
 * Maximum idle time in milliseconds after which a connection is reused for a request that must not run twice,
 * whatever timeout the worker announced. An idle connection may stop delivering data or be closed earlier
 * than announced, and only the next request detects that. A new connection costs one round trip.
 */
const UNREPEATABLE_MAX_IDLE = 500;

/** The connections to one worker. */
interface ConnectionPool {
  /** All open connections, the most recently used last. */
  readonly connections: WorkerConnection[];
  /** When a request was last sent to the worker, in the clock's milliseconds. */
  lastSentAt: number | undefined;
  /** When bytes last arrived from the worker, in the clock's milliseconds. */
  lastReceivedAt: number | undefined;
}

/**
 * Creates an empty set of connection pools, one per worker.
 *
 * @param options `matching` names the headers by which responses are matched with requests. `onHead` is called with the
 * head of each response that a worker sends. `report` is where workers state when their process started; without it, the
 * processes of workers aren't verified. `budget` limits what all connections hold of incomplete responses. `whenRead` calls
 * its argument once it is known which callers have left; by default at once.
 */
export function createWorkerConnections(options: {
  readonly clock: Clock;
  readonly path: WorkerPath;
  readonly matching: ResponseMatching;
  readonly onHead: (worker: WorkerEndpoint, head: ResponseHead) => void;
  readonly report?: ProcessReport;
  readonly budget?: ReceiveBudget;
  readonly whenRead?: (send: () => void) => void;
}): WorkerConnections {
  const { clock, path, matching, onHead, report, budget = createReceiveBudget() } = options;
  const whenRead = options.whenRead ?? ((send: () => void): void => send());
  const identity = report === undefined ? undefined : createProcessIdentity(report, { budget });
  const pools = new Map<string, ConnectionPool>();

  const open = (worker: WorkerEndpoint, pool: ConnectionPool): WorkerConnection => {
    const { id } = worker;
    // A pool is removed when its last connection closes, so it may have to be added again.
    pools.set(id, pool);
    const connection = openWorkerConnection({
      clock,
      dial: (listener) => path.dial(worker, listener),
      matching,
      budget,
      whenRead,
      worker: id,
      onReceived: () => (pool.lastReceivedAt = clock.now()),
      onWorking: (dialed) => path.recordWorking(worker, dialed),
      onBrokenUnused: () => path.recordBroken(worker),
      onHead: (head) => onHead(worker, head),
      onIdle: () => {
        // The most recently used connection is last and is reused first, so that the others can expire.
        removeElement(pool.connections, connection);
        pool.connections.push(connection);
      },
      onClosed: () => {
        removeElement(pool.connections, connection);
        if (pool.connections.length === 0 && pools.get(id) === pool) pools.delete(id);
      },
    });
    pool.connections.push(connection);
    return connection;
  };
  return {
    exchange: (worker, request, { sink, repeatable, needsProcess = false, maxConnections }) => {
      const pool = pools.get(worker.id) ?? createPool();
      const sendOn = (connection: WorkerConnection): Exchange => {
        pool.lastSentAt = clock.now();
        return needsProcess && identity !== undefined
          ? identity.exchange(connection, request, { worker, sink })
          : connection.exchange(request, sink);
      };
      for (const stale of pool.connections.filter(
        (connection) => connection.isIdle() && !canReuse(connection, true),
      )) {
        stale.close();
      }
      const reusable = pool.connections.findLast(
        (connection) =>
          connection.isIdle() &&
          canReuse(connection, repeatable) &&
          path.keepsOpenConnections(worker),
      );
      if (reusable !== undefined) return sendOn(reusable);
      if (pool.connections.length >= maxConnections) {
        const spare = pool.connections.find((connection) => connection.isIdle());
        if (spare === undefined) return undefined;
        spare.close();
      }
      return sendOn(open(worker, pool));
    },
    tryConnect: (worker) => path.tryConnect(worker),
    hasLostPath: (worker) => path.hasLostPath(worker),
    retainWorkers: (ids) => {
      path.retainWorkers(ids);
      for (const [id, pool] of pools) {
        if (ids.has(id)) continue;
        for (const idle of pool.connections.filter((connection) => connection.isIdle()))
          idle.close();
      }
    },
    activity: (id) => {
      const pool = pools.get(id);
      if (pool === undefined) return undefined;
      const { lastSentAt, lastReceivedAt, connections } = pool;
      const hasPendingResponse = connections.some((connection) => connection.hasPendingResponse());
      return { lastSentAt, lastReceivedAt, hasPendingResponse };
    },
    get openedCount() {
      return path.dialCount;
    },
    close: () => {
      for (const pool of [...pools.values()]) {
        for (const connection of [...pool.connections]) connection.close();
      }
    },
  };
}

function createPool(): ConnectionPool {
  return { connections: [], lastSentAt: undefined, lastReceivedAt: undefined };
}

/** Returns whether an idle connection may be reused, depending on whether the request is repeatable. */
function canReuse(connection: WorkerConnection, repeatable: boolean): boolean {
  const { idleTimeout } = connection;
  const fraction = repeatable ? IDLE_FRACTION : UNREPEATABLE_IDLE_FRACTION;
  const defaultMaxIdle = repeatable ? DEFAULT_MAX_IDLE : UNREPEATABLE_DEFAULT_MAX_IDLE;
  const maxIdle = idleTimeout === undefined ? defaultMaxIdle : idleTimeout * fraction;
  return connection.idleFor() < (repeatable ? maxIdle : Math.min(maxIdle, UNREPEATABLE_MAX_IDLE));
}

function removeElement<Element>(elements: Element[], element: Element): void {
  const index = elements.indexOf(element);
  if (index >= 0) elements.splice(index, 1);
}
