/**
 * Entry instances and backend servers of the soak test, as operating-system processes.
 *
 * Each instance reaches the store through a fault-injecting proxy, and each backend server is reached through one.
 * The fleet replaces a backend server that has ended and restarts instances on request.
 *
 * @module
 */
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { reserveListenAddresses } from "../../platform/testing/entry_fleet.ts";
import type { ListenAddresses } from "../../platform/testing/entry_fleet.ts";
import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { CRASHING_BODY, isReadyAt } from "./callers.ts";
import { openLinkProxy } from "./link_proxy.ts";
import type { LinkProxy } from "./link_proxy.ts";
import { wallNow } from "./observation.ts";
import { VERSIONS } from "./stream_callers.ts";
import type { ObservedProcess } from "./observation.ts";
import type { SoakPlan } from "./plan.ts";
import { BOUNDS } from "./check.ts";
import { NORMAL_BEHAVIOR } from "./processes.ts";
import type {
  InstanceProcess,
  InstanceSettings,
  SoakProcesses,
  WorkerProcess,
} from "./processes.ts";
import type { SoakRecord } from "./record.ts";
import type { WorkerCommand } from "./worker_process.ts";

/**
 * Instances and backend servers of a soak test.
 *
 * A place is the index of an instance or of a backend server; the process that replaces another one takes over its
 * place. Places wrap around, so that any number is valid.
 */
export interface SoakFleet {
  /** Places of all instances. */
  readonly places: readonly number[];
  /** Listen addresses of all instances. */
  readonly listenAddresses: readonly ListenAddresses[];
  /** Addresses at which the instances serve address resolution. */
  readonly resolvers: readonly string[];
  /** Returns the address of an instance for callers. */
  instanceAddress(place: number): string;
  /** Returns the process id of an instance, which changes with each restart. */
  processId(place: number): number;
  /** Returns the proxy between an instance and the store. */
  storeLink(place: number): LinkProxy;
  /** Returns the id of the current backend server at a place. */
  workerId(place: number): string;
  /** Returns the proxy in front of a backend server. */
  workerLink(place: number): LinkProxy;
  /** Kills an instance and waits until its process has ended. */
  killInstance(place: number): Promise<void>;
  /** Sends SIGTERM to an instance and waits until its process has ended; kills it after the grace period. */
  stopInstance(place: number): Promise<void>;
  /** Restarts an instance; does nothing while its process is running. */
  restartInstance(place: number): void;
  /** Sends a signal to an instance. */
  signalInstance(place: number, signal: NodeJS.Signals): void;
  /** Kills a backend server; a replacement starts 2 seconds later. */
  killWorker(place: number): void;
  /** Sends a signal to a backend server. */
  signalWorker(place: number, signal: NodeJS.Signals): void;
  /** Writes the entries of all backend servers again, after the store has lost some, and removes those of ended ones. */
  writeEntriesAgain(): Promise<void>;
  /** Sets the behavior of a backend server and what it announces, by default nothing. */
  setWorkerBehavior(place: number, command: Partial<WorkerCommand>): void;
  /** Marks a backend server as draining, kills it after its drain time and replaces it. */
  replaceWorker(place: number): Promise<void>;
  /** Lets a backend server announce in its responses only that it leaves, kills it after its drain time and replaces it. */
  replaceAnnouncingWorker(place: number): Promise<void>;
  /** Waits until all instances are ready. */
  waitUntilReady(): Promise<void>;
  /** Samples the memory, open files and log lines of all running instances. */
  sampleProcesses(): ObservedProcess[];
  /** Returns the last log lines of each instance, by its name. */
  logs(): Map<string, readonly string[]>;
  /** Closes the proxies and stops replacing processes. */
  close(): Promise<void>;
}

/** Options of a fleet. */
export interface SoakFleetOptions {
  readonly processes: SoakProcesses;
  readonly platform: PlatformStandin;
  readonly record: SoakRecord;
}

const SERVICE = "desk";
const ZONES = 3;
/** Grace period of an instance that stops, in milliseconds. */
const GRACE = 8_000;
/** Milliseconds that a backend server takes for an answer. */
const ANSWER_TIME = 8;
/** Request slots of a backend server. */
const SLOTS = 16;
/** Time until the entry of an ended backend server is removed from the store, in milliseconds. */
const ENTRY_REMOVAL_DELAY = 1_200;
/** Time until an ended backend server is replaced, in milliseconds. */
const REPLACEMENT_DELAY = 2_000;
/** Time for which a draining backend server continues after its drain limit, in milliseconds. */
const DRAIN_MARGIN = 1_500;
/** Milliseconds. */
const READY_POLL_INTERVAL = 20;
/** Number of log lines that an error message quotes. */
const QUOTED_LOG_LINES = 5;

