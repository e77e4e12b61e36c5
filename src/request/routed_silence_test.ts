import { expect, test } from "vitest";
import type { Clock, WorkerActivity } from "../interface/index.ts";
import { createStallingClock, createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { Delivery, Repetition } from "../version/index.ts";
import { createEventSplitter } from "./event_splitter.ts";
import type { Attempt } from "./routed_attempt.ts";
import { RunResult } from "./routed_context.ts";
import type { CandidateWorker } from "./routed_context.ts";
import { createRunProgress } from "./routed_progress.ts";
import { releaseReserve } from "./routed_run_state.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { watchSilence } from "./routed_silence.ts";

const ROUTE = {
  delivery: Delivery.Events,
  repetition: Repetition.Idempotent,
  latencyTarget: 400,
  maxAttempts: 2,
};

interface SilenceSetup {
  readonly clock: VirtualClock;
  readonly state: RoutedRunState;
  /** The results of the attempt, and "next" when the request is sent to another worker. */
  readonly events: string[];
}

/** Watches an attempt at a worker that never sends anything. */
function setUp(): SilenceSetup {
  const clock = createVirtualClock();
  return { clock, ...watchAttempt(clock) };
}

function watchAttempt(clock: Clock): Omit<SilenceSetup, "clock"> {
  const events: string[] = [];
  const attempt = {
    worker: { id: "w" },
    run: { end: (result: RunResult) => events.push(result) },
    startedAt: clock.now(),
    lastReceivedAt: clock.now(),
    expectedWait: 100,
  } as unknown as Attempt;
  const state = {
    context: {
      clock,
      workerLoads: { candidates: () => [{ id: "other" }] },
      connections: { activity: () => undefined },
      repeats: { take: () => true },
      metrics: { repeated: () => undefined },
      logDecision: () => undefined,
    },
    admitted: { arrival: { route: ROUTE }, service: { name: "desk" } },
    response: { hasStarted: false },
    progress: { ...createRunProgress(undefined), runs: 1 },
    splitter: createEventSplitter(),
    current: attempt,
    isDone: false,
    tryNext: () => events.push("next"),
  } as unknown as RoutedRunState;
  watchSilence(state, attempt);
  return { state, events };
}

// A worker that hangs with an open connection would otherwise keep its caller waiting until the deadline.
test("a request is sent once to another worker if its own hangs", async () => {
  const { clock, state, events } = setUp();
  await clock.advance(10_000);
  expect(events).toEqual(["next"]);
  releaseReserve(state);
  expect(events).toEqual(["next", RunResult.Failed]);
});

// The caller would otherwise lose an answer that comes late but in time.
test("a request stays at a silent worker if there is no other", async () => {
  const { clock, state, events } = setUp();
  state.context.workerLoads.candidates = () => [];
  await clock.advance(10_000);
  expect(events).toEqual([]);
});

// The next attempt would otherwise be aborted for the silence of the one before it.
test("the silence of an attempt that has ended has no consequence", async () => {
  const { clock, state, events } = setUp();
  await clock.advance(100);
  state.current = undefined;
  await clock.advance(10_000);
  expect(events).toEqual([]);
});

// A request that can't be sent again would otherwise lose an answer that is late.
test("silence has no consequence while the request can't be sent again", async () => {
  const { clock, state, events } = setUp();
  state.progress.runs = ROUTE.maxAttempts;
  await clock.advance(10_000);
  expect(events).toEqual([]);
  state.progress.runs--;
  await clock.advance(150);
  expect(events).toEqual(["next"]);
});

// Expired timers run before sockets are read, so that all workers of an instance would look silent at once.
test("what a worker sent while the process was stalled counts before its silence", () => {
  const clock = createStallingClock();
  const { state, events } = watchAttempt(clock);
  clock.advance(1_000);
  clock.stall(5_000);
  expect(events).toEqual([]);
  if (state.current !== undefined) state.current.lastReceivedAt = clock.now();
  clock.advance(1_000);
  expect(events).toEqual([]);
  clock.advance(1_000);
  expect(events).toEqual(["next"]);
});

// Guards against requests that all move at the moment in which workers that stood still together go on.
test("a request that waited through a shared silence moves later than the first answer of another worker", async () => {
  const { clock, state, events } = setUp();
  const lastSentAt = (): number => clock.now() - 50;
  const asked = { lastReceivedAt: undefined, hasPendingResponse: true };
  const other = { ...asked, lastSentAt: clock.now() };
  const activities: Record<string, WorkerActivity> = { w: other, second: other };
  state.context.connections.activity = (id) =>
    id === "third" ? { ...asked, lastSentAt: lastSentAt() } : activities[id];
  state.context.workerLoads.candidates = () =>
    ["w", "second", "third"].map((id) => ({ id })) as CandidateWorker[];
  await clock.advance(5_000);
  expect(events).toEqual([]);
  activities["second"] = { ...other, lastReceivedAt: clock.now(), hasPendingResponse: false };
  await clock.advance(150);
  expect(events).toEqual([]);
  await clock.advance(150);
  expect(events).toEqual(["next"]);
});
