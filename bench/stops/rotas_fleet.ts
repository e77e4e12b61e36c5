/**
 * The fleet of the row `rotas`: six instances as processes in four zones, workers of two services and the platform.
 * It keeps all that is known of each request.
 *
 * @module
 */
import { reserveListenAddresses } from "../../platform/testing/entry_fleet.ts";
import type { ListenAddresses } from "../../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../../platform/testing/platform_standin.ts";
import type { PlatformStandin } from "../../platform/testing/platform_standin.ts";
import { sleep } from "../../src/interface/index.ts";
import type { Random } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { isReadyAt } from "../soak/callers.ts";
import { wallNow } from "../soak/observation.ts";
import { createSoakProcesses } from "../soak/processes.ts";
import type { InstanceProcess, InstanceSettings, SoakProcesses } from "../soak/processes.ts";
import { GRACE } from "./judge.ts";
import {
  ENGINE,
  PLAIN,
  ROTA_REGION,
  ROTA_ZONES,
  rotaConfiguration,
  RotaService,
} from "./rotas_site.ts";
import { startRotaWorker } from "./rotas_worker.ts";
import type { RotaRun, RotaWorker, RotaWorkerPlace } from "./rotas_worker.ts";

/** An instance with its current process. */
export interface RotaInstance {
  readonly name: string;
  readonly zone: string;
  readonly listen: ListenAddresses;
  process: InstanceProcess;
}

/** A life of an instance's process. Times are in milliseconds since 1970. */
export interface RotaLife {
  readonly instance: string;
  readonly pid: number;
  readonly startedAt: number;
  /** When SIGTERM was sent; undefined if it wasn't. */
  stoppedAt: number | undefined;
  endedAt: number | undefined;
  exitCode: number | null;
  isKilled: boolean;
  /** All log lines, and what it wrote besides. */
  readonly lines: LoggedLine[];
}

/** A line of an instance's output with the time at which it was read. */
export interface LoggedLine {
  readonly at: number;
  readonly text: string;
}

/** The fleet. */
export interface RotaFleet {
  readonly platform: PlatformStandin;
  readonly instances: readonly RotaInstance[];
  readonly workers: readonly RotaWorker[];
  readonly lives: readonly RotaLife[];
  readonly runs: ReadonlyMap<string, readonly RotaRun[]>;
  /** Sends SIGTERM to an instance, waits for its end (it is killed after the grace period), and starts it again. */
  stopAndRestart(index: number): Promise<void>;
  startWorker(place: RotaWorkerPlace): Promise<RotaWorker>;
  /** Ends a worker and forgets it. */
  endWorker(worker: RotaWorker): Promise<void>;
  close(): Promise<void>;
}

/** Milliseconds. */
const READY_POLL_INTERVAL = 20;
/** Number of instances whose addresses are seeds. */
const SEEDS = 3;

/** Starts everything and waits until all instances are ready. */
export async function startRotaFleet(random: Random): Promise<RotaFleet> {
  const platform = await startPlatformStandin();
  const processes = await createSoakProcesses();
  const runs = new Map<string, RotaRun[]>();
  const lives: RotaLife[] = [];
  const workers: RotaWorker[] = [];
  const onRun = (run: RotaRun): void => void runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  const startWorker = async (place: RotaWorkerPlace): Promise<RotaWorker> => {
    const worker = await startRotaWorker(place, { random, onRun });
    workers.push(worker);
    platform.put("servers", worker.id, worker.entry());
    return worker;
  };
  for (const place of workerPlaces()) await startWorker(place);
  platform.put("config", "main", rotaConfiguration(1));
  const places = instancePlaces();
  const seeds = places.slice(0, SEEDS).map(({ listen }) => listen.peers);
  const start = (place: Omit<RotaInstance, "process">): InstanceProcess =>
    startLife(processes, { settings: settingsOf(place, { platform, seeds }), lives });
  const instances = places.map((place) => ({ ...place, process: start(place) }));
  const waitUntilReady = async ({ listen, process, name }: RotaInstance): Promise<void> => {
    while (!(await isReadyAt(listen.ready))) {
      if (process.hasEnded) throw new Error(`${name} ended during its start`);
      await sleep(systemClock, READY_POLL_INTERVAL);
    }
  };
  await Promise.all(instances.map(waitUntilReady));
  return {
    platform,
    instances,
    workers,
    lives,
    runs,
    stopAndRestart: async (index) => {
      const instance = instances[index];
      if (instance === undefined) throw new Error(`there is no instance ${index}`);
      await stopLife(instance.process, lives);
      instance.process = start(instance);
      await waitUntilReady(instance);
    },
    startWorker,
    endWorker: async (worker) => {
      workers.splice(workers.indexOf(worker), 1);
      platform.remove("servers", worker.id);
      await worker.close();
    },
    close: async () => {
      await processes.close();
      await Promise.all(workers.map((worker) => worker.close()));
      await platform.close();
    },
  };
}