/** Place of a backend server, with its current process. */
interface WorkerPlace {
  /** Number of earlier processes at this place. */
  generation: number;
  id: string;
  /** When the process started, in Unix milliseconds. */
  readonly startedAt: number;
  /** State in its entry in the store. */
  state: "ready" | "draining";
  process: WorkerProcess | undefined;
  link: LinkProxy;
  /** Records the end of the period in which the backend server announces a limit. */
  endLimit: () => void;
}

/** Place of an instance, with its current process. */
interface InstancePlace {
  readonly listen: ListenAddresses;
  readonly settings: InstanceSettings;
  readonly link: LinkProxy;
  process: InstanceProcess;
}

/** Starts the processes of a plan; does not wait until the instances are ready. */
export async function createFleet(
  plan: SoakPlan,
  { processes, platform, record }: SoakFleetOptions,
): Promise<SoakFleet> {
  const workers: WorkerPlace[] = [];
  const instances: InstancePlace[] = [];
  const logs = new Map<string, readonly string[]>();
  let isClosed = false;
  const hasClosed = (): boolean => isClosed;

  const startWorker = async (place: number, generation: number): Promise<WorkerPlace> => {
    const id = `w-${place}-${generation}`;
    const startedAt = Math.round(wallNow());
    const version = versionOf(place);
    const process = await processes.startWorker(
      {
        ...{ id, service: SERVICE, version, startedAt },
        answerTime: ANSWER_TIME,
        crashesOn: CRASHING_BODY,
      },
      record,
    );
    const link = await openLinkProxy(process.address);
    const worker: WorkerPlace = {
      generation,
      id,
      startedAt,
      state: "ready",
      process,
      link,
      endLimit: () => undefined,
    };
    workers[place] = worker;
    writeEntry(worker, place);
    void process.waitForExit().then(() => replaceEnded(place, worker));
    return worker;
  };
  const replaceEnded = async (place: number, ended: WorkerPlace): Promise<void> => {
    ended.endLimit();
    await sleep(systemClock, ENTRY_REMOVAL_DELAY);
    platform.remove("servers", ended.id);
    await ended.link.close();
    await sleep(systemClock, REPLACEMENT_DELAY - ENTRY_REMOVAL_DELAY);
    if (!hasClosed()) await startWorker(place, ended.generation + 1);
  };
  const writeEntry = (worker: WorkerPlace, place: number): void =>
    platform.put("servers", worker.id, workerEntry(worker, place));
  const workerEntry = ({ link, state, startedAt }: WorkerPlace, place: number): object => ({
    service: SERVICE,
    address: link.address,
    zone: zoneOf(place),
    version: versionOf(place),
    slots: SLOTS,
    state,
    cold_remaining_ms: 0,
    sequence: 1,
    born: startedAt,
  });
  const workerAt = (place: number): WorkerPlace => atPlace(workers, place);
  const instanceAt = (place: number): InstancePlace => atPlace(instances, place);

  const addInstance = async (place: number, seed: string): Promise<void> => {
    const listen = reserveListenAddresses();
    const link = await openLinkProxy(platform.address);
    const settings = createSettings(place, { listen, seed, store: link.address, platform });
    record.addInstance(settings.name, listen.callers);
    const process = processes.startInstance(settings);
    instances.push({ listen, link, settings, process });
  };
  const keepLog = ({ settings, process }: InstancePlace): void => {
    const before = logs.get(settings.name) ?? [];
    logs.set(settings.name, [...before, ...process.lastLines]);
  };
  await Promise.all(Array.from({ length: plan.workers }, (_, place) => startWorker(place, 0)));
  for (let place = 0; place < plan.instances; place++) {
    await addInstance(place, instances[0]?.listen.peers ?? "");
  }
  return {
    places: instances.map((_, place) => place),
    listenAddresses: instances.map(({ listen }) => listen),
    resolvers: instances.map(({ listen }) => listen.resolve),
    instanceAddress: (place) => instanceAt(place).listen.callers,
    processId: (place) => instanceAt(place).process.pid,
    storeLink: (place) => instanceAt(place).link,
    workerId: (place) => workerAt(place).id,
    workerLink: (place) => workerAt(place).link,
    killInstance: async (place) => {
      const { process } = instanceAt(place);
      process.signal("SIGKILL");
      await process.waitForExit();
    },
    stopInstance: async (place) => {
      const { process, listen } = instanceAt(place);
      if (process.hasEnded) return;
      const endStop = record.startStop(listen.callers);
      process.signal("SIGTERM");
      const killTimer = systemClock.after(GRACE, () => process.signal("SIGKILL"));
      await process.waitForExit();
      killTimer.close();
      endStop();
    },
    restartInstance: (place) => {
      const instance = instanceAt(place);
      if (!instance.process.hasEnded || hasClosed()) return;
      keepLog(instance);
      instance.process = processes.startInstance(instance.settings);
    },
    signalInstance: (place, signal) => instanceAt(place).process.signal(signal),
    killWorker: (place) => workerAt(place).process?.signal("SIGKILL"),
    signalWorker: (place, signal) => workerAt(place).process?.signal(signal),
    setWorkerBehavior: (place, command) => {
      const worker = workerAt(place);
      worker.process?.send({ ...NORMAL_BEHAVIOR, ...command });
      worker.endLimit();
      worker.endLimit =
        command.limit === undefined ? () => undefined : record.startLimit(worker.id, command.limit);
    },
    replaceWorker: async (place) => {
      const worker = workerAt(place);
      if (worker.process?.hasEnded !== false) return;
      worker.state = "draining";
      writeEntry(worker, place);
      const endDraining = record.startDraining(worker.id);
      await endAfterDrain(worker.process);
      endDraining();
    },
    replaceAnnouncingWorker: async (place) => {
      const { process } = workerAt(place);
      if (process?.hasEnded !== false) return;
      process.send({ ...NORMAL_BEHAVIOR, isLeaving: true });
      await endAfterDrain(process);
    },
    writeEntriesAgain: async () => {
      const isLive = ({ process }: WorkerPlace): boolean => process?.hasEnded === false;
      for (const [place, worker] of workers.entries())
        if (isLive(worker)) writeEntry(worker, place);
      await sleep(systemClock, ENTRY_REMOVAL_DELAY);
      const liveIds = new Set(workers.filter(isLive).map(({ id }) => id));
      for (const id of platform.names("servers"))
        if (!liveIds.has(id)) platform.remove("servers", id);
    },
    waitUntilReady: async () => {
      for (const { listen, process, settings } of instances) {
        while (!(await isReadyAt(listen.ready))) {
          const lastLines = process.lastLines.slice(-QUOTED_LOG_LINES).join("\n");
          if (process.hasEnded)
            throw new Error(`${settings.name} ended during its start: ${lastLines}`);
          await sleep(systemClock, READY_POLL_INTERVAL);
        }
      }
    },
    sampleProcesses: () =>
      instances.flatMap(({ listen, process }) => {
        const usage = process.resourceUsage();
        if (usage === undefined) return [];
        return [{ instance: listen.callers, at: wallNow(), lines: process.lineCount, ...usage }];
      }),
    logs: () => {
      for (const instance of instances) keepLog(instance);
      return logs;
    },
    close: async () => {
      isClosed = true;
      const links = [...workers, ...instances].map(({ link }) => link);
      await Promise.all(links.map((link) => link.close()));
    },
  };
}

