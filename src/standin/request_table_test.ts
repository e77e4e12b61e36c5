import { expect, test } from "vitest";
import { EngineRequestState } from "../interface/index.ts";
import type { Dispatch, EngineEvent } from "../interface/index.ts";
import { createVirtualClock } from "./memory/index.ts";
import type { VirtualClock } from "./memory/index.ts";
import { createRequestTable } from "./request_table.ts";
import type { RequestTable } from "./request_table.ts";
import { createEngineTokenSource } from "./token_source.ts";

const CAPACITY = { tokensPerSecond: 900, prefillPerSecond: 8_000, cacheTokens: 10_000 };
const LONG_TIME = 10_000;

function createTable(checksFence = false): { table: RequestTable; clock: VirtualClock } {
  const clock = createVirtualClock();
  const source = createEngineTokenSource(clock, { capacity: CAPACITY, timeScale: 1 });
  return { table: createRequestTable(source, { checksFence }), clock };
}

function dispatchOf(fields: Partial<Dispatch> = {}): Dispatch {
  const body = JSON.stringify({ messages: [{ content: "Which class?" }], max_tokens: 5 });
  const path = "/v1/chat/completions";
  const defaults = { service: "desk", path, body, tokens: [], priority: 0, timeLeft: LONG_TIME };
  return { id: "r1", attempt: 1, ...defaults, ...fields };
}

function collect(): {
  events: EngineEvent[];
  subscriber: (newEvents: readonly EngineEvent[]) => void;
} {
  const events: EngineEvent[] = [];
  return { events, subscriber: (newEvents) => events.push(...newEvents) };
}

function indexes(events: readonly EngineEvent[]): number[] {
  return events.flatMap((event) => (event.kind === "token" ? [event.index] : []));
}

test("a request is answered with its tokens in order and one final event", async () => {
  const { table, clock } = createTable();
  const { events, subscriber } = collect();
  table.run(dispatchOf(), subscriber);
  await clock.advance(LONG_TIME);
  expect(events.map(({ kind }) => kind)).toEqual([
    "started",
    "token",
    "token",
    "token",
    "token",
    "token",
    "finished",
  ]);
  expect(indexes(events)).toEqual([0, 1, 2, 3, 4]);
});

test("a request that is dispatched twice runs once, and both callers get the whole answer", async () => {
  // The acknowledgement of a dispatch is lost, and it is sent again while the first run is in
  // progress. If it ran twice, an entry would be doubled and a club would pay twice.
  const { table, clock } = createTable();
  const first = collect();
  const second = collect();
  table.run(dispatchOf(), first.subscriber);
  await clock.advance(60);
  table.run(dispatchOf(), second.subscriber);
  await clock.advance(LONG_TIME);
  expect(table.runs.get("r1")).toBe(1);
  expect(indexes(second.events)).toEqual(indexes(first.events));
});

test("a subscriber that attaches at a token gets the tokens from there on, each once", async () => {
  const { table, clock } = createTable();
  table.run(dispatchOf(), collect().subscriber);
  await clock.advance(60);
  const { events, subscriber } = collect();
  expect(table.attach("r1", 2, subscriber)).toBe(true);
  await clock.advance(LONG_TIME);
  expect(indexes(events)).toEqual([2, 3, 4]);
  expect(table.attach("r9", 0, subscriber)).toBe(false);
});

test("a resumed request starts after its tokens and reports how many it computed again", async () => {
  const { table, clock } = createTable();
  const { events, subscriber } = collect();
  table.run(dispatchOf({ attempt: 2, tokens: [" word0", " word1"] }), subscriber);
  await clock.advance(LONG_TIME);
  expect(indexes(events)).toEqual([2, 3, 4]);
  expect(events[0]).toMatchObject({ kind: "started", recomputed: 6 });
});

test("a barred id is never run", () => {
  // A paused owner resumes and sends a request that its successor has already reported as not run.
  const { table } = createTable();
  expect(table.query("r1", false)).toBe(EngineRequestState.Unknown);
  expect(table.query("r1", true)).toBe(EngineRequestState.Barred);
  expect(table.run(dispatchOf(), collect().subscriber)).toBe("barred");
  expect(table.runs.get("r1")).toBeUndefined();
});

test("a cancelled request produces no more tokens and is reported as cancelled", async () => {
  const { table, clock } = createTable();
  const { events, subscriber } = collect();
  table.run(dispatchOf(), subscriber);
  await clock.advance(60);
  table.cancel("r1");
  const countBefore = events.length;
  await clock.advance(LONG_TIME);
  expect(events).toHaveLength(countBefore);
  expect(events.at(-1)).toEqual({ kind: "finished", reason: "cancelled" });
  expect(table.query("r1", false)).toBe(EngineRequestState.Cancelled);
});

test("an older attempt and, if enabled, an older fencing number are refused", () => {
  const { table } = createTable(true);
  table.run(dispatchOf({ attempt: 2, fence: 7 }), collect().subscriber);
  const subscriber = collect().subscriber;
  expect(table.run(dispatchOf({ attempt: 1, fence: 7 }), subscriber)).toBe("old attempt");
  expect(table.run(dispatchOf({ attempt: 3, fence: 6 }), subscriber)).toBe("old fencing number");
});
