import type { OperatorService } from "../connection/index.ts";
import { createScheduler } from "../decision/index.ts";
import type { EntryLoad, EntryMode, Scheduler } from "../decision/index.ts";
import type {
  Clock,
  Cloud,
  Engine,
  InstanceList,
  Member,
  ObjectStore,
  PeerHandlers,
  Peers,
  Random,
} from "../interface/index.ts";
import { createRequestService } from "../request/index.ts";
import type { ConfigurationView, RequestService } from "../request/index.ts";
import type { Configuration } from "./configuration.ts";
import { createControl } from "./control.ts";
import { createCounters } from "./counters.ts";
import type { CounterSink, CounterTable } from "./counters.ts";
import { createLeaseTask } from "./lease_task.ts";
import { createLoadReports } from "./load_reports.ts";
import type { Membership } from "./membership.ts";
import { createNoticeTask } from "./notice_task.ts";
import { createOrderTask, ORDER_TIMEOUT } from "./order_task.ts";
import { recordScheduler } from "./recorder.ts";
import { createOverloadTask } from "./overload_task.ts";
import { createOperatorChanges } from "./operator_changes.ts";
import { createOperatorService } from "./operator_service.ts";
import { createWorkerDirectory } from "./worker_directory.ts";
import type { WorkerDirectory } from "./worker_directory.ts";

/** External services of an entry instance: real clients in the binary, fakes in the failure tests. */
export interface EntryDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly engine: Engine;
  readonly instances: InstanceList;
  readonly cloud: Cloud;
  readonly peers: Peers;
}

/** Settings of {@linkcode createEntryCore}. */
export interface CoreSettings {
  /** This instance as its peers see it. */
  readonly self: Member;
  readonly region: string;
  /** Peer addresses of a few other entry instances, contacted to join the fleet. */
  readonly seeds: readonly string[];
  /** Receives the lines of the traffic recording. Nothing is recorded if absent. */
  readonly record?: (line: string) => void;
  /** Interval of the periodic fallback reads of the store, in milliseconds. */
  readonly reread?: number;
  /** Reads the instance's own load. Overload protection is off if absent, as in tests. */
  readonly readLoad?: () => EntryLoad;
  /** Also receives every count, besides the counter table. */
  readonly sink?: CounterSink;
}

/** An entry instance without its sockets: its background tasks and its request service. */
export interface EntryCore {
  readonly requests: RequestService;
  readonly configuration: Configuration;
  readonly members: Membership;
  readonly workers: WorkerDirectory;
  readonly counters: CounterTable;
  readonly operators: OperatorService;
  /** Handlers for all peer messages. */
  readonly handlers: PeerHandlers;
  /** Starts all tasks. Resolves once a revision is known. */
  start(): Promise<void>;
  /**
   * Performs a planned stop: refuses new requests, waits for requests in progress and until other instances have
   * replaced this one in the slot map, hands over what is left, and resolves when the process may exit. Further calls return the same promise.
   */
  drain(): Promise<void>;
  /** Resolves when a drain has finished, whether a signal or an operator started it. */
  whenDrained(): Promise<void>;
  /** Hands over immediately, because the cloud takes this instance back in the given number of milliseconds. */
  reclaim(within: number): Promise<void>;
  /** Stops all tasks and the request service. */
  close(): void;
}

/** Creates an entry instance. It does nothing until `start` is called. */
export function createEntryCore(
  settings: CoreSettings,
  dependencies: EntryDependencies,
): EntryCore {
  const counters = createCounters(settings.sink);
  const count = (name: string): void => counters.count(name);
  const control = createControl({ ...settings, ...dependencies, requests: () => requests, count });
  const { configuration, members } = control;
  const workers = createWorkerDirectory({ ...dependencies, members, count });
  const scheduler = schedulerFor(settings, { clock: dependencies.clock, configuration });
  const environment = { ...dependencies, configuration, members, workers, scheduler, counters };
  const requests: RequestService = createRequestService(environment);
  const reports = createLoadReports({ ...dependencies, workers, scheduler, counters });
  workers.onChange(() => scheduler.setWorkers(workers.list(), dependencies.clock.now()));
  members.onChange(() => {
    scheduler.setInstances(Math.max(1, members.alive().length), dependencies.clock.now());
  });
  configuration.onChange(() => {
    const revision = configuration.revision();
    if (revision !== undefined) scheduler.configure(revision.deployment, dependencies.clock.now());
  });
  const stopAccepting = (): void => {
    members.leave();
    void leases.release();
    requests.stopAccepting();
  };
  const handOver = async (): Promise<void> => {
    stopAccepting();
    await requests.handOverAll();
  };
  // A second stop signal or a reclaim notice during the drain joins the drain in progress.
  let draining: Promise<void> | undefined;
  const drain = async (): Promise<void> => {
    stopAccepting();
    await requests.whenIdle();
    await control.whenReleased();
    await requests.handOverAll();
  };
  const { readLoad } = settings;
  const onModeChange = (mode: EntryMode): void => requests.setEntryMode(mode);
  const overload =
    readLoad === undefined
      ? undefined
      : createOverloadTask({ clock: dependencies.clock, readLoad, onModeChange, count });
  const tasks = { ...dependencies, configuration, members, workers, count };
  const leases = createLeaseTask({
    ...tasks,
    throttle: configuration.throttle,
    leaseNames: () => Object.keys(configuration.revision()?.deployment.services ?? {}),
    maxOrderTime: ORDER_TIMEOUT,
  });
  const orders = createOrderTask({ ...tasks, leases });
  const notices = createNoticeTask(tasks);
  members.onOwnNotice(() => void handOver());
  const changes = createOperatorChanges({ ...dependencies, configuration });
  const drainListeners = new Set<() => void>();
  const drainOnce = (): Promise<void> =>
    (draining ??= drain().then(() => {
      for (const resolve of drainListeners) resolve();
    }));
  const operators = createOperatorService({
    ...environment,
    requests,
    changes,
    drain: () => void drainOnce(),
  });
  return {
    requests,
    configuration,
    members,
    workers,
    counters,
    operators,
    handlers: {
      ...requests.handlers,
      ...control.handlers,
    },
    start: async () => {
      await control.start();
      await workers.start();
      reports.start();
      overload?.start();
      leases.start();
      orders.start();
      notices.start();
    },
    drain: drainOnce,
    whenDrained: () =>
      new Promise((resolve) => {
        drainListeners.add(resolve);
      }),
    reclaim: handOver,
    close: () => {
      requests.close();
      changes.close();
      reports.close();
      overload?.close();
      notices.close();
      orders.close();
      leases.close();
      workers.close();
      control.close();
    },
  };
}

function schedulerFor(
  { self, record }: CoreSettings,
  { clock, configuration }: { clock: Clock; configuration: ConfigurationView },
): Scheduler {
  const scheduler = createScheduler();
  if (record === undefined) return scheduler;
  const revision = (): ReturnType<ConfigurationView["revision"]> => configuration.revision();
  return recordScheduler(scheduler, { name: self.id, now: clock.now(), revision, write: record });
}
