import { expect, test } from "vitest";
import type { Clock } from "../interface/index.ts";
import { createStallingClock, createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { RoutedRefusal } from "./caller_response.ts";
import { abandon, endAtStop, giveUp, watchDeadline } from "./routed_end.ts";
import { createRunProgress } from "./routed_progress.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

const TIMEOUT = 1_000;

interface EndSetup {
  readonly clock: VirtualClock;
  readonly state: RoutedRunState;
  /** What happened to the request, in order. */
  readonly events: string[];
  /** The steps that were logged, in order. */
  readonly steps: string[];
}

function setUp(): EndSetup {
  const clock = createVirtualClock();
  return { clock, ...startRequest(clock) };
}

function startRequest(clock: Clock): Omit<EndSetup, "clock"> {
  const events: string[] = [];
  const steps: string[] = [];
  const arrivedAt = clock.now();
  const state = {
    context: {
      clock,
      metrics: { refused: () => undefined, cut: () => undefined },
      logDecision: (step: string) => steps.push(step),
    },
    admitted: {
      arrival: { route: {}, arrivedAt, deadlineAt: arrivedAt + TIMEOUT },
      refundQuota: () => events.push("refunded"),
    },
    response: { refuse: (reason: RoutedRefusal) => events.push(reason) },
    progress: createRunProgress(undefined),
    isDone: false,
  } as unknown as RoutedRunState;
  watchDeadline(state);
  return { state, events, steps };
}

// A caller that takes "not run" literally would otherwise send a request again that has run.
test("a request that may have run is given up as lost, without a refund", () => {
  const { state, events } = setUp();
  state.progress.hasPossiblyRun = true;
  giveUp(state, { reason: RoutedRefusal.Overloaded, retryAfter: 300 });
  expect(events).toEqual([RoutedRefusal.WorkerLost]);
});

test("a request that has certainly not run is refused with its reason and refunded", () => {
  const { clock, state, events } = setUp();
  giveUp(state, { reason: RoutedRefusal.Overloaded, retryAfter: 300 });
  expect(events).toEqual(["refunded", RoutedRefusal.Overloaded]);
  expect(clock.pendingTimers()).toBe(0);
});

// Without a limit of its own, an instance would wait for as long as a worker stays silent.
test("a request ends shortly after its deadline, and only once", async () => {
  const { clock, state, events } = setUp();
  await clock.advance(TIMEOUT);
  expect(state.isDone).toBe(false);
  await clock.advance(TIMEOUT);
  abandon(state);
  expect(events).toEqual([RoutedRefusal.DeadlinePassed]);
});

// Expired timers run before sockets are read, so that an answer that had arrived in time would be lost.
test("a request doesn't end before what arrived during a stall of the process is read", () => {
  const clock = createStallingClock();
  const { events } = startRequest(clock);
  clock.advance(TIMEOUT / 2);
  clock.stall(2 * TIMEOUT);
  expect(events).toEqual([]);
  clock.advance(TIMEOUT / 2);
  expect(events).toEqual([RoutedRefusal.DeadlinePassed]);
});

// Otherwise the log names a lost worker for each answer that a stop of the instance ends.
test("a request that a stop ends has the stop as its reason", () => {
  const { state, events } = setUp();
  state.progress.runs = 1;
  endAtStop(state);
  expect(events).toEqual([RoutedRefusal.Stopped]);
});

test("a request that was not sent when the instance stops is refused as not run and refunded", () => {
  const { state, events } = setUp();
  endAtStop(state);
  expect(events).toEqual(["refunded", RoutedRefusal.Stopping]);
});

// Without a line of its own, an answer that is cut while its caller reads it can't be found in the log.
test("an answer that its caller has not read at the end of a stop is logged", () => {
  const { state, steps } = setUp();
  state.progress.hasPossiblyRun = true;
  giveUp(state, { reason: RoutedRefusal.WorkerLost });
  endAtStop(state);
  expect(steps).toEqual(["refused", "unsent"]);
});
