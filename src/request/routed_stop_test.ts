import { expect, test } from "vitest";
import { createAnswerTimes } from "../decision/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { Delivery } from "../version/index.ts";
import { recordAnswerTime, recordDeadline } from "./answer_record.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { createAttempt } from "./routed_attempt.ts";
import type { Attempt } from "./routed_attempt.ts";
import { createRunProgress } from "./routed_progress.ts";
import type { RoutedRunState } from "./routed_run_state.ts";
import { findStopConflict } from "./routed_stop.ts";

/** Milliseconds. */
const EVENT_TIME = 100;
const EVENTS = 50;
const TIMEOUT = 20_000;
/** Number of answers from which the estimate is steady. */
const ANSWERS = 10;
const HEAD = { status: 200 } as ResponseHead;
const CHOICE = { wait: 0 } as Parameters<typeof findStopConflict>[1];

/** An instance that serves streams of one route. */
interface StopSetup {
  readonly clock: VirtualClock;
  /** Begins a request; `lastEventId` is that of a caller who has the beginning of a stream. */
  readonly begin: (options?: { lastEventId?: string }) => {
    state: RoutedRunState;
    attempt: Attempt;
  };
  /** Begins a stop whose answers end after this time. */
  readonly stop: (left: number) => void;
}

function setUp(): StopSetup {
  const clock = createVirtualClock();
  const answerTimes = createAnswerTimes();
  let endAt: number | undefined;
  return {
    clock,
    begin: ({ lastEventId } = {}) => {
      const arrivedAt = clock.now();
      const state = {
        context: {
          clock,
          answerTimes,
          stopTimes: () =>
            endAt === undefined ? undefined : { answersEndAt: endAt, acceptsLongUntil: endAt },
        },
        admitted: {
          arrival: {
            route: { name: "drafts", delivery: Delivery.Events },
            arrivedAt,
            deadlineAt: arrivedAt + TIMEOUT,
            outputTokens: EVENTS,
            resumption: lastEventId === undefined ? undefined : { lastEventId },
          },
          service: { name: "engines" },
        },
        response: { hasStarted: false },
        progress: { ...createRunProgress(undefined), runs: 1 },
        splitter: createEventSplitter(),
        reserve: undefined,
      } as unknown as RoutedRunState;
      const run = {} as Attempt["run"];
      const worker = {} as Attempt["worker"];
      return { state, attempt: createAttempt(worker, { run, now: arrivedAt, wait: 0 }) };
    },
    stop: (left) => (endAt = clock.now() + left),
  };
}

/** Serves a whole stream whose events are numbered from `first`. */
async function serveStream({ clock, begin }: StopSetup, first: number): Promise<void> {
  const { state, attempt } = begin();
  for (let event = first; event < first + EVENTS; event++) {
    await clock.advance(EVENT_TIME);
    state.splitter.push(Buffer.from(`id: ${event}\ndata: x\n\n`));
  }
  recordAnswerTime(state, attempt);
}

// Guards against streams that a stopping instance refuses because earlier callers were slow or workers stood still.
test.each([
  { cause: "a slow caller", pausedFor: 10_000, longestSilence: 0 },
  { cause: "a silent worker", pausedFor: 0, longestSilence: 10_000 },
])("an answer that was prolonged by $cause makes later ones look no longer", async (prolonged) => {
  const setup = setUp();
  for (let answer = 0; answer < ANSWERS; answer++) await serveStream(setup, 1);
  const { state, attempt } = setup.begin();
  await setup.clock.advance(EVENTS * EVENT_TIME + prolonged.pausedFor + prolonged.longestSilence);
  attempt.pausedFor = prolonged.pausedFor;
  attempt.longestSilence = prolonged.longestSilence;
  recordAnswerTime(state, attempt);
  setup.stop(EVENTS * EVENT_TIME + EVENT_TIME);
  expect(findStopConflict(setup.begin().state, CHOICE)).toBeUndefined();
});

// Guards against streams that are accepted and cut because only the fast answers of a slow route are known.
test("answers that weren't complete at their deadline make later ones look longer", async () => {
  const setup = setUp();
  for (let answer = 0; answer < ANSWERS; answer++) await serveStream(setup, 1);
  for (let answer = 0; answer < ANSWERS; answer++) {
    const { state, attempt } = setup.begin();
    attempt.head = HEAD;
    state.current = attempt;
    await setup.clock.advance(TIMEOUT);
    recordDeadline(state);
  }
  setup.stop(2 * EVENTS * EVENT_TIME);
  expect(findStopConflict(setup.begin().state, CHOICE)).toBeDefined();
});

// Guards against callers that wait for a repeat until the end of the stop cuts it.
test("a request is sent again in a stop only if its answer isn't known to end too late", async () => {
  const setup = setUp();
  const isRefused = (left: number): boolean => {
    const { state } = setup.begin();
    state.progress.hasPossiblyRun = true;
    setup.stop(left);
    return findStopConflict(state, CHOICE) !== undefined;
  };
  expect(isRefused(EVENTS * EVENT_TIME)).toBe(false);
  for (let answer = 0; answer < ANSWERS; answer++) await serveStream(setup, 1);
  expect(isRefused(2 * EVENTS * EVENT_TIME)).toBe(false);
  expect(isRefused((EVENTS * EVENT_TIME) / 2)).toBe(true);
});

// Guards against the rest of a stream that looks short because its events aren't numbered from 0, and is cut.
test.each([
  { first: 1, lastEventId: "41", isRefused: false },
  { first: 100_000, lastEventId: "100002", isRefused: true },
])(
  "a stream numbered from $first that is taken up at $lastEventId: refused $isRefused",
  async ({ first, lastEventId, isRefused }) => {
    const setup = setUp();
    for (let answer = 0; answer < ANSWERS; answer++) await serveStream(setup, first);
    setup.stop((EVENTS * EVENT_TIME) / 2);
    const { state } = setup.begin({ lastEventId });
    expect(findStopConflict(state, CHOICE) !== undefined).toBe(isRefused);
  },
);
