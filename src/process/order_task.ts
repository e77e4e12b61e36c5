import PQueue from "p-queue";
import { sleep, withTimeout, WorkerState } from "../interface/index.ts";
import type { Clock, Engine, Random, Worker } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import type { Service } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";
import type { LeaseTask } from "./lease_task.ts";

/** Timeout of one order, in milliseconds. */
export const ORDER_TIMEOUT = 2_000;
/** Interval between two comparisons of the workers with the configuration, in milliseconds, before jitter. */
const RECONCILE_INTERVAL = 4_000;
/** Maximum concurrent orders: each may load model weights, and the weight store is rate limited. */
const MAX_CONCURRENT_ORDERS = 4;
/** The only role that a worker can have. */
const ROLE = "serve";

/** A task that makes the workers of the services whose lease this instance holds load the configured models. */
export interface OrderTask {
  start(): void;
  close(): void;
}

/** Dependencies of {@linkcode createOrderTask}. */
export interface OrderTaskParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly workers: WorkerView;
  readonly leases: LeaseTask;
  readonly count: (name: string) => void;
}

/**
 * Creates the task. It reads which models each worker has loaded and, if any is missing, orders the complete desired
 * state. An order that arrives twice, late or from an earlier lease holder is therefore corrected after the next read.
 */
export function createOrderTask(parts: OrderTaskParts): OrderTask {
  const { clock, random, engine, configuration, workers, leases, count } = parts;
  const queue = new PQueue({ concurrency: MAX_CONCURRENT_ORDERS });
  let closed = false;
  const isClosed = (): boolean => closed;

  const reconcile = async (worker: Worker, models: readonly string[]): Promise<void> => {
    const pendingReport = engine.fetchLoad(worker);
    const report = await withTimeout(clock, pendingReport, { limit: ORDER_TIMEOUT, step: "read" });
    if (models.every((model) => report.loaded.includes(model))) return;
    // The fencing token is taken immediately before the order is sent. A holder that was suspended while it read or
    // waited in the queue finds that the rest of its lease is too short and sends nothing.
    const fence = leases.fence(worker.service, ORDER_TIMEOUT);
    if (fence === undefined) return;
    count("order.sent");
    const order = engine.setDesiredState(worker, { fence, models, role: ROLE });
    await withTimeout(clock, order, { limit: ORDER_TIMEOUT, step: "order" });
  };
  const tryReconcile = async (worker: Worker, models: readonly string[]): Promise<void> => {
    try {
      await reconcile(worker, models);
    } catch {
      // The next round reads again and orders any missing models.
      count("order.failed");
    }
  };
  const reconcileAll = async (): Promise<void> => {
    const services = configuration.revision()?.deployment.services ?? {};
    const held = new Set(leases.held());
    const jobs = workers
      .list()
      .filter(({ service, state }) => held.has(service) && state === WorkerState.Live)
      .flatMap((worker) => {
        const models = modelNames(services[worker.service]);
        return models.length === 0 ? [] : [() => tryReconcile(worker, models)];
      });
    await queue.addAll(jobs);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, RECONCILE_INTERVAL * (0.75 + 0.5 * random.next()));
      if (!isClosed()) await reconcileAll();
    }
  };
  return {
    start: () => void run(),
    close: () => {
      closed = true;
      queue.clear();
    },
  };
}

/** Names of the service's models, and of each model with each of its adapters as `MODEL+ADAPTER`. */
function modelNames(service: Service | undefined): readonly string[] {
  if (service?.kind !== "model") return [];
  return service.models.flatMap(({ name, adapters }) => [
    name,
    ...adapters.map((adapter) => `${name}+${adapter}`),
  ]);
}
