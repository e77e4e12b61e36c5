/**
 * Child process that runs stand-ins of the platform and of the backend servers for the benchmark.
 *
 * @module
 */
import { createHttpObjectStore } from "../src/connection/index.ts";
import { Purchase, WorkerState } from "../src/interface/index.ts";
import type { Worker } from "../src/interface/index.ts";
import { systemClock } from "../src/process/index.ts";
import { startBackend, startPlatform } from "../src/standin/index.ts";
import { formatRevision, REVISION_KEY } from "../src/version/index.ts";
import { serveParent } from "./child.ts";
import { BENCH_DEPLOYMENT, BenchService, WORKERS } from "./deployment.ts";

/** Ready value: sent to the benchmark when all stand-ins listen. */
export interface StandinsReady {
  /** Address of the platform stand-in. */
  readonly platform: string;
  /** `http://IP:PORT` of each backend server that answers at once. */
  readonly quick: readonly string[];
}

const LISTEN = "127.0.0.1:0";
/** Time per token of the held requests, in milliseconds; longer than the benchmark runs. */
const HELD_TOKEN_TIME = 3_600_000;

async function startWorkers(service: BenchService): Promise<Worker[]> {
  const workers: Worker[] = [];
  for (let index = 0; index < WORKERS; index++) {
    const tokenTime = service === BenchService.Quick ? 0 : HELD_TOKEN_TIME;
    const backend = await startBackend({ listen: LISTEN, clock: systemClock, tokenTime });
    workers.push({
      id: `${service}-${index}`,
      address: `http://${backend.address}`,
      service,
      zone: "local-a",
      machineClass: "standard",
      purchase: Purchase.OnDemand,
      state: WorkerState.Live,
    });
  }
  return workers;
}

const quick = await startWorkers(BenchService.Quick);
const held = await startWorkers(BenchService.Held);
const platform = await startPlatform({
  listen: LISTEN,
  clock: systemClock,
  workers: [...quick, ...held],
});
const store = createHttpObjectStore(platform.address);
const revision = formatRevision({ source: BENCH_DEPLOYMENT, preset: "day", changes: [] });
await store.put(REVISION_KEY, revision, { expect: 0 });
store.close();
const ready: StandinsReady = {
  platform: platform.address,
  quick: quick.map(({ address }) => address),
};
serveParent(ready, () => platform.close());