function startLife(
  processes: SoakProcesses,
  { settings, lives }: { readonly settings: InstanceSettings; readonly lives: RotaLife[] },
): InstanceProcess {
  const lines: LoggedLine[] = [];
  const startedAt = wallNow();
  const onLine = (text: string): void => {
    lines.push({ at: wallNow(), text });
  };
  const process = processes.startInstance(settings, { onLine });
  const life: RotaLife = {
    instance: settings.name,
    pid: process.pid,
    startedAt,
    stoppedAt: undefined,
    endedAt: undefined,
    exitCode: null,
    isKilled: false,
    lines,
  };
  lives.push(life);
  void process.waitForExit().then(() => {
    life.endedAt = wallNow();
    life.exitCode = process.exitCode;
  });
  return process;
}

async function stopLife(process: InstanceProcess, lives: readonly RotaLife[]): Promise<void> {
  const life = lives.find(({ pid }) => pid === process.pid);
  if (life === undefined) throw new Error("the process has no life");
  life.stoppedAt = wallNow();
  process.signal("SIGTERM");
  const killTimer = systemClock.after(GRACE, () => {
    life.isKilled = true;
    process.signal("SIGKILL");
  });
  await process.waitForExit();
  killTimer.close();
}

function workerPlaces(): RotaWorkerPlace[] {
  return ROTA_ZONES.flatMap(({ name: zone }) => [
    ...Array.from({ length: ENGINE.workersPerZone }, (_, index) => ({
      id: `lm-${zone}-${index}`,
      service: RotaService.Engine,
      zone,
      slowness: ENGINE.slowness[index % ENGINE.slowness.length] ?? 1,
    })),
    ...Array.from({ length: PLAIN.workersPerZone }, (_, index) => ({
      id: `app-${zone}-${index}`,
      service: RotaService.Plain,
      zone,
      slowness: 1,
    })),
  ]);
}

function instancePlaces(): Omit<RotaInstance, "process">[] {
  return ROTA_ZONES.flatMap(({ name: zone, instances }) =>
    Array.from({ length: instances }, (_, index) => ({
      name: `edge-${zone}-${index + 1}`,
      zone,
      listen: reserveListenAddresses(),
    })),
  );
}

/** Returns the settings that the deployment's template gives. */
function settingsOf(
  { name, zone, listen }: Omit<RotaInstance, "process">,
  { platform, seeds }: { readonly platform: PlatformStandin; readonly seeds: readonly string[] },
): InstanceSettings {
  return {
    name,
    zone,
    region: ROTA_REGION,
    listen,
    seeds,
    platform: { store: platform.address, cloud: platform.address },
    resolveLife: "5s",
    grace: `${GRACE}ms`,
    repeats: { ratio: 0.2, slack: 52, window: "10s" },
    usage: { window: "5s", lateAfter: "10s" },
    leaseTerm: "3000ms",
    placement: { workerSpeeds: "measured", longPrompts: "separated" },
    processor: { share: 0.675, cores: 1 },
  };
}
