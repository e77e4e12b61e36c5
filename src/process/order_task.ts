import PQueue from "p-queue";
import { sleep, WorkerState } from "../interface/index.ts";
import type { Clock, Engine, Random, Worker } from "../interface/index.ts";
import type { WorkerView } from "../request/index.ts";
import type { Service } from "../version/index.ts";
import type { Configuration } from "./configuration.ts";
import type { LeaseTask } from "./lease_task.ts";
import { withinTime } from "./time_limit.ts";

/** Longest time that an order may take until its answer is given up, in milliseconds. */
export const ORDER_TIMEOUT = 2_000;
/** How often the workers are compared with what they should be. */
const PERIOD = 4_000;
/** Orders under way at a time: each may load weights, and the weight store is limited in rate. */
const MOST_ORDERS = 4;
/** The one role that a worker has today. */
const ROLE = "serve";

/** The task that orders the workers of this instance's services to be what the configuration says. */
export interface OrderTask {
  start(): void;
  close(): void;
}

/** What the task is made with. */
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
 * Makes the task. It reads what each worker has loaded, compares, and orders the whole desired state: an
 * order that comes twice, late or from an earlier holder changes nothing that the next reading would not
 * put right.
 */
export function createOrderTask(parts: OrderTaskParts): OrderTask {
  const { clock, random, engine, configuration, workers, leases, count } = parts;
  const queue = new PQueue({ concurrency: MOST_ORDERS });
  let closed = false;
  const isClosed = (): boolean => closed;

  const tend = async (worker: Worker, models: readonly string[]): Promise<void> => {
    const reading = engine.report(worker);
    const report = await withinTime(clock, reading, { limit: ORDER_TIMEOUT, step: "read" });
    if (models.every((model) => report.loaded.includes(model))) return;
    // Asked for immediately before the order is sent: a holder that was paused while it read or waited in
    // the queue finds its lease too short and sends nothing.
    const fence = leases.fence(worker.service, ORDER_TIMEOUT);
    if (fence === undefined) return;
    count("order.sent");
    const order = engine.order(worker, { fence, models, role: ROLE });
    await withinTime(clock, order, { limit: ORDER_TIMEOUT, step: "order" });
  };
  const guarded = async (worker: Worker, models: readonly string[]): Promise<void> => {
    try {
      await tend(worker, models);
    } catch {
      // The next round reads again and orders what is still missing.
      count("order.failed");
    }
  };
  const round = async (): Promise<void> => {
    const services = configuration.revision()?.deployment.services ?? {};
    const held = new Set(leases.held());
    const jobs = workers
      .list()
      .filter(({ service, state }) => held.has(service) && state === WorkerState.Live)
      .flatMap((worker) => {
        const models = modelsOf(services[worker.service]);
        return models.length === 0 ? [] : [() => guarded(worker, models)];
      });
    await queue.addAll(jobs);
  };
  const run = async (): Promise<void> => {
    while (!isClosed()) {
      await sleep(clock, PERIOD * (0.75 + 0.5 * random.next()));
      if (!isClosed()) await round();
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

/** Every model of the service, and each with its adapters as `MODEL+ADAPTER`. */
function modelsOf(service: Service | undefined): readonly string[] {
  if (service?.kind !== "model") return [];
  return service.models.flatMap(({ name, adapters }) => [
    name,
    ...adapters.map((adapter) => `${name}+${adapter}`),
  ]);
}
