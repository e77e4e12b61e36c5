/**
 * Entry instances as processes, with sound workers and the platform stand-in.
 *
 * @module
 */
import { configuration, reserveListenAddresses } from "../../platform/testing/entry_fleet.ts";
import type { ListenAddresses } from "../../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../../platform/testing/platform_standin.ts";
import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { isReadyAt } from "../soak/callers.ts";
import { wallNow } from "../soak/observation.ts";
import { createSoakProcesses } from "../soak/processes.ts";
import type { InstanceProcess, InstanceSettings, SoakProcesses } from "../soak/processes.ts";
import { GRACE, judge } from "./judge.ts";
import type { Judgement, Stop, StopRequest } from "./judge.ts";
import { startPacedWorker } from "./paced_worker.ts";
import type { PacedRun, PacedWorker } from "./paced_worker.ts";

/** An instance with its current process. */
export interface StopInstance {
  readonly name: string;
  readonly listen: ListenAddresses;
  process: InstanceProcess;
}

/** Last log line of an instance that names a request. */
export interface RequestLine {
  readonly step: string;
  readonly reason?: string;
  readonly isCut?: boolean;
  readonly runs?: number;
  /** What of the response had left the process when it closed. */
  readonly end?: string;
}

/** The fleet of one run. */
export interface StopFleet {
  readonly platform: PlatformStandin;
  readonly workers: readonly PacedWorker[];
  readonly instances: readonly StopInstance[];
  /** Sends SIGTERM to an instance and waits until its process has ended; kills it after the grace period. */
  stop(index: number): Promise<void>;
  /** Starts a stopped instance again and waits until it is ready. */
  restart(index: number): Promise<void>;
  /** Records a request whose answer has ended. */
  record(request: StopRequest): void;
  /** Writes a configuration with another version and route timeout. */
  writeConfiguration(version: number): void;
  judgements(): Judgement[];
  /** Returns the last log line for a request; undefined if no instance logged any. */
  lastLine(id: string): RequestLine | undefined;
  /** Number of instances that had to be killed after the grace period. */
  readonly kills: number;
  close(): Promise<void>;
}

const SERVICE = "desk";
const INSTANCES = 4;
const WORKERS = 4;
/** Timeout of all routes, in milliseconds. */
const ROUTE_TIMEOUT = 20_000;
/** Milliseconds. */
const READY_POLL_INTERVAL = 20;
/** Time in which the last lines of an ended process are read from its pipe, in milliseconds. */
const PIPE_READ_TIME = 200;

/** Starts the platform, workers and instances, and waits until all instances are ready. */
export async function startStopFleet(): Promise<StopFleet> {
  const platform = await startPlatformStandin();
  const processes = await createSoakProcesses();
  const runs = new Map<string, PacedRun[]>();
  const requests: StopRequest[] = [];
  const stops = new Map<number, Stop>();
  const lines = new Map<string, RequestLine>();
  let kills = 0;
  const addRun = (run: PacedRun): void => void runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  const workers: PacedWorker[] = [];
  for (let index = 0; index < WORKERS; index++) {
    const worker = await startPacedWorker(`w-${index}`, SERVICE, addRun);
    workers.push(worker);
    platform.put("servers", worker.id, worker.entry());
  }
  const writeConfiguration = (version: number): void =>
    platform.put("config", "main", stopConfiguration(version));
  writeConfiguration(1);
  const readLine = (line: string): void => {
    const context = requestLine(line);
    if (context !== undefined) lines.set(context.request, context);
  };
  const instances = startInstances(processes, { platform, readLine });
  const waitUntilReady = async ({ listen, process, name }: StopInstance): Promise<void> => {
    while (!(await isReadyAt(listen.ready))) {
      if (process.hasEnded) throw new Error(`${name} ended during its start`);
      await sleep(systemClock, READY_POLL_INTERVAL);
    }
  };
  const instanceAt = (index: number): StopInstance => {
    const instance = instances[index % instances.length];
    if (instance === undefined) throw new Error("the fleet is empty");
    return instance;
  };
  await Promise.all(instances.map(waitUntilReady));
  return {
    platform,
    workers,
    instances,
    stop: async (index) => {
      const { process } = instanceAt(index);
      stops.set(process.pid, { pid: process.pid, at: wallNow() });
      process.signal("SIGTERM");
      const killTimer = systemClock.after(GRACE, () => {
        kills++;
        process.signal("SIGKILL");
      });
      await process.waitForExit();
      killTimer.close();
      await sleep(systemClock, PIPE_READ_TIME);
    },
    restart: async (index) => {
      const instance = instanceAt(index);
      const settings = instanceSettings(instance, { platform, seed: seedOf(instances) });
      instance.process = processes.startInstance(settings, { onLine: readLine });
      await waitUntilReady(instance);
    },
    record: (request) => void requests.push(request),
    writeConfiguration,
    judgements: () =>
      requests.map((request) =>
        judge(request, { runs: runs.get(request.id) ?? [], stop: stops.get(request.pid) }),
      ),
    lastLine: (id) => lines.get(id),
    get kills() {
      return kills;
    },
    close: async () => {
      await processes.close();
      await Promise.all(workers.map((worker) => worker.close()));
      await platform.close();
    },
  };
}

function startInstances(
  processes: SoakProcesses,
  options: { readonly platform: PlatformStandin; readonly readLine: (line: string) => void },
): StopInstance[] {
  const { platform, readLine } = options;
  const places = Array.from({ length: INSTANCES }, (_, index) => ({
    name: `edge-${index}`,
    listen: reserveListenAddresses(),
  }));
  return places.map((place) => {
    const settings = instanceSettings(place, { platform, seed: seedOf(places) });
    return { ...place, process: processes.startInstance(settings, { onLine: readLine }) };
  });
}

function seedOf(places: readonly Pick<StopInstance, "listen">[]): string {
  return places[0]?.listen.peers ?? "";
}

function instanceSettings(
  { name, listen }: Pick<StopInstance, "name" | "listen">,
  { platform, seed }: { readonly platform: PlatformStandin; readonly seed: string },
): InstanceSettings {
  return {
    name,
    zone: "zone-a",
    region: "region",
    listen,
    seeds: [seed],
    platform: { store: platform.address, cloud: platform.address },
    resolveLife: "2s",
    grace: `${GRACE}ms`,
    repeats: { ratio: 0.2, slack: 50, window: "10s" },
    usage: { window: "5s", lateAfter: "5s" },
    leaseTerm: "3s",
  };
}

/** Returns a configuration whose routes and services allow long answers and many connections. */
function stopConfiguration(version: number): object {
  const base = configuration(version) as {
    readonly routes: readonly object[];
    readonly services: readonly object[];
  };
  return {
    ...base,
    routes: base.routes.map((route) => ({ ...route, timeout_ms: ROUTE_TIMEOUT })),
    services: base.services.map((service) => ({ ...service, max_connections: 400 })),
  };
}

function requestLine(line: string): (RequestLine & { readonly request: string }) | undefined {
  if (!line.includes('"request":"')) return undefined;
  const { context } = JSON.parse(line) as {
    readonly context?: RequestLine & { readonly request: string };
  };
  return context;
}
