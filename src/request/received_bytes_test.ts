import { expect, test } from "vitest";
import { createReceiveBudget, ReceivedPart } from "../decision/index.ts";
import type { ExceededLimit } from "../decision/index.ts";
import { BodyFraming } from "../interface/index.ts";
import type { ResponseHead } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import { Delivery } from "../version/index.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { createAttempt } from "./routed_attempt.ts";
import type { CandidateWorker } from "./routed_context.ts";
import { receiveData } from "./routed_forwarding.ts";
import { receiveHead } from "./routed_head.ts";
import { createRunProgress } from "./routed_progress.ts";
import type { RoutedRunState } from "./routed_run_state.ts";

const REQUESTS = 100;
const PIECE = Buffer.alloc(100_000, "x");
/** Bytes that a response has sent of its body; less than the limit of one response. */
const RESPONSE_BYTES = 900_000;
const MAX_SHARED = 10_000_000;
const HEAD: ResponseHead = {
  status: 200,
  framing: BodyFraming.Chunks,
  headers: [],
  byName: new Map(),
};

interface Received {
  /** Bytes that all requests hold of their responses. */
  readonly held: number;
  /** Bytes that were passed on to the callers. */
  readonly forwarded: number;
  readonly exceeded: readonly ExceededLimit[];
}

/** Lets many requests receive the beginning of a response each, in turn. */
function receive(delivery: Delivery): Received {
  const clock = createVirtualClock();
  const exceeded: ExceededLimit[] = [];
  const budget = createReceiveBudget({
    maxShared: MAX_SHARED,
    onExceeded: (one) => void exceeded.push(one),
  });
  let forwarded = 0;
  const runs = Array.from({ length: REQUESTS }, () => {
    const run = {
      end: () => undefined,
      recordResponse: () => undefined,
      recordSilence: () => undefined,
      recordFirstEvent: () => undefined,
    };
    const worker = { id: "w" } as CandidateWorker;
    const attempt = createAttempt(worker, { run, now: clock.now(), wait: 0 });
    const response = {
      received: budget.open(ReceivedPart.Answer),
      hasStarted: false,
      start: () => (response.hasStarted = true),
      write: (bytes: Buffer) => {
        forwarded += bytes.length;
        return true;
      },
      refuse: () => response.received.close(),
    };
    const state = {
      context: {
        clock,
        names: {},
        logDecision: () => undefined,
        recordStart: () => undefined,
        metrics: { refused: () => undefined },
      },
      admitted: { arrival: { route: { delivery, latencyTarget: 100, maxAttempts: 1 } } },
      response,
      progress: createRunProgress(undefined),
      splitter: createEventSplitter(),
      current: attempt,
    } as unknown as RoutedRunState;
    receiveHead(state, { attempt, head: HEAD });
    return { state, attempt };
  });
  for (let sent = 0; sent < RESPONSE_BYTES; sent += PIECE.length)
    for (const { state, attempt } of runs) receiveData(state, { attempt, chunk: PIECE });
  const inProgress = runs.filter(({ state }) => !state.isDone);
  const held = inProgress
    .map(({ state, attempt }) => attempt.bufferedBytes + state.splitter.partialEvent.length)
    .reduce((sum, bytes) => sum + bytes, 0);
  return { held, forwarded, exceeded };
}

/** What all requests may hold: the shared bytes, what each may always hold, and one piece more. */
const MAX_HELD = MAX_SHARED + REQUESTS * 16_384 + PIECE.length;

// Guards against answers that each stay within their limit and together exceed the memory of the process.
test("incomplete answers hold no more than the budget together, and are forwarded beyond it", () => {
  const { held, forwarded, exceeded } = receive(Delivery.Whole);
  expect(held).toBeLessThanOrEqual(MAX_HELD);
  expect(held + forwarded).toBe(REQUESTS * RESPONSE_BYTES);
  expect(exceeded).toEqual([]);
});

// Guards against the same with streams whose first event never ends.
test("incomplete events hold no more than the budget together, and streams end beyond it", () => {
  const { held, forwarded, exceeded } = receive(Delivery.Events);
  expect(held).toBeLessThanOrEqual(MAX_HELD);
  expect(forwarded).toBe(0);
  expect(exceeded.length).toBeGreaterThan(0);
  expect(exceeded[0]).toMatchObject({ part: ReceivedPart.Answer, source: "w" });
});
