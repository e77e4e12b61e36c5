/**
 * The platform and the backend servers of the bench, as a process of their own.
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

/** What the bench is told once all listen. */
export interface StandinsReady {
  readonly platform: string;
  /** `http://IP:PORT` of the backend servers that answer at once. */
  readonly quick: readonly string[];
}

const LISTEN = "127.0.0.1:0";
/** Longer than the bench: these requests stand. */
const STANDING_TOKEN_TIME = 3_600_000;

async function startWorkers(service: BenchService): Promise<Worker[]> {
  const workers: Worker[] = [];
  for (let index = 0; index < WORKERS; index++) {
    const tokenTime = service === BenchService.Quick ? 0 : STANDING_TOKEN_TIME;
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
const standing = await startWorkers(BenchService.Held);
const platform = await startPlatform({
  listen: LISTEN,
  clock: systemClock,
  workers: [...quick, ...standing],
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
