import { expect, test } from "vitest";
import { createScheduler } from "../decision/index.ts";
import { Refusal, RequestState } from "../interface/index.ts";
import type { EngineEvent, RequestRecord } from "../interface/index.ts";
import { createVirtualClock } from "../standin/memory/index.ts";
import type { VirtualClock } from "../standin/memory/index.ts";
import { followEngine, PROGRESS_TIMEOUTS } from "./engine_stream.ts";
import type { StreamEnd } from "./engine_stream.ts";
import type { Environment } from "./environment.ts";
import { LiveRequest, StopReason } from "./live_request.ts";

const FINISHED: EngineEvent = { kind: "finished", reason: "stop" };

function token(index: number): EngineEvent {
  return { kind: "token", index, text: `t${index}` };
}

function follow(events: (signal: AbortSignal) => AsyncIterable<EngineEvent>): {
  live: LiveRequest;
  end: Promise<StreamEnd>;
  clock: VirtualClock;
} {
  const clock = createVirtualClock();
  const live = new LiveRequest(RECORD);
  const counters = {
    refused: () => undefined,
    retried: () => undefined,
    recomputed: () => undefined,
    firstToken: () => undefined,
    betweenTokens: () => undefined,
    count: () => undefined,
  };
  const environment = { clock, counters, scheduler: createScheduler() } as unknown as Environment;
  const options = { worker: "w1", open: events, cause: undefined, onToken: () => undefined };
  return { live, end: followEngine(environment, live, options), clock };
}

async function* yieldAll(events: readonly EngineEvent[]): AsyncGenerator<EngineEvent> {
  await Promise.resolve();
  yield* events;
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener("abort", () => reject(signal.reason as Error));
  });
}

test("tokens that a server repeats are dropped", async () => {
  const { live, end } = follow(() =>
    yieldAll([token(0), token(0), token(1), token(0), token(2), FINISHED]),
  );
  expect(await end).toEqual({ kind: "finished", reason: "stop", body: "" });
  expect(live.tokens).toEqual(["t0", "t1", "t2"]);
});

test("an answer with a missing token is not treated as complete", async () => {
  // A lost token would leave an answer that reads well but lacks a word.
  const { live, end } = follow(() => yieldAll([token(0), token(2), FINISHED]));
  expect(await end).toMatchObject({ kind: "broken" });
  expect(live.tokens).toEqual(["t0"]);
});

test("a stream that ends without a finished event is not treated as complete", async () => {
  // If the server process exits, its connection closes normally, and the answer would arrive
  // truncated.
  const { end } = follow(() => yieldAll([token(0)]));
  expect(await end).toMatchObject({ kind: "broken", notSent: false });
});

test("a stream without a next token is ended after the progress timeout", async () => {
  const { end, clock } = follow(async function* (signal) {
    yield token(0);
    await waitForAbort(signal);
  });
  await clock.advance(PROGRESS_TIMEOUTS.nextToken);
  expect(await end).toEqual({ kind: "silent" });
});

test("stopping a request ends its stream", async () => {
  const { end, live, clock } = follow(async function* (signal) {
    yield token(0);
    await waitForAbort(signal);
  });
  await clock.settle();
  live.stop(StopReason.Cancelled);
  expect(await end).toEqual({ kind: "stopped", cause: StopReason.Cancelled });
});

const RECORD: RequestRecord = {
  id: "r1-00000000000000000000000000000001",
  slot: 1,
  account: "club",
  service: "entry-model",
  state: RequestState.Dispatched,
  repeatable: true,
  detached: false,
  keyed: false,
  fingerprint: "",
  path: "/v1/chat/completions",
  body: "{}",
  attempt: 1,
  worker: "w1",
  tokens: [],
  tokensFrom: 0,
  reason: Refusal.None,
  detail: "",
  acceptedAt: 0,
  deadlineAt: 0,
  sequence: 1,
};
