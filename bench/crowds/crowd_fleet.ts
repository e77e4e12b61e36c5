/**
 * One built entry instance as a process, with sound workers and the platform stand-in, on a machine with small limits.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { configuration, reserveListenAddresses } from "../../platform/testing/entry_fleet.ts";
import type { ListenAddresses } from "../../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../../platform/testing/platform_standin.ts";
import { sleep } from "../../src/interface/index.ts";
import { systemClock } from "../../src/process/system_clock.ts";
import { isReadyAt } from "../soak/callers.ts";
import { createSoakProcesses } from "../soak/processes.ts";
import type { InstanceProcess } from "../soak/processes.ts";
import { startPacedWorker } from "../stops/paced_worker.ts";
import type { PacedRun } from "../stops/paced_worker.ts";
import { watchUsage } from "./usage.ts";
import type { UsagePeaks } from "./usage.ts";

/** Size of the machine in these tests, as in the instance's settings. */
export const MACHINE = {
  /** Bytes. */
  memory: 192_000_000,
  /** File descriptors. */
  descriptors: 400,
} as const;
/** Limits of the configuration on what a caller may send. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
} as const;

/** The fleet of one test. */
export interface CrowdFleet {
  readonly listen: ListenAddresses;
  readonly process: InstanceProcess;
  /** The most memory and descriptors that the instance has had since it became ready. */
  readonly peaks: UsagePeaks;
  /** Writes the instance's log to `dist/crowds` under this name and closes everything. */
  close(name: string): Promise<void>;
}

/** Maximum size of the heap in megabytes, in the proportion of `deploy/system.toml`. */
const HEAP = 120;
const WORKERS = 2;
const SERVICE = "desk";
/** Timeout of all routes, in milliseconds: no request of these tests reaches it. */
const ROUTE_TIMEOUT = 60_000;
/** Milliseconds. */
const READY_POLL_INTERVAL = 20;

/** Options of {@linkcode startCrowdFleet}. */
export interface CrowdFleetOptions {
  /** Size of the machine; by default {@linkcode MACHINE}. */
  readonly machine?: { readonly memory: number; readonly descriptors: number };
  /** Called at the start of each run at a worker. */
  readonly onRun?: (run: PacedRun) => void;
}

/** Starts the platform, the workers and the instance, and waits until it is ready. */
export async function startCrowdFleet({
  machine = MACHINE,
  onRun = () => undefined,
}: CrowdFleetOptions = {}): Promise<CrowdFleet> {
  const platform = await startPlatformStandin();
  const processes = await createSoakProcesses();
  const workers = await Promise.all(
    Array.from({ length: WORKERS }, (_, index) => startPacedWorker(`w-${index}`, SERVICE, onRun)),
  );
  for (const worker of workers) platform.put("servers", worker.id, worker.entry());
  platform.put("config", "main", crowdConfiguration());
  const listen = reserveListenAddresses();
  const settings = {
    name: "edge-0",
    zone: "zone-a",
    region: "region",
    listen,
    seeds: [listen.peers],
    platform: { store: platform.address, cloud: platform.address },
    resolveLife: "2s",
    grace: "8s",
    repeats: { ratio: 0.2, slack: 50, window: "10s" },
    usage: { window: "5s", lateAfter: "5s" },
    leaseTerm: "3s",
    machine: { memory: `${machine.memory}B`, descriptors: machine.descriptors },
  };
  const instance = processes.startInstance(settings, {
    nodeArguments: [`--max-old-space-size=${HEAP}`],
  });
  while (!(await isReadyAt(listen.ready))) {
    if (instance.hasEnded) throw new Error("the instance ended during its start");
    await sleep(systemClock, READY_POLL_INTERVAL);
  }
  const usage = watchUsage(instance);
  return {
    listen,
    process: instance,
    peaks: usage.peaks,
    close: async (name) => {
      usage.close();
      writeFileSync(`dist/crowds/${name}.log`, instance.lastLines.join("\n"));
      await processes.close();
      await Promise.all(workers.map((worker) => worker.close()));
      await platform.close();
    },
  };
}

function crowdConfiguration(): object {
  const base = configuration(1) as {
    readonly routes: readonly object[];
    readonly services: readonly object[];
  };
  return {
    ...base,
    limits: LIMITS,
    routes: base.routes.map((route) => ({ ...route, timeout_ms: ROUTE_TIMEOUT })),
    services: base.services.map((service) => ({ ...service, max_connections: 60 })),
  };
}