async function endAfterDrain(worker: WorkerProcess): Promise<void> {
  await sleep(systemClock, BOUNDS.drain + DRAIN_MARGIN);
  worker.signal("SIGKILL");
}

function atPlace<T>(all: readonly T[], place: number): T {
  const item = all[place % all.length];
  if (item === undefined) throw new Error("the fleet is empty");
  return item;
}

function zoneOf(place: number): string {
  return `zone-${place % ZONES}`;
}

function createSettings(
  place: number,
  {
    listen,
    seed,
    store,
    platform,
  }: { listen: ListenAddresses; seed: string; store: string; platform: PlatformStandin },
): InstanceSettings {
  return {
    name: `edge-${place}`,
    zone: zoneOf(place),
    region: "region",
    listen,
    seeds: seed === "" ? [listen.peers] : [seed],
    platform: { store, cloud: platform.address },
    resolveLife: "2s",
    grace: `${GRACE}ms`,
    repeats: {
      ratio: BOUNDS.repeats.ratio,
      slack: BOUNDS.repeats.slack,
      window: `${BOUNDS.repeats.window}ms`,
    },
    usage: { window: "2s", lateAfter: "4s" },
    leaseTerm: "3s",
  };
}

/** Returns the version of the backend servers at a place: both versions serve side by side. */
function versionOf(place: number): string {
  return VERSIONS[place % VERSIONS.length] ?? VERSIONS[0];
}
