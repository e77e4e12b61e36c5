import { expect, test } from "vitest";
import { createSeededRandom } from "../interface/index.ts";
import { hashText } from "../version/index.ts";
import { sampleWorkers } from "./candidate_workers.ts";
import { rankWorkers } from "./worker_ranking.ts";
import type { RankedWorker } from "./worker_ranking.ts";

const TIMING = { prefillRate: 100, runTime: 800 };
/** Milliseconds between two digests, and milliseconds that a run takes. */
const DIGEST_INTERVAL = 400;
const RUN_TIME = 800;
const STEP = 10;

const SLOTS = 12;

interface Load {
  readonly instances: number;
  readonly workers: number;
  readonly perSecond: number;
}

/**
 * Simulates requests at many instances that all use the same outdated load data.
 *
 * @returns `busiest` is the busiest worker's number of requests divided by the mean; `overfull` is
 * the fraction of requests that found no free slot.
 */
function simulate(load: Load): { busiest: number; overfull: number } {
  const { workers, perSecond, instances } = load;
  const random = createSeededRandom(7);
  const ids = Array.from({ length: workers }, (_, index) => `w${index}`);
  const running = new Map(ids.map((id) => [id, 0]));
  const ends: { at: number; id: string }[] = [];
  let reportedRuns = new Map(running);
  /** The runs that each instance has started since the last digest, by worker. */
  let startedSinceDigest = Array.from({ length: instances }, () => new Map<string, number>());
  const requestsByWorker = new Map<string, number>();
  let pendingRequests = 0;
  let overfull = 0;
  let total = 0;
  for (let now = 0; now < 12_000; now += STEP) {
    if (now % DIGEST_INTERVAL === 0) {
      reportedRuns = new Map(running);
      startedSinceDigest = startedSinceDigest.map(() => new Map<string, number>());
    }
    while ((ends[0]?.at ?? Infinity) <= now) {
      const { id = "" } = ends.shift() ?? {};
      running.set(id, (running.get(id) ?? 0) - 1);
    }
    pendingRequests += (perSecond * STEP) / 1_000;
    for (; pendingRequests >= 1; pendingRequests--) {
      const ownRuns =
        startedSinceDigest[Math.floor(random.next() * instances)] ?? new Map<string, number>();
      const views = ids.map((id): RankedWorker => ({
        id,
        hash: hashText(id),
        running: (reportedRuns.get(id) ?? 0) + (ownRuns.get(id) ?? 0),
        unreadTokens: 0,
        slots: SLOTS,
        excessFailureRate: 0,
        isSameZone: true,
        warmupLeft: 0,
        slowness: 1,
      }));
      const unseen = (perSecond * DIGEST_INTERVAL) / 1_000 / workers;
      const candidates = sampleWorkers(views, { unseen, parts: [], random });
      const request = { parts: [] };
      const ranked = rankWorkers(candidates.workers, {
        request,
        speed: TIMING,
        random,
        homes: candidates.homes,
      });
      const id = ranked[0]?.worker.id ?? "";
      ownRuns.set(id, (ownRuns.get(id) ?? 0) + 1);
      running.set(id, (running.get(id) ?? 0) + 1);
      requestsByWorker.set(id, (requestsByWorker.get(id) ?? 0) + 1);
      if ((running.get(id) ?? 0) > SLOTS) overfull++;
      total++;
      ends.push({ at: now + RUN_TIME, id });
    }
  }
  return {
    busiest: Math.max(...requestsByWorker.values()) / (total / workers),
    overfull: overfull / total,
  };
}

// All instances receive the same totals a few times per second. If each picked the worker that is
// least loaded by them, one worker would get several times the mean and reject requests that the
// others could have served.
test.each([
  { instances: 63, workers: 46, perSecond: 320 },
  { instances: 195, workers: 69, perSecond: 420 },
  { instances: 300, workers: 69, perSecond: 420 },
])("does not send the requests of all $instances instances to the same worker", (load) => {
  const { busiest, overfull } = simulate(load);
  expect(busiest).toBeLessThan(1.5);
  expect(overfull).toBeLessThan(0.01);
});

test("compares all workers if few runs start unseen", () => {
  const random = createSeededRandom(1);
  const worker = (index: number, running: number): RankedWorker => ({
    id: `w${index}`,
    hash: index,
    running,
    unreadTokens: 0,
    slots: 12,
    excessFailureRate: 0,
    isSameZone: true,
    warmupLeft: 0,
    slowness: 1,
  });
  const workers = [worker(1, 6), worker(2, 0), worker(3, 4), worker(4, 6)];
  for (let step = 0; step < 50; step++) {
    const candidates = sampleWorkers(workers, { unseen: 0, parts: [], random });
    expect(candidates.workers).toEqual(workers);
  }
});

// The requests of a session share most of their prompts. At any other worker the shared part would
// be processed again.
test("always includes the home workers of a prompt", () => {
  const random = createSeededRandom(1);
  const workers = Array.from({ length: 69 }, (_, index) => ({ hash: hashText(`w${index}`) }));
  const parts = [
    { id: "shared", tokens: 5_000 },
    { id: "own", tokens: 600 },
  ];
  const first = sampleWorkers(workers, { unseen: 3, parts, random });
  for (let step = 0; step < 50; step++) {
    const { workers: candidates, homes } = sampleWorkers(workers, { unseen: 3, parts, random });
    expect(homes).toEqual(first.homes);
    expect(candidates.length).toBeLessThanOrEqual(4);
    for (const home of homes.keys()) expect(candidates).toContain(home);
  }
});
