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

/** Maximum idle milliseconds of a connection for reuse, and for its worker to be preferred. */
const MAX_IDLE = 3_000;
const PREFERRED_MAX_IDLE = 500;

interface Load {
  readonly instances: number;
  readonly workers: number;
  readonly perSecond: number;
  /** Whether instances prefer workers to which they have a connection. */
  readonly prefersConnected?: boolean;
}

/** The connections of one instance: when they became idle or, for runs in progress, the end of the run. */
class IdleConnections {
  private readonly idleSince = new Map<string, number[]>();

  /** Whether a connection to the worker has been idle for less than `maxIdle`. */
  has(id: string, { now, maxIdle }: { now: number; maxIdle: number }): boolean {
    return (this.idleSince.get(id) ?? []).some((since) => since <= now && now - since < maxIdle);
  }

  /** Reuses or opens a connection for a run; returns whether it was opened. */
  use(id: string, now: number): boolean {
    const open = (this.idleSince.get(id) ?? []).filter((since) => now - since < MAX_IDLE);
    const index = open.findLastIndex((since) => since <= now);
    if (index >= 0) open.splice(index, 1);
    this.idleSince.set(id, [...open, now + RUN_TIME]);
    return index < 0;
  }
}

/**
 * Simulates requests at many instances that all use the same outdated load data.
 *
 * @returns `busiest` is the busiest worker's number of requests divided by the mean; `overfull` is
 * the fraction of requests that found no free slot; `opened` is the fraction that opened a connection.
 */
function simulate(load: Load): { busiest: number; overfull: number; opened: number } {
  const { workers, perSecond, instances, prefersConnected = false } = load;
  const random = createSeededRandom(7);
  const ids = Array.from({ length: workers }, (_, index) => `w${index}`);
  const running = new Map(ids.map((id) => [id, 0]));
  const ends: { at: number; id: string }[] = [];
  let reportedRuns = new Map(running);
  /** The runs that each instance has started since the last digest, by worker. */
  let startedSinceDigest = Array.from({ length: instances }, () => new Map<string, number>());
  const requestsByWorker = new Map<string, number>();
  const connectionsOf = Array.from({ length: instances }, () => new IdleConnections());
  let pendingRequests = 0;
  let overfull = 0;
  let opened = 0;
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
      const instance = Math.floor(random.next() * instances);
      const ownRuns = startedSinceDigest[instance] ?? new Map<string, number>();
      const ownConnections = connectionsOf[instance] ?? new IdleConnections();
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
      const isConnected = ({ id }: RankedWorker): boolean =>
        ownConnections.has(id, { now, maxIdle: PREFERRED_MAX_IDLE });
      const isPreferred = prefersConnected ? isConnected : undefined;
      const candidates = sampleWorkers(views, { unseen, parts: [], random, isPreferred });
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
      if (ownConnections.use(id, now)) opened++;
      total++;
      ends.push({ at: now + RUN_TIME, id });
    }
  }
  return {
    busiest: Math.max(...requestsByWorker.values()) / (total / workers),
    overfull: overfull / total,
    opened: opened / total,
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

// With ten requests a second and a hundred workers, an instance that ignores its open connections opens one for nearly
// every request, which costs a round trip and processor time. One that uses only the workers to which it has
// connections would overload them.
test.each([
  { instances: 67, workers: 98, perSecond: 500, maxOpened: 0.6 },
  { instances: 300, workers: 69, perSecond: 420, maxOpened: 0.85 },
])("reuses connections of $instances instances without uneven load", ({ maxOpened, ...load }) => {
  const { busiest, overfull, opened } = simulate({ ...load, prefersConnected: true });
  expect(opened).toBeLessThan(maxOpened);
  expect(busiest).toBeLessThan(1.3);
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
