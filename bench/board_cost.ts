import { createWorkerHealth, createWorkerLimits, rankWorkers } from "../src/decision/index.ts";
import { Purchase } from "../src/interface/index.ts";
import type { RoutedWorker } from "../src/interface/index.ts";
import { createRoutedWorkerTable } from "../src/process/routed_worker_table.ts";
import { systemClock } from "../src/process/system_clock.ts";
import { systemRandom } from "../src/process/system_random.ts";
import { hashText } from "../src/version/index.ts";
import type { RoutedService } from "../src/version/index.ts";

/** Workers of the service that is asked for, beside twice as many of another. */
const SIZES = [13, 46, 257, 770] as const;
const INSTANCES = 63;
const ROUNDS = 2_000;
const MICROSECONDS = 1_000;
/** Every third worker is of the service that is asked for. */
const OTHERS = 3;

const SERVICE: RoutedService = {
  name: "asked",
  maxConnections: 600,
  scaling: undefined,
  engine: {},
} as RoutedService;
const PARTS = [
  { id: "a", tokens: 800 },
  { id: "b", tokens: 5_000 },
  { id: "c", tokens: 200 },
];

function workerAt(index: number): RoutedWorker {
  return {
    id: `i-${index}`,
    born: 1,
    service: index % OTHERS === 0 ? SERVICE.name : "other",
    address: "127.0.0.1:1",
    zone: index % 2 === 0 ? "a" : "b",
    version: "v1",
    slots: 8,
    purchase: Purchase.Reclaimable,
    isLeaving: false,
    leavesIn: undefined,
    coldFor: 0,
  };
}

/** How old the others' news are in a fleet of that size, in milliseconds. */
const NEWS_AGE = 400;

/** Prints what the choice of a worker costs a request, by the number of workers, beside 62 other instances. */
function main(): void {
  for (const count of SIZES) {
    const board = createRoutedWorkerTable({
      time: () => systemClock.now(),
      limits: createWorkerLimits({ time: () => systemClock.now(), self: 1, instances: () => [1] }),
      clock: systemClock,
      random: systemRandom,
      zone: "a",
      health: createWorkerHealth(),
      members: () => INSTANCES,
      newsAge: () => NEWS_AGE,
      onBegin: () => undefined,
    });
    const workers = Array.from({ length: count * OTHERS }, (_, index) => workerAt(index));
    board.setWorkers(workers);
    const use = new Map(
      workers.map(({ id }) => [
        hashText(id),
        { running: 1, unreadTokens: 64, runs: 3, failures: 0 },
      ]),
    );
    for (let other = 1; other < INSTANCES; other++)
      board.updateOccupancy(`e${other}`, { workerCounts: use, isSnapshot: true });
    const choose = (): void => {
      const { workers: few, homes } = board.sample(SERVICE, PARTS);
      rankWorkers(few, {
        request: { parts: PARTS },
        speed: board.speed(SERVICE),
        random: systemRandom,
        homes,
      });
    };
    console.log(JSON.stringify({ workers: count, microseconds: microseconds(choose) }));
  }
}

function microseconds(run: () => void): number {
  for (let round = 0; round < ROUNDS; round++) run();
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) run();
  return Math.round(((performance.now() - startedAt) * MICROSECONDS) / ROUNDS);
}

main();
