import { expect, test } from "vitest";
import type { AccountShares } from "../decision/index.ts";
import { createSeededRandom } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { Delivery } from "../version/index.ts";
import type { RoutedArrival } from "./routed_arrival.ts";
import { chooseWorkers } from "./routed_choice.ts";
import type { CandidateWorker, WorkerLoads } from "./routed_context.ts";

const SERVICE = { name: "desk", maxConnections: 10, engine: undefined, scaling: undefined };
const WORKER = { id: "w", hash: 1, running: 0, unreadTokens: 0, slots: 4, excessFailureRate: 0 };
const ROUTE = { latencyTarget: 400, timeout: 9_000, delivery: Delivery.Events };

/** Chooses workers for a request of an account whose requests are all refused because of its share. */
function choose(placement: { tried?: string[]; version?: string; resumption?: object }): string {
  const recorded: boolean[] = [];
  const shares = {
    isActive: true,
    standing: () => ({ factor: 0.1, share: 0.2, use: 0.6 }),
    accepts: () => false,
    record: ({ isBegun }) => recorded.push(isBegun),
    refuse: () => 700,
  } as Partial<AccountShares> as AccountShares;
  const workers = [
    { ...WORKER, isSameZone: true, warmupLeft: 0, slowness: 1, version: "v1" } as CandidateWorker,
  ];
  const workerLoads = {
    timing: () => ({ prefillRate: 60, runTime: 400 }),
    sample: () => ({ workers, homes: new Map(), part: undefined }),
    candidates: () => workers,
  } as Partial<WorkerLoads> as WorkerLoads;
  const arrival = { route: ROUTE, deadlineAt: 9_000, promptParts: [], rank: 0, ...placement };
  const { kind } = chooseWorkers(
    { shares, workerLoads, clock: createVirtualClock(), random: createSeededRandom(1) },
    {
      arrival: arrival as unknown as RoutedArrival,
      service: SERVICE,
      tried: new Set(placement.tried),
      version: placement.version,
    },
  );
  expect(recorded).toEqual([kind === "ranked"]);
  return kind;
}

test("a request of an account above its share is refused", () => {
  expect(choose({})).toBe("over-share");
});

// Guards against callers that lose an answer, or the rest of a stream, because their account is above its share.
test("a request that has run, if only in part, isn't refused because of a share", () => {
  expect(choose({ tried: ["other"] })).toBe("ranked");
  expect(choose({ version: "v1" })).toBe("ranked");
  expect(choose({ resumption: { lastEventId: "7", attempt: undefined } })).toBe("ranked");
});
