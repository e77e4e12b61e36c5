import type { OperatorService } from "../connection/index.ts";
import { createScheduler } from "../decision/index.ts";
import type { EntryLoad, EntryStance, Scheduler } from "../decision/index.ts";
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

/** All that is outside an entry instance: real clients in the binary, fakes in the failure runs. */
export interface Outside {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly engine: Engine;
  readonly instances: InstanceList;
  readonly cloud: Cloud;
  readonly peers: Peers;
}

/** What an entry instance is told at its start. */
export interface CoreSettings {
  readonly self: Member;
  readonly region: string;
  /** Addresses of a few other entry instances, to join by. */
  readonly seeds: readonly string[];
  /** Takes the lines of a recording of the traffic; nothing is recorded where it is absent. */
  readonly record?: (line: string) => void;
  /** Milliseconds between slow rereads of the store. */
  readonly reread?: number;
  /** Reads the instance's own load; absent where it protects itself from nothing, as in tests. */
  readonly readLoad?: () => EntryLoad;
  /** Where counts go besides the table. */
  readonly sink?: CounterSink;
}

/** An entry instance without its sockets: the tasks and the requests that they serve. */
export interface EntryCore {
  readonly requests: RequestService;
  readonly configuration: Configuration;
  readonly members: Membership;
  readonly workers: WorkerDirectory;
  readonly counters: CounterTable;
  readonly operators: OperatorService;
  readonly handlers: PeerHandlers;
  /** Resolves once a revision is known. */
  start(): Promise<void>;
  /**
   * A planned stop: takes nothing new, lets what is in progress end, hands over, and resolves when this
   * instance may go.
   */
  drain(): Promise<void>;
  /** Resolves when a drain, whoever asked for it, is over. */
  whenDrained(): Promise<void>;
  /** A notice that this instance is taken in the given number of milliseconds: hands over at once. */
  reclaim(within: number): Promise<void>;
  close(): void;
}

/** Puts an entry instance together. */
export function createEntryCore(settings: CoreSettings, outside: Outside): EntryCore {
  const counters = createCounters(settings.sink);
  const count = (name: string): void => counters.count(name);
  const control = createControl({ ...settings, ...outside, requests: () => requests, count });
  const { configuration, members } = control;
  const workers = createWorkerDirectory({ ...outside, members, count });
  const scheduler = schedulerOf(settings, { clock: outside.clock, configuration });
  const environment = { ...outside, configuration, members, workers, scheduler, counters };
  const requests: RequestService = createRequestService(environment);
  const reports = createLoadReports({ ...outside, workers, scheduler, counters });
  workers.onChange(() => scheduler.setWorkers(workers.list(), outside.clock.now()));
  members.onChange(() => {
    scheduler.setInstances(Math.max(1, members.alive().length), outside.clock.now());
  });
  configuration.onChange(() => {
    const revision = configuration.revision();
    if (revision !== undefined) scheduler.configure(revision.deployment, outside.clock.now());
  });
  const stopTaking = (): void => {
    members.leave();
    void leases.release();
    requests.stopTaking();
  };
  const handOver = async (): Promise<void> => {
    stopTaking();
    await requests.cedeAll();
  };
  // A second signal to stop, or a notice during the drain, joins the drain that goes on.
  let draining: Promise<void> | undefined;
  const drain = async (): Promise<void> => {
    stopTaking();
    await requests.whenIdle();
    await requests.cedeAll();
  };
  const { readLoad } = settings;
  const onStance = (stance: EntryStance): void => requests.setStance(stance);
  const overload =
    readLoad === undefined
      ? undefined
      : createOverloadTask({ clock: outside.clock, readLoad, onStance, count });
  const tasks = { ...outside, configuration, members, workers, count };
  const leases = createLeaseTask({
    ...tasks,
    pace: configuration.pace,
    duties: () => Object.keys(configuration.revision()?.deployment.services ?? {}),
    longestOrder: ORDER_TIMEOUT,
  });
  const orders = createOrderTask({ ...tasks, leases });
  const notices = createNoticeTask(tasks);
  members.onOwnNotice(() => void handOver());
  const changes = createOperatorChanges({ ...outside, configuration });
  const drained = new Set<() => void>();
  const drainOnce = (): Promise<void> =>
    (draining ??= drain().then(() => {
      for (const resolve of drained) resolve();
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
        drained.add(resolve);
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

function schedulerOf(
  { self, record }: CoreSettings,
  { clock, configuration }: { clock: Clock; configuration: ConfigurationView },
): Scheduler {
  const scheduler = createScheduler();
  if (record === undefined) return scheduler;
  const revision = (): ReturnType<ConfigurationView["revision"]> => configuration.revision();
  return recordScheduler(scheduler, { name: self.id, now: clock.now(), revision, write: record });
}
