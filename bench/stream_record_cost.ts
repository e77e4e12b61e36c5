/**
 * Measures what the records of streams in the store cost, by the size of the fleet and the number of versions in service.
 *
 * For each case, the benchmark starts built entry instances with stand-ins of the platform and of workers, begins streams
 * at all instances at a constant rate, and counts the calls of the store and the instances' processor time. It prints one
 * JSON object for each case. Run `node build.mjs platform` first.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setTimeout } from "node:timers/promises";
import { configuration, reserveListenAddresses } from "../platform/testing/entry_fleet.ts";
import { startPlatformStandin } from "../platform/testing/platform_standin.ts";
import type { StoreCall } from "../platform/testing/platform_standin.ts";
import { readStream } from "../platform/testing/stream_caller.ts";
import { startWorkerStandin } from "../platform/testing/worker_standin.ts";
import { createSoakProcesses } from "./soak/processes.ts";
import type { InstanceProcess } from "./soak/processes.ts";

/** A fleet to measure. */
interface Case {
  readonly instances: number;
  readonly versions: readonly string[];
  readonly streamRecords: "memory" | "stored";
}

const FLEET_SIZES = [3, 6, 9, 14];
/** Versions of the workers, of which there are four of each. */
const VERSIONS = [["v1"], ["v1", "v2"]];
const WORKERS_PER_VERSION = 4;
const SLOTS = 64;
/** Streams that begin at each instance in a second. */
const STREAM_RATE = 5;
/** Milliseconds before the measurement and of the measurement. */
const WARM_UP_TIME = 4_000;
const MEASURED_TIME = 10_000;
/** Unit of the processor times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the processor time that a process has used, in seconds. */
function processorSeconds({ pid }: InstanceProcess): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Returns calls and bytes of a second, of all instances together. */
function rates(calls: readonly StoreCall[]): object {
  const seconds = MEASURED_TIME / MILLISECONDS_PER_SECOND;
  const writes = calls.filter(({ method }) => method !== "GET");
  const records = calls.filter(({ target }) => target.includes("streams"));
  const bytesOf = (some: readonly StoreCall[]): number =>
    Math.round(some.reduce((sum, { bytes }) => sum + bytes, 0) / seconds);
  return {
    writes: writes.length / seconds,
    reads: (calls.length - writes.length) / seconds,
    recordWrites: records.filter(({ method }) => method !== "GET").length / seconds,
    recordReads: records.filter(({ method }) => method === "GET").length / seconds,
    recordBytes: bytesOf(records),
    bytes: bytesOf(calls),
  };
}

async function measure({ instances: count, versions, streamRecords }: Case): Promise<void> {
  const processes = await createSoakProcesses();
  const platform = await startPlatformStandin();
  const places = Array.from({ length: WORKERS_PER_VERSION }, (_, place) => place);
  const workers = await Promise.all(
    versions.flatMap((version) =>
      places.map((place) => startWorkerStandin(`i-${version}-${place}`, "desk", { version })),
    ),
  );
  for (const worker of workers) platform.put("servers", worker.id, worker.entry({ slots: SLOTS }));
  platform.put("config", "main", configuration(1));
  const listens = Array.from({ length: count }, reserveListenAddresses);
  const instances = listens.map((listen, place) =>
    processes.startInstance({
      name: `edge-${place}`,
      zone: `zone-${place % 3}`,
      region: "region",
      listen,
      seeds: listens.slice(0, 1).map(({ peers }) => peers),
      platform: { store: platform.address, cloud: platform.address },
      resolveLife: "2s",
      grace: "4500ms",
      repeats: { ratio: 0.2, slack: 50, window: "10s" },
      usage: { window: "2s", lateAfter: "4s" },
      leaseTerm: "3s",
      ...(streamRecords === "stored" ? { streamRecords } : {}),
    }),
  );
  let sent = 0;
  const sendStreams = async (duration: number): Promise<void> => {
    const until = performance.now() + duration;
    while (performance.now() < until) {
      const callers = listens[sent++ % count]?.callers ?? "";
      void readStream({ settings: { listen: { callers } } }, { id: `s-${sent}` });
      await setTimeout(MILLISECONDS_PER_SECOND / (STREAM_RATE * count));
    }
  };
  await setTimeout(WARM_UP_TIME);
  await sendStreams(WARM_UP_TIME);
  const before = { calls: platform.calls.length, used: instances.map(processorSeconds), sent };
  await sendStreams(MEASURED_TIME);
  const used = instances.map(
    (instance, index) => processorSeconds(instance) - (before.used[index] ?? 0),
  );
  const total = used.reduce((sum, seconds) => sum + seconds, 0);
  const seconds = MEASURED_TIME / MILLISECONDS_PER_SECOND;
  const result = {
    instances: count,
    versions: versions.length,
    streamRecords,
    streams: (sent - before.sent) / seconds,
    cores: Number((total / count / seconds).toFixed(4)),
    ...rates(platform.calls.slice(before.calls)),
  };
  console.log(JSON.stringify(result));
  await processes.close();
  await Promise.all(workers.map((worker) => worker.close()));
  await platform.close();
}

for (const instances of FLEET_SIZES)
  for (const versions of VERSIONS)
    for (const streamRecords of ["memory", "stored"] as const)
      await measure({ instances, versions, streamRecords });
